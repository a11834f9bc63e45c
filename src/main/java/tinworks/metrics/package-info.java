/**
 * Figures for a monitoring system, in the text format of Prometheus. Nothing of it is loaded before it is asked for.
 */
package tinworks.metrics;
