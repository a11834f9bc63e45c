package tinworks.net;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/** Where a message ends. */
final class Framing {
    private Framing() { }

    /**
     * Whether all who read this head agree on where its message ends. Guards against bytes that are a body to one
     * reader and the next message to another: a coding other than chunked, which Netty passes over, would leave its
     * whole body standing where the next message begins.
     */
    static boolean hasOneReading(HttpMessage head) {
        HttpHeaders headers = head.headers();
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        HttpVersion version = head.protocolVersion();
        boolean chunked = codings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0))
                && !headers.contains(HttpHeaderNames.CONTENT_LENGTH) && version.equals(HttpVersion.HTTP_1_1);
        return (version.equals(HttpVersion.HTTP_1_1) || version.equals(HttpVersion.HTTP_1_0)) && (codings.isEmpty() || chunked);
    }
}
