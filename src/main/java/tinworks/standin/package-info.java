/** Stand-ins for what a deployment finds outside the gateway: hosts and the platform, by their published protocol. */
package tinworks.standin;
