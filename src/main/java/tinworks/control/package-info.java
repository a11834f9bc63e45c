/** The core machines: they agree on the configuration, watch the platform's list, and tell the edges of both. */
package tinworks.control;
