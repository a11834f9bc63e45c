package tinworks.raft;

/** What a leader knows of one that it sends the log to, a voter or a learner. */
public final class Progress {
    static final long NEVER = Long.MIN_VALUE / 2;

    final Member member;
    long next;
    long match;
    /** What it has to have before it may vote: where the log ended when the leader began to send it. */
    long target;

    long round;
    long heardAt;
    long rewoundAt;
    /** When the latest round was sent that it answered. */
    long askedAt = NEVER;
    /** The time that it sent last, on a clock of its own, 0 where none; and when that came. */
    long echo;

    long echoAt;
    /** The snapshot that is on its way, null where none is. */
    Transfer transfer;

    Progress(Member member, long next, long now) {
        this.member = member;
        this.next = next;
        target = next - 1;
        heardAt = now;
    }

    /** Who it is. */
    public Member member() {
        return member;
    }

    /** The last index that it has for certain, 0 where none. */
    public long matchIndex() {
        return match;
    }

    /**
     * Whether it has synced all that the log held when the leader began to send it, or when it was last heard again. An
     * index that stands still, since one that takes entries all the time may never have all that is committed.
     */
    public boolean caughtUp() {
        return match > 0 && match >= target;
    }

    /** When it last said anything, in the machine's milliseconds. */
    public long lastReceivedMillis() {
        return heardAt;
    }
}
