package tinworks.net;

import io.netty.handler.codec.http.FullHttpRequest;
import tinworks.net.ClientServer.Reply;
import tinworks.net.HostPool.Response;

/** How requests go to hosts, and answers to clients. */
public interface ForwardingProtocol {
    /** A copy of a client's request for a host, with what is left of its time. */
    FullHttpRequest forHost(FullHttpRequest request, String host, long timeoutNanos);

    /** How long a connection may have rested to carry a request of this class. */
    long maxIdleNanos(String requestClass);

    /** A host's answer goes to the client. */
    void relay(Reply reply, Response answer);

    /** The request is given up, and trying again is harmless, best after the pause (0: no advice). */
    void refuse(Reply reply, long pauseNanos);

    /** The request failed and may have run; {@code last} is a host's last whole answer, or null. */
    void fail(Reply reply, Response last);

    /** Whether an answer that counts as served shows that it is a host's success for the request of this id. */
    default boolean provesSuccess(String request, Response answer) {
        return true;
    }
}
