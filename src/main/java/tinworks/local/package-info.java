/** A deployment of real processes on the loopback addresses of one machine. */
package tinworks.local;
