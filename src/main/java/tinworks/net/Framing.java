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

/** Where a message ends. */
final class Framing {
    private static final String VERSION = "HTTP/1.";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] \\d{3}");

    private Framing() {}

    /**
     * Whether all who read this head agree on where its message ends. Guards against bytes that are a body to one
     * reader and the next message to another: a coding other than chunked, which Netty passes over, would leave its
     * whole body standing where the next message begins.
     */
    static boolean hasOneReading(HttpMessage head) {
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
     * Whether a status line stands within this head. Guards against the beginning of an answer that was broken off, and
     * came late, with the answer to this request behind it: the status of the one, its seal or its proof that nothing
     * ran would be taken for the other's.
     */
    static boolean holdsAnother(HttpResponse head) {
        boolean holds = holdsStatusLine(head.status().reasonPhrase());
        for (Iterator<Map.Entry<CharSequence, CharSequence>> all =
                        head.headers().iteratorCharSequence();
                !holds && all.hasNext(); ) {
            holds = holdsStatusLine(all.next().getValue());
        }
        return holds;
    }

    private static boolean holdsStatusLine(CharSequence text) {
        return AsciiString.contains(text, VERSION) && STATUS_LINE.matcher(text).find();
    }
}
