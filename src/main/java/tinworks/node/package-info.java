/** What every process of the system has: its settings file, its log and its signals. */
package tinworks.node;
