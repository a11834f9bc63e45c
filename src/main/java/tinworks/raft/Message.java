package tinworks.raft;

import java.util.List;

/** What members say to each other. Each carries the sender's term. */
public sealed interface Message {
    /** The sender's term; for a question before a vote, the term it would stand in. */
    long term();

    /**
     * Asks for a vote, or with {@code pre} whether one would be given.
     *
     * @param handedOver the leader itself asked the sender to stand
     */
    record VoteRequest(long term, boolean pre, long lastIndex, long lastTerm, boolean handedOver)
            implements Message { }

    /** Gives or denies a vote; {@code term} is the one asked about where it is given. */
    record VoteReply(long term, boolean pre, boolean granted) implements Message { }

    /**
     * Entries that follow {@code previousIndex}, none in a heartbeat.
     *
     * @param commit the leader's commit index
     * @param round counts the leader's rounds of heartbeats, for reads
     */
    record Append(long term, long previousIndex, long previousTerm, long commit, long round, List<Entry> entries)
            implements Message {
        /** Keeps its own list of entries. */
        public Append {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Answers an {@link Append} or an {@link Install}.
     *
     * @param index where taken, up to where both logs are alike; else the last index that may be
     */
    record AppendReply(long term, boolean taken, long index, long round) implements Message { }

    /** A snapshot in place of entries that the leader no longer has. */
    record Install(long term, Snapshot snapshot, long round) implements Message { }

    /** The leader asks its best follower to stand at once, since it is about to end. */
    record HandOver(long term) implements Message { }
}
