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
 * The requests that ended without a host's success, so that each can be explained afterwards: the latest of them are
 * kept for a page, and a bounded number of lines a second goes to the log. Belongs to one thread.
 */
final class RequestJournal {
    /** What the page shows; a line takes some 200 bytes. */
    static final int MOST_KEPT = 256;
    /** A burst of lines of one ending, and how many may follow in each second after it. */
    static final int BURST = 20;

    static final int PER_SECOND = 4;
    private static final long SECOND_MILLIS = 1_000;

    /** How many lines of one ending may be written now, and how many were not since the last one. */
    private static final class TokenBucket {
        private double lines = BURST;
        private long at;
        private long suppressed;
    }

    private final LongSupplier millis;
    private final Consumer<String> log;
    private final ArrayDeque<String> kept = new ArrayDeque<>();
    private final Map<Ending, TokenBucket> allowances = new EnumMap<>(Ending.class);

    /** One that goes by a steady clock's milliseconds. */
    RequestJournal(LongSupplier millis, Consumer<String> log) {
        this.millis = millis;
        this.log = log;
        for (Ending ending : Ending.values()) {
            allowances.put(ending, new TokenBucket());
        }
    }

    /** Takes down a request that ended while this version was in force. */
    void ended(UnservedRequest request, long rev) {
        String line = request.line() + " version=" + rev;
        if (kept.size() == MOST_KEPT) {
            kept.removeFirst();
        }
        kept.addLast(Instant.now().truncatedTo(ChronoUnit.MILLIS) + " " + line);
        write(allowances.get(request.ending()), line);
    }

    private void write(TokenBucket allowance, String line) {
        long now = millis.getAsLong();
        double earned = (double) (now - allowance.at) * PER_SECOND / SECOND_MILLIS;
        allowance.lines = Math.min(BURST, allowance.lines + earned);
        allowance.at = now;
        if (allowance.lines < 1) {
            allowance.suppressed++;
            return;
        }
        allowance.lines--;
        log.accept(allowance.suppressed == 0 ? line : line + " unlogged=" + allowance.suppressed);
        allowance.suppressed = 0;
    }

    /** The latest requests, a line each, the oldest first. */
    byte[] page() {
        return kept.isEmpty() ? new byte[0] : (String.join("\n", kept) + "\n").getBytes(StandardCharsets.UTF_8);
    }
}
