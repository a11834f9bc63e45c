package tinworks.edge;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import java.util.stream.Stream;
import tinworks.config.Configuration;
import tinworks.edge.EdgeFixture.Client;
import tinworks.edge.EdgeFixture.Message;
import tinworks.edge.FaultInjectingHost.AttemptEnding;
import tinworks.edge.FaultInjectingHost.InjectedFault;
import tinworks.edge.FaultInjectingHost.KnownOutcome;

/**
 * Walks through the table of docs/design/at-most-once.md: each ending at each byte, for both kinds of requests, on a
 * connection's first use and on a later one, with a request sent ahead behind it and others between, by several
 * clients.
 */
final class AtMostOnceSweep {
    /** One cell of the table at one byte: at the first host that the request reaches, or at each. */
    record Case(AttemptEnding ending, int position, boolean mutating, boolean reused, boolean atEachHost) {}

    /** What was played, how often again as it had not come about, and what broke a rule. */
    record Report(int cases, int retries, Map<AttemptEnding, Integer> byEnding, List<String> failures) {}

    private static final long SEED = 20_261_202;
    private static final long SHORT_DEADLINE_MILLIS = 80;
    private static final long LONG_DEADLINE_MILLIS = 10_000;
    private static final int WORKERS = 16;
    private static final int MAX_RETRIES = 30;
    private static final int NEW_SERVICE_EVERY = 8;
    private static final int VARIANTS = 4;
    private static final int MAX_ATTEMPTS = 2;

    private final EdgeFixture edge;
    private final List<String> failures = FaultInjectingHost.newFailureList();
    private final Map<String, String> sentRequests = new ConcurrentHashMap<>();
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger retries = new AtomicInteger();

    private AtMostOnceSweep(EdgeProtocol style) {
        edge = new EdgeFixture(style);
    }

    /**
     * Each ending at each byte. Where all is sent, in two parts, each byte is played for one kind and use in turn;
     * else, or where {@code all} are wanted, for both kinds and both uses. Beside these each ending is played at each
     * host that the request reaches, each byte for one kind and use in turn.
     */
    static List<Case> cases(boolean all, Predicate<Case> wanted) {
        List<Case> cases = new ArrayList<>();
        for (AttemptEnding ending : AttemptEnding.values()) {
            for (int position = 0; position < ending.positions(); position++) {
                for (int kind = 0; kind < VARIANTS; kind++) {
                    boolean inTurn = position % VARIANTS == kind;
                    Case one = new Case(ending, position, kind % 2 == 0, kind < 2, false);
                    if ((all || ending.isCut() || inTurn) && wanted.test(one)) {
                        cases.add(one);
                    }
                    Case everywhere = new Case(ending, position, one.mutating, one.reused, true);
                    if (inTurn && ending.canRepeatAtEachHost() && wanted.test(everywhere)) {
                        cases.add(everywhere);
                    }
                }
            }
        }
        Collections.shuffle(cases, new Random(SEED));
        return cases;
    }

    static Report run(EdgeProtocol style, List<Case> cases) throws Exception {
        AtMostOnceSweep walk = new AtMostOnceSweep(style);
        List<Thread> workers = new ArrayList<>();
        try (walk.edge) {
            for (int w = 0; w < WORKERS; w++) {
                int number = w;
                List<Case> part = new ArrayList<>();
                for (int i = w; i < cases.size(); i += WORKERS) {
                    part.add(cases.get(i));
                }
                workers.add(new Thread(() -> walk.runCases(number, part)));
            }
            workers.forEach(Thread::start);
            for (Thread worker : workers) {
                worker.join();
            }
        }
        Map<AttemptEnding, Integer> byEnding = new TreeMap<>();
        cases.forEach(one -> byEnding.merge(one.ending, 1, Integer::sum));
        return new Report(cases.size(), walk.retries.get(), byEnding, walk.failures);
    }

    private void runCases(int number, List<Case> cases) {
        try (FaultInjectingHost a = new FaultInjectingHost("a" + number, sentRequests, failures);
                FaultInjectingHost b = new FaultInjectingHost("b" + number, sentRequests, failures);
                FaultInjectingHost c = new FaultInjectingHost("c" + number, sentRequests, failures);
                Worker worker = new Worker(number, a, b, c)) {
            for (Case one : cases) {
                int tries = 0;
                while (!worker.runCase(one)) {
                    retries.incrementAndGet();
                    if (++tries > MAX_RETRIES) {
                        failures.add("never came about: " + one);
                        break;
                    }
                }
            }
            worker.checkMutatingRequests();
        } catch (IOException | InterruptedException | RuntimeException e) {
            failures.add("worker " + number + ": " + e + " at "
                    + (e.getStackTrace().length > 0 ? List.of(e.getStackTrace()) : ""));
        }
    }

    /** One host more than a request has tries, and clients that ask for one case after the other. */
    private final class Worker implements AutoCloseable {
        private final FaultInjectingHost[] hosts;
        private final String number;
        private final Random random;
        private Client client;
        private Client secondClient;
        private int casesRun;
        /** Answers that promise that a request never runs, by its id. */
        private final Map<String, Integer> refusalStatusById = new TreeMap<>();

        private final List<String> mutatingIds = new ArrayList<>();

        Worker(int number, FaultInjectingHost... hosts) throws IOException {
            this.hosts = hosts;
            this.number = String.valueOf(number);
            random = new Random(SEED + number);
            client = edge.client();
            secondClient = edge.client();
            for (FaultInjectingHost host : hosts) {
                edge.host(host.id(), host.address(), true);
                edge.route("warm-" + host.id(), Configuration.Type.IDEM, MAX_ATTEMPTS, host.id());
            }
        }

        private String nextId() {
            return String.format("%07d", ids.incrementAndGet());
        }

        private String newRequest(String id, String route, boolean mutating, long deadline) {
            String body = mutating ? "body of " + id : "";
            sentRequests.put(
                    id, (mutating ? "POST" : "GET") + " /" + route + "/" + id + "?q=%20" + id + " HTTP/1.1|" + body);
            return EdgeFixture.request(id, route, body, deadline, random.nextBoolean());
        }

        /** A plain request to each host, so that a connection to it rests; and the connection on which it came. */
        private FaultInjectingHost.Connection openIdleConnection(FaultInjectingHost host) throws IOException {
            for (int tries = 0; tries < MAX_RETRIES; tries++) {
                String id = nextId();
                client.write(newRequest(id, "warm-" + host.id(), false, LONG_DEADLINE_MILLIS));
                Message answer = client.read();
                if (answer != null && answer.status() == 200) {
                    checkOwnResponse(answer, id, "a plain request");
                    return host.lastConnection;
                }
                edge.route("warm-" + host.id(), Configuration.Type.IDEM, 2, host.id());
                reconnectIfClosed(answer);
            }
            failures.add("a host in good order was not reached");
            return null;
        }

        private void reconnectIfClosed(Message answer) throws IOException {
            if (answer == null || "close".equals(answer.headers().get("connection"))) {
                client.close();
                client = edge.client();
            }
        }

        private String[] hostIds() {
            return Stream.of(hosts).map(FaultInjectingHost::id).toArray(String[]::new);
        }

        /** Whether it came about. */
        boolean runCase(Case one) throws IOException, InterruptedException {
            AttemptEnding ending = one.ending;
            for (FaultInjectingHost host : hosts) {
                host.injected = null;
            }
            edge.hosts(one.reused, hosts);
            if (one.reused) {
                for (FaultInjectingHost host : hosts) {
                    openIdleConnection(host);
                }
            }
            String route = (one.mutating ? "mutating-" : "idem-") + number;
            String plain = "plain-" + number;
            edge.route(
                    route,
                    one.mutating ? Configuration.Type.MUTATING : Configuration.Type.IDEM,
                    MAX_ATTEMPTS,
                    hostIds());
            if (++casesRun % NEW_SERVICE_EVERY == 1) {
                edge.route(plain, Configuration.Type.IDEM, MAX_ATTEMPTS, hostIds());
            }
            InjectedFault play = new InjectedFault(ending, one.position, nextId(), one.atEachHost);
            if (one.mutating) {
                mutatingIds.add(play.id);
            }
            for (FaultInjectingHost host : hosts) {
                host.injected = play;
            }
            boolean leaves = ending == AttemptEnding.CLIENT_DISCONNECTED;
            boolean others = !leaves && ending != AttemptEnding.REQUEST_CUT && random.nextBoolean();
            String behind = others ? nextId() : null;
            String beside = others ? nextId() : null;
            // What is served whole needs no time to run out.
            long deadline = ending.waitsForDeadline() && ending.knownOutcome(one.position) != KnownOutcome.SERVED
                    ? SHORT_DEADLINE_MILLIS
                    : LONG_DEADLINE_MILLIS;
            String text = newRequest(play.id, route, one.mutating, deadline);
            client.write(others ? text + newRequest(behind, plain, false, LONG_DEADLINE_MILLIS) : text);
            if (others && play.begun.await(one.reused ? 2_000 : 0, TimeUnit.MILLISECONDS)) {
                secondClient.write(newRequest(beside, plain, false, LONG_DEADLINE_MILLIS));
            } else if (others) {
                secondClient.write(newRequest(beside, plain, false, LONG_DEADLINE_MILLIS));
            }
            if (leaves) {
                return checkClientDisconnect(play, one);
            }
            Message answer = client.read();
            checkResponse(one, play, answer);
            if (others) {
                checkOwnResponse(client.read(), behind, "behind " + one);
                checkOwnResponse(secondClient.read(), beside, "beside " + one);
            }
            reconnectIfClosed(answer);
            if (!play.isClaimed()) {
                return false;
            }
            if (!play.done.await(EdgeFixture.WAIT_MILLIS, TimeUnit.MILLISECONDS)) {
                failures.add("the host is not done with " + one);
            }
            boolean asWanted = play.reused == one.reused;
            boolean lives = ending.leavesConnectionReusable(one.position)
                    && one.reused
                    && !others
                    && asWanted
                    && !one.atEachHost;
            for (FaultInjectingHost host : hosts) {
                host.injected = null;
            }
            if (lives && openIdleConnection(play.host) != play.connection) {
                failures.add("its connection does not live: " + one);
            }
            return asWanted;
        }

        /** The client goes away while its request is at the host: nobody else gets it, and its connection ends. */
        private boolean checkClientDisconnect(InjectedFault play, Case one) throws IOException, InterruptedException {
            boolean begun = play.begun.await(EdgeFixture.WAIT_MILLIS, TimeUnit.MILLISECONDS);
            client.close();
            client = edge.client();
            if (!begun || !play.done.await(EdgeFixture.WAIT_MILLIS, TimeUnit.MILLISECONDS)) {
                failures.add("the host is not told that the client left: " + one);
            }
            if (count(play.id, true) != 1) {
                failures.add("arrived " + count(play.id, true) + " times: " + one);
            }
            return play.reused == one.reused;
        }

        private int count(String id, boolean arrivals) {
            int sum = 0;
            for (FaultInjectingHost host : hosts) {
                sum += (arrivals ? host.arrivals : host.runs).getOrDefault(id, 0);
            }
            return sum;
        }

        /** MIXED: an answer, whole, to this request. */
        private void checkOwnResponse(Message answer, String id, String what) {
            boolean own = answer != null
                    && answer.status() == 200
                    && id.equals(answer.headers().get("attempt-id"))
                    && ("s" + id).equals(answer.headers().get("origin-seal"))
                    && FaultInjectingHost.body(id).equals(answer.body());
            if (!own) {
                failures.add("MIXED: " + answer + " for " + id + ", " + what);
            }
        }

        private void checkResponse(Case one, InjectedFault play, Message answer) {
            int status = answer == null ? 0 : answer.status();
            if (one.mutating && (status == 429 || status == 503 || status == 408 || status == 421)) {
                refusalStatusById.put(play.id, status);
            }
            checkSeal(one, play, answer);
            if (count(play.id, true) > MAX_ATTEMPTS) {
                failures.add("BUDGET: reached " + count(play.id, true) + " hosts: " + one);
            }
            if (!play.isClaimed()) {
                return; // its time ran out, or its connection broke, before it reached a host
            }
            KnownOutcome known = one.ending.knownOutcome(one.position);
            if (status == 200) {
                checkOwnResponse(answer, play.id, one.toString());
            }
            int wanted = one.atEachHost
                    ? expectedStatusIfAllHostsFail(known, one.mutating, status)
                    : expectedStatus(known, one.mutating, status);
            if (status != wanted) {
                failures.add("answered " + status + ", not " + wanted + ": " + one + " on a "
                        + (play.reused ? "used" : "new") + " connection");
            }
            boolean elsewhere = one.mutating && known != KnownOutcome.NOT_RUN;
            if (elsewhere && count(play.id, true) > 1) {
                failures.add("went to another host though it may have run: " + one);
            }
        }

        /** MIXED: a host's seal goes with the status that the host gave, and never with an answer of the edge's own. */
        private void checkSeal(Case one, InjectedFault play, Message answer) {
            String seal = answer == null ? null : answer.headers().get("origin-seal");
            if (seal != null && !seal.equals(FaultInjectingHost.seal(play.id, answer.status()))) {
                failures.add("MIXED: " + answer.status() + " bears " + seal + ": " + one);
            }
        }

        /** Where the other hosts serve. */
        private int expectedStatus(KnownOutcome known, boolean mutating, int status) {
            return switch (known) {
                case SERVED, NOT_RUN -> 200;
                case FAILED -> mutating ? 500 : 200;
                case FAILED_UNUSUAL_STATUS -> mutating ? FaultInjectingHost.UNUSUAL_STATUS : 200;
                case UNKNOWN -> mutating ? 502 : 200;
                case TIMED_OUT -> mutating ? 502 : 503;
                case SERVED_OR_UNKNOWN -> status == 200 || status == 502 ? status : 200;
                case SERVED_OR_LATE -> status == 200 ? 200 : mutating ? 502 : 503;
                case FAILED_OR_LATE -> mutating ? status == 500 ? 500 : 502 : status == 200 ? 200 : 503;
            };
        }

        /** Where no host serves an idem request is refused, and a mutating one too if none ran it. */
        private int expectedStatusIfAllHostsFail(KnownOutcome known, boolean mutating, int status) {
            return switch (known) {
                case SERVED -> 200;
                case NOT_RUN -> 503;
                case SERVED_OR_UNKNOWN -> status == 200 ? 200 : mutating ? 502 : 503;
                case FAILED, FAILED_UNUSUAL_STATUS, UNKNOWN, TIMED_OUT, SERVED_OR_LATE, FAILED_OR_LATE ->
                    mutating || status == 200 ? expectedStatus(known, mutating, status) : 503;
            };
        }

        /** TWICE and REFUSED, once all that was sent has come. */
        void checkMutatingRequests() {
            for (String id : mutatingIds) {
                if (count(id, false) > 1) {
                    failures.add("TWICE: " + id);
                }
            }
            refusalStatusById.forEach((id, status) -> {
                if (count(id, false) > 0) {
                    failures.add("REFUSED: " + id + " ran and was answered " + status);
                }
            });
        }

        @Override
        public void close() throws IOException {
            client.close();
            secondClient.close();
        }
    }
}
