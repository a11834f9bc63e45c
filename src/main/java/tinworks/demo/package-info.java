/** A whole small deployment on loopback: real processes of both roles, stand-ins of all else. */
package tinworks.demo;
