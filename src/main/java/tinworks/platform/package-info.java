/** The platform, by its published protocol: the list of hosts. */
package tinworks.platform;
