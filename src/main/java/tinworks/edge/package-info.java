/** The edge gateways: the data plane, fed by what the core machines tell. */
package tinworks.edge;
