/** The core nodes (control plane): they replicate the configuration, poll the hosts, and push both to edges. */
package tinworks.control;
