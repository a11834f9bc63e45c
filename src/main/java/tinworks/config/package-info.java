/** The operator's configuration: its data types, parsing and validation, and the history of its versions. */
package tinworks.config;
