package tinworks.raft;

import java.util.List;

/** A message between members. Each carries the sender's term. */
public sealed interface Message {
    /** Returns the sender's term; for a pre-vote request, the term of the election that would follow. */
    long term();

    /**
     * Requests a vote; with {@code preVote} only asks whether the vote would be granted.
     *
     * @param leadershipTransfer whether the leader itself asked the sender to start an election
     */
    record VoteRequest(long term, boolean preVote, long lastIndex, long lastTerm, boolean leadershipTransfer)
            implements Message {}

    /** Grants or denies a vote; for a granted pre-vote {@code term} is the requested one. */
    record VoteReply(long term, boolean preVote, boolean granted) implements Message {}

    /**
     * Replicates the entries that follow {@code previousIndex}; a heartbeat has none.
     *
     * @param leaderCommit the leader's commit index
     * @param round number of the leader's heartbeat round, for read index requests and leases
     * @param echo the latest {@link AppendReply#sentAt} that the leader received from the recipient, 0 if none
     * @param leaseMillis remaining duration of the leader's lease, counted from when it received that reply; 0 if it
     *     holds no lease
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
        /** Copies the entries. */
        public Append {
            entries = List.copyOf(entries);
        }

        /** Creates the message of a leader without a lease. */
        public Append(
                long term, long previousIndex, long previousTerm, long leaderCommit, long round, List<Entry> entries) {
            this(term, previousIndex, previousTerm, leaderCommit, round, entries, 0, 0);
        }

        Append withLease(long echoed, long millis) {
            return new Append(term, previousIndex, previousTerm, leaderCommit, round, entries, echoed, millis);
        }
    }

    /**
     * Answers an {@link Append} or a completed {@link InstallSnapshot}.
     *
     * @param index on success the last index known to match the leader's log; otherwise the last index that may match
     * @param sentAt send time in milliseconds of a clock that only the sender can interpret
     */
    record AppendReply(long term, boolean success, long index, long round, long sentAt) implements Message {
        /** Creates a reply without a send time. */
        public AppendReply(long term, boolean success, long index, long round) {
            this(term, success, index, round, 0);
        }

        AppendReply withSentAt(long at) {
            return new AppendReply(term, success, index, round, at);
        }
    }

    /**
     * A chunk of a snapshot, sent in place of entries that the leader no longer holds. An empty chunk is a heartbeat
     * that asks how much of the snapshot the follower has received.
     *
     * @param offset position of the chunk in the state
     * @param sequence number of this message among the leader's messages of this kind
     */
    record InstallSnapshot(long term, Snapshot.Metadata metadata, int offset, byte[] chunk, long sequence, long round)
            implements Message {}

    /**
     * Answers an {@link InstallSnapshot} while bytes are missing. Once the whole snapshot is on disk, an
     * {@link AppendReply} answers instead.
     *
     * @param index the index of the snapshot
     * @param offset number of contiguous bytes received from the beginning of the state
     * @param sequence the sequence of the message answered
     */
    record InstallSnapshotReply(long term, long index, int offset, long sequence, long round) implements Message {}

    /**
     * Sent by a restarted member to the last leader that it followed, to find out whether that leader's lease is over.
     *
     * @param incarnation random number that the sender draws at each start
     */
    record LeaseQuery(long term, long incarnation) implements Message {}

    /**
     * Answers a {@link LeaseQuery}: the sender was not leader when it received the query, so any lease that it held
     * before is over.
     *
     * @param incarnation the incarnation from the query
     */
    record LeaseEnded(long term, long incarnation) implements Message {}

    /** Sent by a leader that transfers its leadership: the recipient starts an election at once. */
    record TimeoutNow(long term) implements Message {}
}
