/** Lines of JSON for everything that is logged through SLF4J. */
package tinworks.logging;
