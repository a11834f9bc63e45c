package tinworks.soak;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import tinworks.load.LoadClients;
import tinworks.net.HostPool.Response;
import tinworks.policy.LoadBalancerApi.Outcome;

/**
 * What clients sent and were told, and what hosts ran: the promises about requests are judged by these alone, never by
 * what a gateway says of itself. A request's tries carry its name, a dash and their own number. Safe for use by several
 * threads.
 */
final class Books implements LoadClients.Watcher {
    /** Work that goes to hosts later than this after its client has left is work for nobody. */
    static final long GONE_MILLIS = 500;
    /** Requests that may reach a host for a client that has left, as news of that crosses them. */
    private static final int FEW_GONE = 3;
    /** From when the platform shows a host as draining until nothing new may reach it. */
    static final long DRAIN_MILLIS = 3_000;
    /** How much later than its time is over a request may be answered. */
    static final long LATE_MILLIS = 1_000;

    private static final long LOSS_MILLIS = 200;
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    /** What is known of one try. */
    private static final class Try {
        private final String gateway;
        private final boolean once;
        private final boolean proper;
        private final String method;
        private final String uri;
        private final int body;
        private final long sentAt;
        private final long deadlineAt;
        private int runs;
        private int arrivals;
        private long leftAt = Long.MAX_VALUE;
        private boolean over;
        private boolean hostBrokeOff;
        private boolean promised;
        private int hostStatus;
        private int hostBody;

        Try(Sent sent, long sentAt) {
            gateway = sent.gateway();
            once = sent.once();
            proper = sent.proper();
            method = sent.method();
            uri = sent.uri();
            body = Arrays.hashCode(sent.body());
            this.sentAt = sentAt;
            deadlineAt = sentAt + sent.deadlineMillis();
        }
    }

    /**
     * What a client sends.
     *
     * @param once whether it may run once at most
     * @param proper whether nothing is wrong with it, and its client waits for the answer
     */
    record Sent(
            String gateway,
            boolean once,
            boolean proper,
            String method,
            String uri,
            byte[] body,
            long deadlineMillis) {}

    private final long startedAt = System.nanoTime();
    private final Timeline timeline;
    private final Map<String, Try> tries = new HashMap<>();
    private final Map<String, Integer> runsOfRequest = new HashMap<>();
    private final Map<String, Set<String>> servicesByPrefix = new HashMap<>();
    private final Map<String, Integer> counts = new TreeMap<>();
    private final List<Breach> breaches = new ArrayList<>();
    private final Map<String, Boolean> onceById = new HashMap<>();
    /** How many requests have no end yet, by the gateway that they went to. */
    private final Map<String, Integer> openAt = new HashMap<>();

    private int gone;

    Books(Timeline timeline) {
        this.timeline = timeline;
    }

    /** Milliseconds since the start of the day. */
    long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
    }

    /** A promise is broken. */
    synchronized void breach(String rule, String what) {
        breaches.add(new Breach(rule, now(), what));
    }

    /** Those found so far, in their order. */
    synchronized List<Breach> breaches() {
        return List.copyOf(breaches);
    }

    /** Counts something worth a figure in the report. */
    synchronized void count(String what) {
        counts.merge(what, 1, Integer::sum);
    }

    /** The figures so far. */
    synchronized Map<String, Integer> counts() {
        return new TreeMap<>(counts);
    }

    /** A configuration that allows this was sent, whatever became of it. */
    synchronized void allows(String prefix, String service) {
        servicesByPrefix.computeIfAbsent(prefix, p -> new HashSet<>()).add(service);
    }

    // ---- clients

    @Override
    public synchronized void sent(String attemptId, boolean once) {
        onceById.put(attemptId, once);
    }

    @Override
    public synchronized void sending(String attemptId, String gateway, FullHttpRequest request) {
        byte[] body = ByteBufUtil.getBytes(request.content());
        long deadline = Long.parseLong(request.headers().get(SoakHost.DEADLINE));
        sent(
                attemptId,
                new Sent(
                        gateway,
                        onceById.remove(attemptId),
                        true,
                        request.method().name(),
                        request.uri(),
                        body,
                        deadline));
    }

    /** A try is about to be sent. */
    synchronized void sent(String id, Sent sent) {
        tries.put(id, new Try(sent, now()));
        openAt.merge(sent.gateway(), 1, Integer::sum);
        counts.merge("sent", 1, Integer::sum);
    }

    /** The client of a try closes its connection. */
    synchronized void left(String id) {
        Try t = tries.get(id);
        if (t != null) {
            t.leftAt = Math.min(t.leftAt, now());
            over(t);
        }
    }

    private void over(Try t) {
        if (!t.over) {
            t.over = true;
            openAt.merge(t.gateway, -1, Integer::sum);
        }
    }

    /** How many requests are open at a gateway. */
    synchronized int open(String gateway) {
        return openAt.getOrDefault(gateway, 0);
    }

    /** How many requests are open at all gateways. */
    synchronized int open() {
        return openAt.values().stream().mapToInt(Integer::intValue).sum();
    }

    @Override
    public void promisedNotRun(String attemptId) {
        // The status that promises it is looked at with the answer.
    }

    @Override
    public synchronized void ended(String id, Outcome outcome, Response answer) {
        Try t = tries.get(id);
        over(t);
        if (answer != null) {
            HttpHeaders headers = answer.head().headers();
            answered(
                    id, answer.head().status().code(), headers.get(SoakHost.SEAL), ByteBufUtil.getBytes(answer.body()));
        } else if (outcome == Outcome.RESET) {
            closed(id, t);
        } else if (outcome == Outcome.TIMED_OUT) {
            counts.merge("unanswered", 1, Integer::sum);
            if (!timeline.excusesDelay(t.gateway, t.sentAt, now())) {
                breach(
                        "LATE",
                        id + " at " + t.gateway + " had no answer " + (now() - t.deadlineAt)
                                + " ms after its time was over" + whatHostsDid(t));
            }
        } else {
            counts.merge("ended " + outcome, 1, Integer::sum);
        }
    }

    /** A client has the whole answer to a try. */
    synchronized void answered(String id, int status, String seal, byte[] body) {
        Try t = tries.get(id);
        over(t);
        long now = now();
        counts.merge("told " + status, 1, Integer::sum);
        boolean success = status >= 200 && status < 300;
        if (success && (t.hostStatus != status || seal == null || Arrays.hashCode(body) != t.hostBody)) {
            breach(
                    "MIXED",
                    id + " at " + t.gateway + " is answered " + status + " with seal " + seal + " and " + body.length
                            + " bytes" + whatHostsDid(t));
        } else if (!success && seal != null && !seal.startsWith("seal-" + status + "-")) {
            breach("MIXED", id + " at " + t.gateway + " is answered " + status + " with seal " + seal);
        }
        if (PROMISES.contains(status) && t.once) {
            t.promised = true;
            if (t.runs > 0) {
                breach("REFUSED", id + " at " + t.gateway + " is answered " + status + whatHostsDid(t));
            }
        }
        if (t.proper && seal == null && status >= 300 && status < 500 && !PROMISES.contains(status)) {
            breach("DENIED", id + " " + t.uri + " at " + t.gateway + " is answered " + status);
        }
        if (t.proper && now > t.deadlineAt + LATE_MILLIS && !timeline.excusesDelay(t.gateway, t.sentAt, now)) {
            breach(
                    "LATE",
                    id + " at " + t.gateway + " is answered " + status + " " + (now - t.deadlineAt)
                            + " ms after its time was over" + whatHostsDid(t));
        }
    }

    private void closed(String id, Try t) {
        long now = now();
        counts.merge("closed without an answer", 1, Integer::sum);
        boolean passedOn = t.arrivals > 0;
        boolean excused = t.hostBrokeOff
                || now >= t.deadlineAt
                || timeline.troubled(t.gateway, t.sentAt - Timeline.CONTACT_MILLIS, now);
        if (!excused && (passedOn || now - t.sentAt > LOSS_MILLIS)) {
            breach(
                    "LOST",
                    id + " at " + t.gateway + ": the connection was closed " + (now - t.sentAt)
                            + " ms after it was sent" + whatHostsDid(t));
        }
    }

    private static String whatHostsDid(Try t) {
        return "; hosts: arrivals " + t.arrivals + ", runs " + t.runs + ", last status " + t.hostStatus
                + (t.hostBrokeOff ? ", broke off" : "");
    }

    // ---- hosts

    /** A request reaches a host; {@code drainingSince} is when the platform showed it as draining, or never. */
    synchronized void arrived(String id, String host, long drainingSince) {
        Try t = tries.get(id);
        if (t == null) {
            return;
        }
        long now = now();
        t.arrivals++;
        counts.merge("arrivals", 1, Integer::sum);
        if (now - t.leftAt > GONE_MILLIS && timeline.inTouch(t.gateway, t.leftAt, now) && ++gone > FEW_GONE) {
            breach(
                    "GONE",
                    id + " at " + t.gateway + " reaches " + host + " " + (now - t.leftAt)
                            + " ms after its client left");
        }
        if (drainingSince != Long.MAX_VALUE
                && now - drainingSince > DRAIN_MILLIS
                && !timeline.troubled(SoakHost.PLATFORM_TROUBLE, drainingSince, now)
                && timeline.inTouch(t.gateway, drainingSince, now)) {
            breach(
                    "DRAIN",
                    id + " at " + t.gateway + " reaches " + host + " " + (now - drainingSince)
                            + " ms after the platform showed it as draining");
        }
    }

    /** A host begins to work on a request. */
    synchronized void ran(String id, String host, String service, String method, String uri, byte[] body) {
        Try t = tries.get(id);
        if (t == null) {
            breach("UNASKED", host + " runs " + id + " " + method + " " + uri + ", which nobody sent");
            return;
        }
        t.runs++;
        counts.merge("runs", 1, Integer::sum);
        if (!t.method.equals(method) || !t.uri.equals(uri) || t.body != Arrays.hashCode(body)) {
            breach(
                    "UNASKED",
                    host + " runs " + id + " as " + method + " " + uri + " with " + body.length + " bytes, sent was "
                            + t.method + " " + t.uri);
        }
        int dash = id.lastIndexOf('-');
        int runs = runsOfRequest.merge(dash < 0 ? id : id.substring(0, dash), 1, Integer::sum);
        if (t.once && runs > 1) {
            breach("TWICE", id + " at " + t.gateway + " runs at " + host + " as run " + runs);
        }
        if (t.once && t.promised) {
            breach("REFUSED", id + " at " + t.gateway + " runs at " + host + " after a promise that it would not");
        }
        String prefix = uri.substring(0, uri.indexOf('/', 1) + 1);
        if (!servicesByPrefix.getOrDefault(prefix, Set.of()).contains(service)) {
            breach("ROUTE", id + " " + uri + " at " + t.gateway + " runs at " + host + " of " + service);
        }
    }

    /** A host sends its whole answer to a request. */
    synchronized void answers(String id, int status, byte[] body) {
        Try t = tries.get(id);
        if (t != null) {
            t.hostStatus = status;
            t.hostBody = Arrays.hashCode(body);
        }
    }

    /** A host breaks off, spoils or loses its answer to a request, or turns it away. */
    synchronized void hostBrokeOff(String id) {
        Try t = tries.get(id);
        if (t != null) {
            t.hostBrokeOff = true;
        }
    }
}
