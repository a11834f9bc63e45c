package tinworks.raft;

/** What a leader knows of one that it sends the log to, a voter or a learner. */
public final class Progress {
    static final long NEVER = Long.MIN_VALUE / 2;

    final Member member;
    long next;
    long match;
    long round;
    long heardAt;
    long rewoundAt;
    /** When the latest round was sent that it answered. */
    long askedAt = NEVER;
    /** The time that it sent last, on a clock of its own, 0 where none; and when that came. */
    long echo;
    long echoAt;

    Progress(Member member, long next, long now) {
        this.member = member;
        this.next = next;
        heardAt = now;
    }

    /** Who it is. */
    public Member member() {
        return member;
    }

    /** The last index that it has for certain, 0 where none. */
    public long match() {
        return match;
    }

    /** When it last said anything, in the machine's milliseconds. */
    public long heardAt() {
        return heardAt;
    }
}
