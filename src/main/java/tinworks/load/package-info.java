/** Clients that ask at times fixed beforehand, and what they were answered. */
package tinworks.load;
