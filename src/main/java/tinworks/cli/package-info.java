/**
 * The command line for people. The platform's own commands, which must start quickly, are taken by
 * {@link tinworks.Main}.
 */
package tinworks.cli;
