package tinworks.net;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/** What became of clients' connections, and of requests that were turned away before anything was decided of them. */
public final class ClientCounters {
    /** Why a connection ended. */
    public enum CloseReason {
        /** The client closed or broke it. */
        CLIENT,
        /** Its last answer said so. */
        LAST_ANSWER,
        /** It stood idle for too long. */
        IDLE,
        /** Nothing came on it in time. */
        NOTHING_ASKED,
        /** Its client took nothing of an answer for too long. */
        NOT_READ,
        /** Others needed its place. */
        NO_PLACE,
        /** This process ends. */
        SHUTDOWN,
        /** Reading or writing failed here. */
        BROKEN
    }

    private final Map<CloseReason, Long> ends = new EnumMap<>(CloseReason.class);
    private final Map<Integer, Long> rejected = new TreeMap<>();
    private long opened;

    void connectionOpened() {
        opened++;
    }

    void connectionClosed(CloseReason end) {
        ends.merge(end, 1L, Long::sum);
    }

    void requestRejected(HttpResponseStatus status) {
        rejected.merge(status.code(), 1L, Long::sum);
    }

    /** Connections that were accepted. */
    public long connectionsOpened() {
        return opened;
    }

    /** Connections that ended, by why; reasons without any are left out. */
    public Map<CloseReason, Long> connectionsClosed() {
        return new EnumMap<>(ends);
    }

    /** Requests that were turned away before anything was decided of them, by their status. */
    public Map<Integer, Long> requestsRejected() {
        return new TreeMap<>(rejected);
    }
}
