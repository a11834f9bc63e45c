package tinworks.edge;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Copies the end-to-end headers of a message. Hop-by-hop headers, and those that {@code Connection} names, are dropped.
 *
 * <p>The headers have been validated by a decoder and are not validated again. Values are kept as bytes, which are
 * written in one copy, whereas a string is written character by character. With a small share of a processor and code
 * that is not compiled yet, that saves a tenth of the cost of a request.
 */
final class EndToEndHeaders {
    /** Hop-by-hop headers, and those that are set again for the next hop. */
    private static final AsciiString[] HOP_BY_HOP = {
        HttpHeaderNames.CONNECTION,
        AsciiString.cached("keep-alive"),
        AsciiString.cached("proxy-connection"),
        HttpHeaderNames.TE,
        HttpHeaderNames.TRAILER,
        HttpHeaderNames.TRANSFER_ENCODING,
        HttpHeaderNames.UPGRADE,
        HttpHeaderNames.EXPECT,
        HttpHeaderNames.CONTENT_LENGTH
    };

    private EndToEndHeaders() {}

    /** A copy of the end-to-end headers, without those that the caller replaces. */
    static HttpHeaders of(HttpHeaders from, AsciiString... replaced) {
        HttpHeaders to =
                DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
        Set<String> named = namedByConnection(from);
        for (Iterator<Map.Entry<CharSequence, CharSequence>> headers = from.iteratorCharSequence();
                headers.hasNext(); ) {
            Map.Entry<CharSequence, CharSequence> header = headers.next();
            CharSequence name = header.getKey();
            if (!containsIgnoreCase(name, HOP_BY_HOP)
                    && !containsIgnoreCase(name, replaced)
                    && (named.isEmpty() || !named.contains(name.toString().toLowerCase(Locale.ROOT)))) {
                to.add(name, bytes(header.getValue()));
            }
        }
        return to;
    }

    private static boolean containsIgnoreCase(CharSequence name, AsciiString[] names) {
        for (AsciiString candidate : names) {
            if (candidate.length() == name.length() && candidate.contentEqualsIgnoreCase(name)) {
                return true;
            }
        }
        return false;
    }

    private static CharSequence bytes(CharSequence value) {
        return value instanceof String text
                ? new AsciiString(text.getBytes(StandardCharsets.ISO_8859_1), false)
                : value;
    }

    /** The names in the {@code Connection} header, in lower case: these headers concern one connection only. */
    private static Set<String> namedByConnection(HttpHeaders headers) {
        List<String> values = headers.getAll(HttpHeaderNames.CONNECTION);
        if (values.isEmpty()) {
            return Set.of();
        }
        Set<String> named = new HashSet<>();
        for (String value : values) {
            for (String name : value.split(",")) {
                named.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        return named;
    }
}
