/**
 * The network side of the gateway: client connections, host connections and forwarding. The load balancer decides where
 * a request goes and whether it is retried, refused or failed. This package turns network activity into the load
 * balancer's events and carries out its actions, all on one event loop thread.
 */
package tinworks.net;
