package tinworks.edge;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import tinworks.net.UnservedRequest;
import tinworks.net.UnservedRequest.Ending;

/**
 * A journal of the requests that ended without a successful response from a host, so that each can be explained
 * afterwards. The latest are kept for a page; a token bucket for each ending limits the log lines. Must be used from
 * one thread.
 */
final class RequestJournal {
    /** The number of requests on the page; a line takes about 200 bytes. */
    static final int MAX_ENTRIES = 256;
    /** The number of log lines of one ending that may be written in a burst. */
    static final int LOG_BURST = 20;

    /** The sustained rate of log lines of one ending. */
    static final int LOG_LINES_PER_SECOND = 4;

    private static final long SECOND_MILLIS = 1_000;

    /** The log lines that one ending may write now, and the number suppressed since the last one. */
    private static final class TokenBucket {
        private double tokens = LOG_BURST;
        private long refilledAtMillis;
        private long suppressed;
    }

    private final LongSupplier millis;
    private final Consumer<String> log;
    private final ArrayDeque<String> entries = new ArrayDeque<>();
    private final Map<Ending, TokenBucket> buckets = new EnumMap<>(Ending.class);

    /** Creates an empty journal; {@code millis} is a monotonic clock. */
    RequestJournal(LongSupplier millis, Consumer<String> log) {
        this.millis = millis;
        this.log = log;
        for (Ending ending : Ending.values()) {
            buckets.put(ending, new TokenBucket());
        }
    }

    /** Records a request that ended while this configuration version was in use. */
    void add(UnservedRequest request, long rev) {
        String line = request.line() + " version=" + rev;
        if (entries.size() == MAX_ENTRIES) {
            entries.removeFirst();
        }
        entries.addLast(Instant.now().truncatedTo(ChronoUnit.MILLIS) + " " + line);
        write(buckets.get(request.ending()), line);
    }

    private void write(TokenBucket bucket, String line) {
        long now = millis.getAsLong();
        double earned = (double) (now - bucket.refilledAtMillis) * LOG_LINES_PER_SECOND / SECOND_MILLIS;
        bucket.tokens = Math.min(LOG_BURST, bucket.tokens + earned);
        bucket.refilledAtMillis = now;
        if (bucket.tokens < 1) {
            bucket.suppressed++;
            return;
        }
        bucket.tokens--;
        log.accept(bucket.suppressed == 0 ? line : line + " unlogged=" + bucket.suppressed);
        bucket.suppressed = 0;
    }

    /** The latest requests, one a line, oldest first. */
    byte[] page() {
        return entries.isEmpty() ? new byte[0] : (String.join("\n", entries) + "\n").getBytes(StandardCharsets.UTF_8);
    }
}
