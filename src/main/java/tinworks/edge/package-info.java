/**
 * The edge gateways: the data plane, which proxies client requests under the configuration that the core nodes push.
 */
package tinworks.edge;
