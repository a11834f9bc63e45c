package tinworks.raft;

import java.util.List;

/**
 * The actions that result from events. The caller carries them out in this order: write and sync, call
 * {@link Raft#persisted}, send the messages, apply.
 *
 * @param hardState the hard state to write, or null if unchanged
 * @param snapshot the snapshot to write in place of the log up to its index, or null
 * @param truncateFrom the stored log is truncated from this index on before {@code entries} are written; 0 if there is
 *     nothing to truncate or write
 * @param lastIndex the last index of the log once everything is written
 * @param restored the snapshot to load into the state machine before {@code committed}, or null
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
    /** A message and the id of its recipient. */
    public record Envelope(long to, Message message) {}

    /** Returns whether anything has to be synced to disk before the messages are sent. */
    public boolean mustSync() {
        return hardState != null || snapshot != null || truncateFrom > 0;
    }

    /** Returns whether there is nothing to do. */
    public boolean isEmpty() {
        return !mustSync() && messages.isEmpty() && restored == null && committed.isEmpty() && reads.isEmpty();
    }
}
