package tinworks.soak;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Operators who change the configuration again and again, and readers of it, with the books of what was acknowledged.
 * Each order is sent until its answer is clear, to one core machine after the other. Safe for use by several threads.
 */
final class SoakOperators {
    /** How operators behave. */
    enum Conduct {
        USUAL,
        RACE,
        LOSE_ACKS,
        SERIES,
        BAD_ORDERS,
        LARGE_ORDERS,
        HUGE_ORDERS
    }

    /** A proper order is acknowledged within this while the core is settled. */
    static final long ACK_MILLIS = 5_000;

    private static final Duration PATIENCE = Duration.ofSeconds(1);
    /** For bodies of megabytes. */
    private static final Duration LONG_PATIENCE = Duration.ofSeconds(5);

    private static final int OK = 200;
    private static final int INVALID = 400;
    private static final int CONFLICT = 412;
    private static final int TOO_LARGE = 413;
    private static final int LONGEST_LOST_MILLIS = 40;
    private static final long PAUSE_MILLIS = 80;
    private static final long GIVE_UP_MILLIS = 40_000;
    private static final Pattern REV = Pattern.compile("^\\{\"rev\":([0-9]+),");

    /** An order, and since when it has been sent. */
    private record Order(long base, long rev, String body) {}

    private final HttpClient client = HttpClient.newBuilder()
            .connectTimeout(PATIENCE)
            .version(HttpClient.Version.HTTP_1_1)
            .build();
    private final List<String> cores;
    private final Books books;
    private final Timeline timeline;
    private final Map<Long, Set<String>> sentBodies = new HashMap<>();
    private final Set<String> refusedBodies = new HashSet<>();
    private final Map<Long, String> acknowledgedByBase = new HashMap<>();
    /** When each version was acknowledged first. */
    private final TreeMap<Long, Long> acknowledgedAt = new TreeMap<>();

    private final Map<Long, List<Long>> marksByRev = new HashMap<>();
    private volatile Conduct conduct = Conduct.USUAL;
    private volatile boolean stopped;

    SoakOperators(List<String> cores, Books books, Timeline timeline) {
        this.cores = List.copyOf(cores);
        this.books = books;
        this.timeline = timeline;
    }

    /** The addresses that operators know. */
    List<String> cores() {
        return cores;
    }

    void behave(Conduct changed) {
        conduct = changed;
    }

    /** No further order is begun. */
    void stop() {
        stopped = true;
    }

    /** The newest version that was acknowledged, 0 before the first. */
    synchronized long newest() {
        return acknowledgedAt.isEmpty() ? 0 : acknowledgedAt.lastKey();
    }

    /** When a version was acknowledged, in milliseconds of the day. */
    synchronized long acknowledgedAt(long rev) {
        return acknowledgedAt.get(rev);
    }

    /** Whether every version from this one on that was ever sent has the route that shows it. */
    synchronized boolean isMarkedSince(long rev) {
        return marksByRev.entrySet().stream()
                .allMatch(e -> e.getKey() < rev || e.getValue().contains(rev));
    }

    // ---- orders

    /** Sends the first version until it is taken; false where that takes too long. */
    boolean first(SplittableRandom random) throws InterruptedException {
        return send(order(0, 1, random), random, GIVE_UP_MILLIS) == OK;
    }

    /** Sends one version on the other until it is stopped. */
    void run(SplittableRandom random) throws InterruptedException {
        while (!stopped) {
            long base = newest();
            if (conduct == Conduct.BAD_ORDERS) {
                sendInvalid(base, random);
            }
            if (conduct == Conduct.RACE) {
                race(base, random);
            } else if (send(order(base, base + 1 + random.nextInt(3), random), random, GIVE_UP_MILLIS) == CONFLICT) {
                catchUp(random);
            }
            if (conduct != Conduct.SERIES) {
                TimeUnit.MILLISECONDS.sleep(100 + random.nextInt(500));
            }
        }
    }

    private Order order(long base, long rev, SplittableRandom random) {
        List<Long> marks = new ArrayList<>();
        synchronized (this) {
            acknowledgedAt.descendingKeySet().stream()
                    .limit(SoakConfigurations.MARKS_KEPT)
                    .forEach(marks::add);
            marks.add(rev);
            marksByRev.merge(rev, List.copyOf(marks), (a, b) -> {
                List<Long> both = new ArrayList<>(a);
                both.retainAll(b);
                return both;
            });
        }
        int more = switch (conduct) {
            case LARGE_ORDERS -> SoakConfigurations.LARGE;
            case HUGE_ORDERS -> random.nextBoolean() ? SoakConfigurations.HUGE : SoakConfigurations.LARGEST;
            default -> 0;
        };
        return new Order(base, rev, SoakConfigurations.of(rev, marks, more, random, books));
    }

    private void race(long base, SplittableRandom random) throws InterruptedException {
        long rev = base + 1 + random.nextInt(2);
        Order one = order(base, rev, random);
        Order other = order(base, random.nextBoolean() ? rev : rev + 1, random);
        SplittableRandom its = random.split();
        Thread second = new Thread(
                () -> {
                    try {
                        send(other, its, GIVE_UP_MILLIS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "second operator");
        second.start();
        send(one, random, GIVE_UP_MILLIS);
        second.join();
        catchUp(random);
    }

    /** What somebody else had taken is read, and is the next base. */
    private void catchUp(SplittableRandom random) throws InterruptedException {
        long until = books.now() + GIVE_UP_MILLIS;
        while (books.now() < until && !stopped) {
            String shown = show(random.nextInt(cores.size()), false);
            if (shown != null) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        }
    }

    private void sendInvalid(long base, SplittableRandom random) throws InterruptedException {
        Order valid = order(base, base + 1, random);
        String body = SoakConfigurations.invalid(valid.body, random);
        synchronized (this) {
            refusedBodies.add(body);
        }
        int status = call(random.nextInt(cores.size()), new Order(base, base + 1, body), PATIENCE);
        books.count("invalid order told " + status);
        if (status == OK) {
            books.breach("CONFIG", "an invalid configuration is acknowledged: " + shortened(body));
        }
    }

    /** Sends an order until its answer is clear; the status, or 0 where there is none for long. */
    private int send(Order order, SplittableRandom random, long mostMillis) throws InterruptedException {
        synchronized (this) {
            sentBodies.computeIfAbsent(order.rev, rev -> new HashSet<>()).add(order.body);
        }
        long since = books.now();
        long settledSince = since;
        boolean late = false;
        while (books.now() - since < mostMillis) {
            Duration patience = conduct == Conduct.LOSE_ACKS
                    ? Duration.ofMillis(1 + random.nextInt(LONGEST_LOST_MILLIS))
                    : order.body.length() > SoakConfigurations.HUGE ? LONG_PATIENCE : PATIENCE;
            int status = call(random.nextInt(cores.size()), order, patience);
            if (status == OK) {
                acknowledged(order);
                return status;
            } else if (status == CONFLICT || status == INVALID) {
                refused(order, status);
                return status;
            } else if (status == TOO_LARGE && order.body.length() > SoakConfigurations.HUGE) {
                books.count("huge orders told " + status);
                return status;
            }
            long now = books.now();
            settledSince = timeline.settled(now, now) && conduct != Conduct.LOSE_ACKS ? settledSince : now;
            if (!late && now - settledSince > ACK_MILLIS) {
                late = true;
                books.breach(
                        "Acks",
                        "order " + order.rev + " on " + order.base + " has no clear answer for " + (now - since)
                                + " ms, the core settled; last status " + status);
            }
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS + random.nextInt((int) PAUSE_MILLIS));
        }
        return 0;
    }

    private int call(int core, Order order, Duration patience) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + cores.get(core) + "/-/config/replace"))
                .header("Base-Rev", Long.toString(order.base))
                .timeout(patience)
                .POST(HttpRequest.BodyPublishers.ofString(order.body))
                .build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
        } catch (IOException e) {
            return 0;
        }
    }

    private synchronized void acknowledged(Order order) {
        books.count("orders acknowledged");
        String other = acknowledgedByBase.putIfAbsent(order.base, order.body);
        if (other != null && !other.equals(order.body)) {
            books.breach("CONFIG", "two changes on " + order.base + " are acknowledged, the second is " + order.rev);
        }
        if (refusedBodies.contains(order.body)) {
            books.breach("CONFIG", "order " + order.rev + " is acknowledged after it was refused");
        }
        acknowledgedAt.putIfAbsent(order.rev, books.now());
    }

    private synchronized void refused(Order order, int status) {
        books.count("orders told " + status);
        refusedBodies.add(order.body);
        if (order.body.equals(acknowledgedByBase.get(order.base))) {
            books.breach("CONFIG", "order " + order.rev + " was acknowledged and is now told " + status);
        }
        if (status == INVALID) {
            books.breach("CONFIG", "the valid order " + order.rev + " on " + order.base + " is told " + status);
        }
    }

    // ---- reads

    /** Reads at one machine after the other until it is stopped. */
    void read(SplittableRandom random) throws InterruptedException {
        while (!stopped) {
            show(random.nextInt(cores.size()), false);
            TimeUnit.MILLISECONDS.sleep(100 + random.nextInt(300));
        }
    }

    /** What one machine shows, judged by what was acknowledged before; null where it shows nothing. */
    String show(int core, boolean atTheEnd) throws InterruptedException {
        long newestBefore = newest();
        String shown;
        try {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + cores.get(core) + "/-/config/show"))
                    .timeout(PATIENCE)
                    .build();
            HttpResponse<String> answer = client.send(request, HttpResponse.BodyHandlers.ofString());
            if (answer.statusCode() != OK) {
                return null;
            }
            shown = answer.body();
        } catch (IOException e) {
            return null;
        }
        Matcher rev = REV.matcher(shown);
        if (!rev.find()) {
            books.breach("CONFIG", "core-" + core + " shows what was never sent: " + shortened(shown));
            return null;
        }
        judge(core, Long.parseLong(rev.group(1)), shown, newestBefore, atTheEnd);
        return shown;
    }

    private synchronized void judge(int core, long rev, String shown, long newestBefore, boolean atTheEnd) {
        if (rev < newestBefore) {
            String when = atTheEnd ? " at the end" : "";
            books.breach(
                    "CONFIG", "core-" + core + " shows " + rev + when + " after " + newestBefore + " was acknowledged");
        }
        if (!sentBodies.getOrDefault(rev, Set.of()).contains(shown)) {
            books.breach("CONFIG", "core-" + core + " shows under " + rev + " what was not sent: " + shortened(shown));
        }
        if (refusedBodies.contains(shown)) {
            books.breach("CONFIG", "core-" + core + " shows " + rev + ", which was refused");
        }
        // Shown by a majority's word, it is in force: the next order builds on it.
        acknowledgedAt.putIfAbsent(rev, books.now());
    }

    private static String shortened(String text) {
        return text.substring(0, Math.min(120, text.length()));
    }
}
