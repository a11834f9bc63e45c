/** The operator's configuration: its form, what makes it valid, and the history of its versions. */
package tinworks.config;
