package tinworks.control;

/** A deliberate defect of the simulated system, as in mutation testing: one safeguard is removed. */
enum Mutation {
    NONE,
    /** A disk confirms writes that become durable only later. */
    SYNC_SKIPPED,
    /** The directory of the store is never synced, so names of new files may be lost. */
    DIRECTORY_NOT_SYNCED,
    /** A node whose disk was lost rejoins under its old member id. */
    IDENTITY_KEPT,
    /** A core node always announces that it is up to date, with or without a leader. */
    ALWAYS_FRESH,
    /** A change is acknowledged before it is committed. */
    ACKNOWLEDGED_BEFORE_COMMIT,
    /** Changes already applied are not recognized when they are retried. */
    RETRIES_NOT_RECOGNIZED,
    /** An edge applies any announced version, also an older one. */
    VERSIONS_NOT_COMPARED,
    /** A restarted member has lost its term and its vote. */
    VOTE_FORGOTTEN
}
