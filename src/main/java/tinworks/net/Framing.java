package tinworks.net;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/** Checks of HTTP/1.x message framing against request and response smuggling. */
final class Framing {
    private static final String VERSION_PREFIX = "HTTP/1.";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] \\d{3}");

    private Framing() {}

    /**
     * Whether every reader of this head agrees on where the message ends. Otherwise bytes that are a body to one reader
     * are the next message to another (smuggling): Netty ignores a transfer coding other than chunked, and would read
     * the whole body as the next message.
     */
    static boolean isUnambiguous(HttpMessage head) {
        HttpHeaders headers = head.headers();
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        HttpVersion version = head.protocolVersion();
        boolean chunked = codings.size() == 1
                && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0))
                && !headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                && version.equals(HttpVersion.HTTP_1_1);
        return (version.equals(HttpVersion.HTTP_1_1) || version.equals(HttpVersion.HTTP_1_0))
                && (codings.isEmpty() || chunked);
    }

    /**
     * Whether the reason phrase or a header value contains a status line. This happens when a late response is
     * truncated within its head and the response to this request follows: the late response's status, seal or proof
     * that its request was not executed would be taken for this one's.
     */
    static boolean containsStatusLine(HttpResponse head) {
        boolean found = matchesStatusLine(head.status().reasonPhrase());
        for (Iterator<Map.Entry<CharSequence, CharSequence>> all =
                        head.headers().iteratorCharSequence();
                !found && all.hasNext(); ) {
            found = matchesStatusLine(all.next().getValue());
        }
        return found;
    }

    private static boolean matchesStatusLine(CharSequence text) {
        return AsciiString.contains(text, VERSION_PREFIX)
                && STATUS_LINE.matcher(text).find();
    }
}
