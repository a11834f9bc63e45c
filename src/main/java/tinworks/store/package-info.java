/** Durable storage of a core node's Raft state and identity, in an H2 MVStore file. */
package tinworks.store;
