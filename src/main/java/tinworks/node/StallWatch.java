package tinworks.node;

/**
 * Finds out that a process stood still: a task that is due at a steady interval comes late by as much. What happened to
 * requests meanwhile can't be explained without it. Belongs to one thread and reads no clock.
 */
public final class StallWatch {
    /** Later than this is a stall worth a line; below lies what a busy machine does anyway. */
    static final long STALL_MILLIS = 500;

    private final long intervalMillis;
    private long dueAt;
    private long longest;
    private long stalls;

    /** For a task that comes again and again after this interval. */
    public StallWatch(long intervalMillis) {
        this.intervalMillis = intervalMillis;
    }

    /** The task has come; returns by how much it is late where that is a stall, or 0. */
    public long came(long nowMillis) {
        long late = dueAt == 0 ? 0 : Math.max(0, nowMillis - dueAt);
        dueAt = nowMillis + intervalMillis;
        longest = Math.max(longest, late);
        if (late < STALL_MILLIS) {
            return 0;
        }
        stalls++;
        return late;
    }

    /** The longest that the task was late, in milliseconds. */
    public long longestMillis() {
        return longest;
    }

    /** How many stalls there were. */
    public long stalls() {
        return stalls;
    }
}
