package tinworks.raft;

/**
 * Durations in milliseconds. A member starts an election if no leader has contacted it for a random time between
 * {@code electionTimeoutMillis} and twice that. This time has to outlast several heartbeats and the syncs of a slow
 * disk.
 */
public record Timing(long heartbeatIntervalMillis, long electionTimeoutMillis) {
    /** Checks that at least two heartbeats fit into an election timeout. */
    public Timing {
        if (heartbeatIntervalMillis <= 0 || electionTimeoutMillis < 2 * heartbeatIntervalMillis) {
            throw new IllegalArgumentException(
                    "timing: heartbeat " + heartbeatIntervalMillis + " ms, election " + electionTimeoutMillis + " ms");
        }
    }

    /**
     * Returns the duration of a leader lease. It is shorter than the time for which voters withhold their votes from
     * others, to allow for clocks that run at different rates.
     */
    long leaseMillis() {
        return electionTimeoutMillis - electionTimeoutMillis / 10;
    }
}
