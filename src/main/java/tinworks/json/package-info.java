/** Parsing of JSON, and of network addresses in text form. */
package tinworks.json;
