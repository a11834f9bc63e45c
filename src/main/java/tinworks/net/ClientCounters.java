package tinworks.net;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/** Counters of client connections and of requests rejected before processing. */
public final class ClientCounters {
    /** Why a connection was closed. The constants' names are written out as metric labels. */
    public enum CloseReason {
        /** The client closed or reset it. */
        CLIENT,
        /** A response announced {@code Connection: close}. */
        LAST_ANSWER,
        /** Idle timeout. */
        IDLE,
        /** No request was received within the time limit. */
        NOTHING_ASKED,
        /** The client did not read a response for too long. */
        NOT_READ,
        /** Closed to stay within the connection limit. */
        NO_PLACE,
        /** The server shuts down. */
        SHUTDOWN,
        /** A fault while reading or writing. */
        BROKEN
    }

    private final Map<CloseReason, Long> closed = new EnumMap<>(CloseReason.class);
    private final Map<Integer, Long> rejected = new TreeMap<>();
    private long opened;

    void connectionOpened() {
        opened++;
    }

    void connectionClosed(CloseReason reason) {
        closed.merge(reason, 1L, Long::sum);
    }

    void requestRejected(HttpResponseStatus status) {
        rejected.merge(status.code(), 1L, Long::sum);
    }

    /** Number of accepted connections. */
    public long connectionsOpened() {
        return opened;
    }

    /** Closed connections by reason; reasons that did not occur are left out. */
    public Map<CloseReason, Long> connectionsClosed() {
        return new EnumMap<>(closed);
    }

    /** Requests rejected before processing, by response status. */
    public Map<Integer, Long> requestsRejected() {
        return new TreeMap<>(rejected);
    }
}
