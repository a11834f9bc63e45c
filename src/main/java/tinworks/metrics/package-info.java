/** Metrics in the Prometheus text format. The library's classes are loaded only when metrics are first requested. */
package tinworks.metrics;
