package tinworks.control;

/** How a simulated system is broken on purpose: one guard is out. */
enum Flaw {
    NONE,
    /** A disk says that it has what it will have only later. */
    SYNC_SKIPPED,
    /** Names of files are never synced. */
    FOLDER_NOT_SYNCED,
    /** A machine whose disk was lost comes back under its old name. */
    IDENTITY_KEPT,
    /** A core machine always says that it hears a leader. */
    ALWAYS_FRESH,
    /** An order is acknowledged before it is committed. */
    EARLY_VERDICT,
    /** Older orders aren't known again when they are repeated. */
    REPEATS_FORGOTTEN,
    /** An edge takes whatever version is announced. */
    VERSIONS_NOT_COMPARED,
    /** A member that starts again knows neither its term nor whom it voted for. */
    VOTE_FORGOTTEN
}
