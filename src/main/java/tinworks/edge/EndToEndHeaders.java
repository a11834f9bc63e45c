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
 * The headers of a message that travel on. Those between two neighbours stay behind, as do those that
 * {@code Connection} itself names.
 *
 * <p>What is copied has been read and checked by a decoder, so it isn't checked again; values are kept as bytes, which
 * are written at one stroke, where a text is written letter by letter. On a small part of a core, with code that isn't
 * compiled yet, that is a tenth of what a request costs.
 */
final class EndToEndHeaders {
    /** Headers between two neighbours only, or made anew. */
    private static final AsciiString[] NOT_PASSED_ON = {
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

    /** New headers with those that travel on, but for those of the other names. */
    static HttpHeaders of(HttpHeaders from, AsciiString... replaced) {
        HttpHeaders to =
                DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
        Set<String> named = namedByConnection(from);
        for (Iterator<Map.Entry<CharSequence, CharSequence>> all = from.iteratorCharSequence(); all.hasNext(); ) {
            Map.Entry<CharSequence, CharSequence> header = all.next();
            CharSequence name = header.getKey();
            if (!isOneOf(name, NOT_PASSED_ON)
                    && !isOneOf(name, replaced)
                    && (named.isEmpty() || !named.contains(name.toString().toLowerCase(Locale.ROOT)))) {
                to.add(name, bytes(header.getValue()));
            }
        }
        return to;
    }

    private static boolean isOneOf(CharSequence name, AsciiString[] names) {
        for (AsciiString one : names) {
            if (one.length() == name.length() && one.contentEqualsIgnoreCase(name)) {
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

    /** What the Connection header itself names concerns one connection only. */
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
