package tinworks.raft;

/** A leader's view of one member that it replicates to, a voter or a learner. */
public final class Progress {
    static final long NEVER = Long.MIN_VALUE / 2;

    final Member member;
    long nextIndex;
    long matchIndex;
    /** Index that a learner has to reach before it may vote: the end of the log when replication to it started. */
    long catchUpIndex;

    long ackedRound;
    long lastReceivedMillis;
    long lastRewindAt;
    /** Send time of the latest heartbeat round that the member acknowledged. */
    long ackedRoundSentAt = NEVER;
    /** The latest {@link Message.AppendReply#sentAt} from the member, 0 if none, and when it was received. */
    long peerSentAt;

    long peerSentReceivedAt;
    /** The snapshot transfer in progress, or null. */
    SnapshotTransfer transfer;

    Progress(Member member, long next, long now) {
        this.member = member;
        this.nextIndex = next;
        catchUpIndex = next - 1;
        lastReceivedMillis = now;
    }

    /** Returns the member. */
    public Member member() {
        return member;
    }

    /** Returns the last index known to be replicated to the member, 0 if none. */
    public long matchIndex() {
        return matchIndex;
    }

    /**
     * Returns whether the member has synced everything up to the end of the log at the time when replication to it
     * started, or resumed after it had been unresponsive. The target index is fixed because a member that receives
     * entries continuously may never hold everything that is committed.
     */
    public boolean caughtUp() {
        return matchIndex > 0 && matchIndex >= catchUpIndex;
    }

    /** Returns when the last message from the member was received, in the leader's steady milliseconds. */
    public long lastReceivedMillis() {
        return lastReceivedMillis;
    }
}
