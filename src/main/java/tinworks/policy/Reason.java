package tinworks.policy;

/** Why a request ended without a successful response. The names are written to metrics and the request journal. */
public enum Reason {
    /** Load shedding: refused on arrival because of overload. */
    SHED,
    /** No server had capacity for it before it expired. */
    NO_ROOM_IN_TIME,
    /** It could only have been answered after its latency target, where the answer has no value. */
    TOO_LATE_TO_COUNT,
    /** An attempt that may have been executed failed, and the request must not be executed twice. */
    MAY_HAVE_RUN,
    /** All of its attempts were used. */
    NO_TRIES_LEFT,
    /** The retry budget was exhausted. */
    NO_RETRY_BUDGET,
    /** It had expired when an attempt ended. */
    OUT_OF_TIME,
    /** Internal error of the gateway. */
    FAULT
}
