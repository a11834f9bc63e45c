package tinworks.control;

import tinworks.raft.Output;

/** Durable storage for the output of Raft, written in order. */
interface Disk {
    /**
     * Writes an output. {@code done} runs on the thread of the {@link RaftDriver} once the output is synced, in the
     * order of the calls. It never runs if the output cannot be synced.
     */
    void write(Output output, Runnable done);
}
