package tinworks.raft;

import java.util.List;

/** What members say to each other. Each carries the sender's term. */
public sealed interface Message {
    /** The sender's term; for a question before a vote, the term it would stand in. */
    long term();

    /**
     * Asks for a vote, or with {@code pre} whether one would be given.
     *
     * @param leadershipTransfer the leader itself asked the sender to stand
     */
    record VoteRequest(long term, boolean preVote, long lastIndex, long lastTerm, boolean leadershipTransfer)
            implements Message {}

    /** Gives or denies a vote; {@code term} is the one asked about where it is given. */
    record VoteReply(long term, boolean preVote, boolean granted) implements Message {}

    /**
     * Entries that follow {@code previousIndex}, none in a heartbeat.
     *
     * @param leaderCommit the leader's commit index
     * @param round counts the leader's rounds of heartbeats, for reads and leases
     * @param echo the latest {@link AppendReply#sentAt} that the leader has from the member that this is for, 0 where
     *     none
     * @param leaseMillis how long the leader's lease lasts from when it got that, 0 where it has none
     */
    record Append(
            long term,
            long previousIndex,
            long previousTerm,
            long leaderCommit,
            long round,
            List<Entry> entries,
            long echo,
            long leaseMillis)
            implements Message {
        /** Keeps its own list of entries. */
        public Append {
            entries = List.copyOf(entries);
        }

        /** One of a leader without a lease. */
        public Append(long term, long previousIndex, long previousTerm, long commit, long round, List<Entry> entries) {
            this(term, previousIndex, previousTerm, commit, round, entries, 0, 0);
        }

        Append leased(long echoed, long millis) {
            return new Append(term, previousIndex, previousTerm, leaderCommit, round, entries, echoed, millis);
        }
    }

    /**
     * Answers an {@link Append} or an {@link InstallSnapshot}.
     *
     * @param index where taken, up to where both logs are alike; else the last index that may be
     * @param sentAt when it was sent, in milliseconds of a clock that only the sender can read
     */
    record AppendReply(long term, boolean success, long index, long round, long sentAt) implements Message {
        /** One that isn't sent yet. */
        public AppendReply(long term, boolean taken, long index, long round) {
            this(term, taken, index, round, 0);
        }

        AppendReply sent(long at) {
            return new AppendReply(term, success, index, round, at);
        }
    }

    /**
     * A piece of a snapshot, which stands in place of entries that the leader no longer has; with no bytes a heartbeat
     * that asks how far the follower has come.
     *
     * @param offset where in the state the piece belongs
     * @param sequence counts the leader's messages of this kind
     */
    record InstallSnapshot(long term, Snapshot.Metadata metadata, int offset, byte[] chunk, long sequence, long round)
            implements Message {}

    /**
     * Answers an {@link InstallSnapshot} while bytes are missing; once all are on the disk an {@link AppendReply} does.
     *
     * @param index the snapshot's
     * @param offset how many bytes of it are there, from its beginning on
     * @param sequence of the message that is answered
     */
    record InstallSnapshotReply(long term, long index, int offset, long sequence, long round) implements Message {}

    /**
     * A member that has started again asks the leader that it followed last whether that one still leads.
     *
     * @param incarnation a number that the sender drew at its start
     */
    record LeaseQuery(long term, long incarnation) implements Message {}

    /**
     * Answers a {@link LeaseQuery}: the sender didn't lead when that came, so whatever lease it had before is over.
     *
     * @param incarnation the query's
     */
    record LeaseEnded(long term, long incarnation) implements Message {}

    /** The leader asks its best follower to stand at once, since it is about to end. */
    record TimeoutNow(long term) implements Message {}
}
