package tinworks.raft;

import java.util.List;

/**
 * What is to be done after events, in this order: write and sync, tell the machine with {@link Raft#persisted}, send,
 * and apply.
 *
 * @param hardState to be written, or null
 * @param snapshot to be written in place of the log up to its index, or null
 * @param truncateFrom the log's records from this index on are to be removed before {@code entries} are written; 0
 *     where there are none to write
 * @param lastIndex the log's end once all of this is written
 * @param restored a snapshot to be loaded into the state machine before {@code committed}, or null
 * @param reads tickets of reads that may be answered once {@code committed} is applied
 */
public record Output(
        long term,
        HardState hardState,
        Snapshot snapshot,
        long truncateFrom,
        List<Entry> entries,
        long lastIndex,
        List<Envelope> messages,
        Snapshot restored,
        List<Entry> committed,
        List<Long> reads) {
    /** A message and the member it is for. */
    public record Envelope(long to, Message message) {}

    /** Whether anything has to reach the disk before the messages go out. */
    public boolean mustSync() {
        return hardState != null || snapshot != null || truncateFrom > 0;
    }

    /** Whether there is nothing to do at all. */
    public boolean isEmpty() {
        return !mustSync() && messages.isEmpty() && restored == null && committed.isEmpty() && reads.isEmpty();
    }
}
