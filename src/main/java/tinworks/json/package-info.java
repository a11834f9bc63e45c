/** Reading JSON texts, for every part that is told something in JSON. */
package tinworks.json;
