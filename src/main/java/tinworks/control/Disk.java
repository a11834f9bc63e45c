package tinworks.control;

import tinworks.raft.Output;

/** Where what an agreement has to remember is written, one output after the other. */
interface Disk {
    /**
     * Writes an output. {@code done} runs on the agreement's own thread once all of it is synced, and in the order of
     * the calls; it never runs where that can't be had.
     */
    void write(Output output, Runnable done);
}
