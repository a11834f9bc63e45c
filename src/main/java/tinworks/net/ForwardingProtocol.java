package tinworks.net;

import io.netty.handler.codec.http.FullHttpRequest;
import tinworks.net.ClientServer.Reply;
import tinworks.net.HostPool.Response;

/**
 * Builds the requests to hosts and the responses to clients in the form of one protocol. It does not decide where a
 * request is sent, or whether it is retried.
 */
public interface ForwardingProtocol {
    /** A copy of a client's request for a host, with the remaining time as its timeout. */
    FullHttpRequest forHost(FullHttpRequest request, String host, long timeoutNanos);

    /** The longest time that a connection may have been idle to carry a request of this class. */
    long maxIdleNanos(String requestClass);

    /** Sends a host's response to the client. */
    void relay(Reply reply, Response response);

    /** Refuses a request that was not executed and that the client may retry after the pause (0: no hint). */
    void refuse(Reply reply, long pauseNanos);

    /** Fails a request that may have been executed; {@code last} is the last complete response, or null. */
    void fail(Reply reply, Response last);

    /** Whether a response counted as served proves that a host executed the request with this id successfully. */
    default boolean provesSuccess(String request, Response response) {
        return true;
    }
}
