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
import tinworks.edge.FaultInjectingHost.Known;

/**
 * Runs the cases of the table of docs/design/at-most-once.md: every ending of an attempt at every byte, for both kinds
 * of requests, on new and on reused connections, with a pipelined request behind it and concurrent ones from other
 * clients.
 */
final class AtMostOnceSweep {
    /** One cell of the table at one byte, run at the first host that the request reaches or at each. */
    record Case(AttemptEnding ending, int position, boolean mutating, boolean reused, boolean atEachHost) {}

    /** The cases run, the retries of cases that did not come about as intended, and the violations found. */
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

    private AtMostOnceSweep(EdgeProtocol protocol) {
        edge = new EdgeFixture(protocol);
    }

    /**
     * Every ending at every byte. Where everything is sent, in two parts, each byte is run with one combination of kind
     * (mutating or not) and use (new or reused connection) in rotation. Otherwise, or with {@code all}, it is run with
     * all four. In addition each ending is run at every host that the request reaches, in rotation too.
     */
    static List<Case> cases(boolean all, Predicate<Case> filter) {
        List<Case> cases = new ArrayList<>();
        for (AttemptEnding ending : AttemptEnding.values()) {
            for (int position = 0; position < ending.positions(); position++) {
                for (int kind = 0; kind < VARIANTS; kind++) {
                    boolean inTurn = position % VARIANTS == kind;
                    Case testCase = new Case(ending, position, kind % 2 == 0, kind < 2, false);
                    if ((all || ending.isCut() || inTurn) && filter.test(testCase)) {
                        cases.add(testCase);
                    }
                    Case atEachHost = new Case(ending, position, testCase.mutating, testCase.reused, true);
                    if (inTurn && ending.canRepeatAtEachHost() && filter.test(atEachHost)) {
                        cases.add(atEachHost);
                    }
                }
            }
        }
        Collections.shuffle(cases, new Random(SEED));
        return cases;
    }

    static Report run(EdgeProtocol protocol, List<Case> cases) throws Exception {
        AtMostOnceSweep sweep = new AtMostOnceSweep(protocol);
        List<Thread> workers = new ArrayList<>();
        try (sweep.edge) {
            for (int w = 0; w < WORKERS; w++) {
                int number = w;
                List<Case> part = new ArrayList<>();
                for (int i = w; i < cases.size(); i += WORKERS) {
                    part.add(cases.get(i));
                }
                workers.add(new Thread(() -> sweep.runCases(number, part)));
            }
            workers.forEach(Thread::start);
            for (Thread worker : workers) {
                worker.join();
            }
        }
        Map<AttemptEnding, Integer> byEnding = new TreeMap<>();
        cases.forEach(testCase -> byEnding.merge(testCase.ending, 1, Integer::sum));
        return new Report(cases.size(), sweep.retries.get(), byEnding, sweep.failures);
    }

    private void runCases(int number, List<Case> cases) {
        try (FaultInjectingHost a = new FaultInjectingHost("a" + number, sentRequests, failures);
                FaultInjectingHost b = new FaultInjectingHost("b" + number, sentRequests, failures);
                FaultInjectingHost c = new FaultInjectingHost("c" + number, sentRequests, failures);
                Worker worker = new Worker(number, a, b, c)) {
            for (Case testCase : cases) {
                int repeats = 0;
                while (!worker.runCase(testCase)) {
                    retries.incrementAndGet();
                    if (++repeats > MAX_RETRIES) {
                        failures.add("never came about as intended: " + testCase);
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

    /** Plays cases one after the other, with one host more than a request has attempts. */
    private final class Worker implements AutoCloseable {
        private final FaultInjectingHost[] hosts;
        private final String number;
        private final Random random;
        private Client client;
        private Client secondClient;
        private int casesRun;
        /** Statuses that promise that a mutating request never runs, by request id. */
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

        /** Sends a plain request to a host, so that a connection to it is idle; returns that connection. */
        private FaultInjectingHost.Connection openIdleConnection(FaultInjectingHost host) throws IOException {
            for (int repeats = 0; repeats < MAX_RETRIES; repeats++) {
                String id = nextId();
                client.write(newRequest(id, "warm-" + host.id(), false, LONG_DEADLINE_MILLIS));
                Message response = client.read();
                if (response != null && response.status() == 200) {
                    checkOwnResponse(response, id, "a plain request");
                    return host.lastConnection;
                }
                edge.route("warm-" + host.id(), Configuration.Type.IDEM, 2, host.id());
                reconnectIfClosed(response);
            }
            failures.add("a working host was not reached");
            return null;
        }

        private void reconnectIfClosed(Message response) throws IOException {
            if (response == null || "close".equals(response.headers().get("connection"))) {
                client.close();
                client = edge.client();
            }
        }

        private String[] hostIds() {
            return Stream.of(hosts).map(FaultInjectingHost::id).toArray(String[]::new);
        }

        /** Plays a case; returns whether it came about as intended. */
        boolean runCase(Case testCase) throws IOException, InterruptedException {
            AttemptEnding ending = testCase.ending;
            for (FaultInjectingHost host : hosts) {
                host.injected = null;
            }
            edge.hosts(testCase.reused, hosts);
            if (testCase.reused) {
                for (FaultInjectingHost host : hosts) {
                    openIdleConnection(host);
                }
            }
            String route = (testCase.mutating ? "mutating-" : "idem-") + number;
            String plain = "plain-" + number;
            edge.route(
                    route,
                    testCase.mutating ? Configuration.Type.MUTATING : Configuration.Type.IDEM,
                    MAX_ATTEMPTS,
                    hostIds());
            if (++casesRun % NEW_SERVICE_EVERY == 1) {
                edge.route(plain, Configuration.Type.IDEM, MAX_ATTEMPTS, hostIds());
            }
            InjectedFault fault = new InjectedFault(ending, testCase.position, nextId(), testCase.atEachHost);
            if (testCase.mutating) {
                mutatingIds.add(fault.id);
            }
            for (FaultInjectingHost host : hosts) {
                host.injected = fault;
            }
            boolean disconnects = ending == AttemptEnding.CLIENT_DISCONNECTED;
            boolean withOthers = !disconnects && ending != AttemptEnding.REQUEST_CUT && random.nextBoolean();
            String pipelinedId = withOthers ? nextId() : null;
            String concurrentId = withOthers ? nextId() : null;
            // A request that is served does not have to wait for its deadline.
            long deadline = ending.waitsForDeadline() && ending.known(testCase.position) != Known.SERVED
                    ? SHORT_DEADLINE_MILLIS
                    : LONG_DEADLINE_MILLIS;
            String text = newRequest(fault.id, route, testCase.mutating, deadline);
            client.write(withOthers ? text + newRequest(pipelinedId, plain, false, LONG_DEADLINE_MILLIS) : text);
            if (withOthers && fault.begun.await(testCase.reused ? 2_000 : 0, TimeUnit.MILLISECONDS)) {
                secondClient.write(newRequest(concurrentId, plain, false, LONG_DEADLINE_MILLIS));
            } else if (withOthers) {
                secondClient.write(newRequest(concurrentId, plain, false, LONG_DEADLINE_MILLIS));
            }
            if (disconnects) {
                return checkClientDisconnect(fault, testCase);
            }
            Message response = client.read();
            checkResponse(testCase, fault, response);
            if (withOthers) {
                checkOwnResponse(client.read(), pipelinedId, "pipelined behind " + testCase);
                checkOwnResponse(secondClient.read(), concurrentId, "concurrent with " + testCase);
            }
            reconnectIfClosed(response);
            if (!fault.isClaimed()) {
                return false;
            }
            if (!fault.done.await(EdgeFixture.WAIT_MILLIS, TimeUnit.MILLISECONDS)) {
                failures.add("the host has not completed " + testCase);
            }
            boolean asIntended = fault.reused == testCase.reused;
            boolean expectsReuse = ending.leavesConnectionReusable(testCase.position)
                    && testCase.reused
                    && !withOthers
                    && asIntended
                    && !testCase.atEachHost;
            for (FaultInjectingHost host : hosts) {
                host.injected = null;
            }
            if (expectsReuse && openIdleConnection(fault.host) != fault.connection) {
                failures.add("its connection is not reused: " + testCase);
            }
            return asIntended;
        }

        /**
         * The client disconnects while its request is at the host: no other host gets it, and the connection is closed.
         */
        private boolean checkClientDisconnect(InjectedFault fault, Case testCase)
                throws IOException, InterruptedException {
            boolean begun = fault.begun.await(EdgeFixture.WAIT_MILLIS, TimeUnit.MILLISECONDS);
            client.close();
            client = edge.client();
            if (!begun || !fault.done.await(EdgeFixture.WAIT_MILLIS, TimeUnit.MILLISECONDS)) {
                failures.add("the host did not notice the disconnect of the client: " + testCase);
            }
            if (count(fault.id, true) != 1) {
                failures.add("arrived " + count(fault.id, true) + " times: " + testCase);
            }
            return fault.reused == testCase.reused;
        }

        private int count(String id, boolean arrivals) {
            int sum = 0;
            for (FaultInjectingHost host : hosts) {
                sum += (arrivals ? host.arrivals : host.runs).getOrDefault(id, 0);
            }
            return sum;
        }

        /** Rule MIXED: the response is complete and belongs to this request. */
        private void checkOwnResponse(Message response, String id, String what) {
            boolean isOwn = response != null
                    && response.status() == 200
                    && id.equals(response.headers().get("attempt-id"))
                    && ("s" + id).equals(response.headers().get("origin-seal"))
                    && FaultInjectingHost.body(id).equals(response.body());
            if (!isOwn) {
                failures.add("MIXED: " + response + " for " + id + ", " + what + "; " + edge.whyUnserved(id));
            }
        }

        private void checkResponse(Case testCase, InjectedFault fault, Message response) {
            int status = response == null ? 0 : response.status();
            if (testCase.mutating && (status == 429 || status == 503 || status == 408 || status == 421)) {
                refusalStatusById.put(fault.id, status);
            }
            checkSeal(testCase, fault, response);
            if (count(fault.id, true) > MAX_ATTEMPTS) {
                failures.add("BUDGET: reached " + count(fault.id, true) + " hosts: " + testCase);
            }
            if (!fault.isClaimed()) {
                return; // it timed out, or its connection broke, before it reached a host
            }
            Known known = testCase.ending.known(testCase.position);
            if (status == 200) {
                checkOwnResponse(response, fault.id, testCase.toString());
            }
            int expected = testCase.atEachHost
                    ? expectedStatusIfAllHostsFail(known, testCase.mutating, status)
                    : expectedStatus(known, testCase.mutating, status);
            if (status != expected) {
                failures.add("got status " + status + ", not " + expected + ": " + testCase + " on a "
                        + (fault.reused ? "used" : "new") + " connection; " + edge.whyUnserved(fault.id));
            }
            boolean mustNotRetry = testCase.mutating && known != Known.NOT_RUN;
            if (mustNotRetry && count(fault.id, true) > 1) {
                failures.add("sent to another host although it may have run: " + testCase);
            }
        }

        /**
         * Rule MIXED: a host's seal comes only with the status that the host gave, never with the edge's own response.
         */
        private void checkSeal(Case testCase, InjectedFault fault, Message response) {
            String seal = response == null ? null : response.headers().get("origin-seal");
            if (seal != null && !seal.equals(FaultInjectingHost.seal(fault.id, response.status()))) {
                failures.add("MIXED: " + response.status() + " carries the seal " + seal + ": " + testCase);
            }
        }

        /** The status expected if the other hosts serve. */
        private int expectedStatus(Known known, boolean mutating, int status) {
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

        /** If no host serves, an idempotent request is refused, and a mutating one only if no host ran it. */
        private int expectedStatusIfAllHostsFail(Known known, boolean mutating, int status) {
            return switch (known) {
                case SERVED -> 200;
                case NOT_RUN -> 503;
                case SERVED_OR_UNKNOWN -> status == 200 ? 200 : mutating ? 502 : 503;
                case FAILED, FAILED_UNUSUAL_STATUS, UNKNOWN, TIMED_OUT, SERVED_OR_LATE, FAILED_OR_LATE ->
                    mutating || status == 200 ? expectedStatus(known, mutating, status) : 503;
            };
        }

        /** Rules TWICE and REFUSED, once everything sent has arrived. */
        void checkMutatingRequests() {
            for (String id : mutatingIds) {
                if (count(id, false) > 1) {
                    failures.add("TWICE: " + id);
                }
            }
            refusalStatusById.forEach((id, status) -> {
                if (count(id, false) > 0) {
                    failures.add("REFUSED: " + id + " ran, but the client got " + status);
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
