package tinworks.raft;

/**
 * Spans in milliseconds. An election starts after a silence between {@code electionMillis} and twice that, so it has to
 * outlast several heartbeats and a slow disk's syncs.
 */
public record Timing(long heartbeatMillis, long electionMillis) {
    /** Checks that heartbeats can keep an election away. */
    public Timing {
        if (heartbeatMillis <= 0 || electionMillis < 2 * heartbeatMillis) {
            throw new IllegalArgumentException(
                    "timing: heartbeat " + heartbeatMillis + " ms, election " + electionMillis + " ms");
        }
    }

    /**
     * How long a leader may count on the voters that answered it: shorter than their silence, for clocks of unlike
     * rates.
     */
    long leaseMillis() {
        return electionMillis - electionMillis / 10;
    }
}
