/** An SLF4J provider that writes JSON lines, and the handling of fatal errors. */
package tinworks.logging;
