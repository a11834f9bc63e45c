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
    record Case(AttemptEnding ending, int position, boolean mutating, boolean reused, boolean everywhere) {}

    /** What was played, how often again as it had not come about, and what broke a rule. */
    record Report(int played, int again, Map<AttemptEnding, Integer> byEnding, List<String> faults) {}

    private static final long SEED = 20_261_202;
    private static final long SHORT_MILLIS = 80;
    private static final long LONG_MILLIS = 10_000;
    private static final int WORKERS = 16;
    private static final int MOST_AGAIN = 30;
    private static final int FRESH_EVERY = 8;
    private static final int KINDS = 4;
    private static final int TRIES = 2;

    private final EdgeFixture edge;
    private final List<String> faults = FaultInjectingHost.faults();
    private final Map<String, String> asked = new ConcurrentHashMap<>();
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger again = new AtomicInteger();

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
                for (int kind = 0; kind < KINDS; kind++) {
                    boolean inTurn = position % KINDS == kind;
                    Case one = new Case(ending, position, kind % 2 == 0, kind < 2, false);
                    if ((all || ending.isCut() || inTurn) && wanted.test(one)) {
                        cases.add(one);
                    }
                    Case everywhere = new Case(ending, position, one.mutating, one.reused, true);
                    if (inTurn && ending.mayBeEverywhere() && wanted.test(everywhere)) {
                        cases.add(everywhere);
                    }
                }
            }
        }
        Collections.shuffle(cases, new Random(SEED));
        return cases;
    }

    static Report walk(EdgeProtocol style, List<Case> cases) throws Exception {
        AtMostOnceSweep walk = new AtMostOnceSweep(style);
        List<Thread> workers = new ArrayList<>();
        try (walk.edge) {
            for (int w = 0; w < WORKERS; w++) {
                int number = w;
                List<Case> part = new ArrayList<>();
                for (int i = w; i < cases.size(); i += WORKERS) {
                    part.add(cases.get(i));
                }
                workers.add(new Thread(() -> walk.work(number, part)));
            }
            workers.forEach(Thread::start);
            for (Thread worker : workers) {
                worker.join();
            }
        }
        Map<AttemptEnding, Integer> byEnding = new TreeMap<>();
        cases.forEach(one -> byEnding.merge(one.ending, 1, Integer::sum));
        return new Report(cases.size(), walk.again.get(), byEnding, walk.faults);
    }

    private void work(int number, List<Case> cases) {
        try (FaultInjectingHost a = new FaultInjectingHost("a" + number, asked, faults);
                FaultInjectingHost b = new FaultInjectingHost("b" + number, asked, faults);
                FaultInjectingHost c = new FaultInjectingHost("c" + number, asked, faults);
                Worker worker = new Worker(number, a, b, c)) {
            for (Case one : cases) {
                int tries = 0;
                while (!worker.play(one)) {
                    again.incrementAndGet();
                    if (++tries > MOST_AGAIN) {
                        faults.add("never came about: " + one);
                        break;
                    }
                }
            }
            worker.judgeAll();
        } catch (IOException | InterruptedException | RuntimeException e) {
            faults.add("worker " + number + ": " + e + " at "
                    + (e.getStackTrace().length > 0 ? List.of(e.getStackTrace()) : ""));
        }
    }

    /** One host more than a request has tries, and clients that ask for one case after the other. */
    private final class Worker implements AutoCloseable {
        private final FaultInjectingHost[] hosts;
        private final String number;
        private final Random random;
        private Client client;
        private Client between;
        private int played;
        /** Answers that promise that a request never runs, by its id. */
        private final Map<String, Integer> promised = new TreeMap<>();

        private final List<String> mutatingIds = new ArrayList<>();

        Worker(int number, FaultInjectingHost... hosts) throws IOException {
            this.hosts = hosts;
            this.number = String.valueOf(number);
            random = new Random(SEED + number);
            client = edge.client();
            between = edge.client();
            for (FaultInjectingHost host : hosts) {
                edge.host(host.id(), host.address(), true);
                edge.route("warm-" + host.id(), Configuration.Type.IDEM, TRIES, host.id());
            }
        }

        private String next() {
            return String.format("%07d", ids.incrementAndGet());
        }

        private String ask(String id, String route, boolean mutating, long deadline) {
            String body = mutating ? "body of " + id : "";
            asked.put(id, (mutating ? "POST" : "GET") + " /" + route + "/" + id + "?q=%20" + id + " HTTP/1.1|" + body);
            return EdgeFixture.request(id, route, body, deadline, random.nextBoolean());
        }

        /** A plain request to each host, so that a connection to it rests; and the connection on which it came. */
        private FaultInjectingHost.Connection warm(FaultInjectingHost host) throws IOException {
            for (int tries = 0; tries < MOST_AGAIN; tries++) {
                String id = next();
                client.write(ask(id, "warm-" + host.id(), false, LONG_MILLIS));
                Message answer = client.read();
                if (answer != null && answer.status() == 200) {
                    own(answer, id, "a plain request");
                    return host.last;
                }
                edge.route("warm-" + host.id(), Configuration.Type.IDEM, 2, host.id());
                again(answer);
            }
            faults.add("a host in good order was not reached");
            return null;
        }

        private void again(Message answer) throws IOException {
            if (answer == null || "close".equals(answer.headers().get("connection"))) {
                client.close();
                client = edge.client();
            }
        }

        private String[] names() {
            return Stream.of(hosts).map(FaultInjectingHost::id).toArray(String[]::new);
        }

        /** Whether it came about. */
        boolean play(Case one) throws IOException, InterruptedException {
            AttemptEnding ending = one.ending;
            for (FaultInjectingHost host : hosts) {
                host.play = null;
            }
            edge.hosts(one.reused, hosts);
            if (one.reused) {
                for (FaultInjectingHost host : hosts) {
                    warm(host);
                }
            }
            String route = (one.mutating ? "mutating-" : "idem-") + number;
            String plain = "plain-" + number;
            edge.route(route, one.mutating ? Configuration.Type.MUTATING : Configuration.Type.IDEM, TRIES, names());
            if (++played % FRESH_EVERY == 1) {
                edge.route(plain, Configuration.Type.IDEM, TRIES, names());
            }
            InjectedFault play = new InjectedFault(ending, one.position, next(), one.everywhere);
            if (one.mutating) {
                mutatingIds.add(play.id);
            }
            for (FaultInjectingHost host : hosts) {
                host.play = play;
            }
            boolean leaves = ending == AttemptEnding.LEFT;
            boolean others = !leaves && ending != AttemptEnding.REQUEST_CUT && random.nextBoolean();
            String behind = others ? next() : null;
            String beside = others ? next() : null;
            // What is served whole needs no time to run out.
            long deadline = ending.waitsLong() && ending.known(one.position) != KnownOutcome.SERVED
                    ? SHORT_MILLIS
                    : LONG_MILLIS;
            String text = ask(play.id, route, one.mutating, deadline);
            client.write(others ? text + ask(behind, plain, false, LONG_MILLIS) : text);
            if (others && play.begun.await(one.reused ? 2_000 : 0, TimeUnit.MILLISECONDS)) {
                between.write(ask(beside, plain, false, LONG_MILLIS));
            } else if (others) {
                between.write(ask(beside, plain, false, LONG_MILLIS));
            }
            if (leaves) {
                return left(play, one);
            }
            Message answer = client.read();
            judge(one, play, answer);
            if (others) {
                own(client.read(), behind, "behind " + one);
                own(between.read(), beside, "beside " + one);
            }
            again(answer);
            if (!play.isTaken()) {
                return false;
            }
            if (!play.done.await(EdgeFixture.PATIENCE_MILLIS, TimeUnit.MILLISECONDS)) {
                faults.add("the host is not done with " + one);
            }
            boolean asWanted = play.reused == one.reused;
            boolean lives = ending.lives(one.position) && one.reused && !others && asWanted && !one.everywhere;
            for (FaultInjectingHost host : hosts) {
                host.play = null;
            }
            if (lives && warm(play.host) != play.connection) {
                faults.add("its connection does not live: " + one);
            }
            return asWanted;
        }

        /** The client goes away while its request is at the host: nobody else gets it, and its connection ends. */
        private boolean left(InjectedFault play, Case one) throws IOException, InterruptedException {
            boolean begun = play.begun.await(EdgeFixture.PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
            client.close();
            client = edge.client();
            if (!begun || !play.done.await(EdgeFixture.PATIENCE_MILLIS, TimeUnit.MILLISECONDS)) {
                faults.add("the host is not told that the client left: " + one);
            }
            if (sum(play.id, true) != 1) {
                faults.add("arrived " + sum(play.id, true) + " times: " + one);
            }
            return play.reused == one.reused;
        }

        private int sum(String id, boolean arrivals) {
            int sum = 0;
            for (FaultInjectingHost host : hosts) {
                sum += (arrivals ? host.arrivals : host.runs).getOrDefault(id, 0);
            }
            return sum;
        }

        /** MIXED: an answer, whole, to this request. */
        private void own(Message answer, String id, String what) {
            boolean own = answer != null
                    && answer.status() == 200
                    && id.equals(answer.headers().get("attempt-id"))
                    && ("s" + id).equals(answer.headers().get("origin-seal"))
                    && FaultInjectingHost.body(id).equals(answer.body());
            if (!own) {
                faults.add("MIXED: " + answer + " for " + id + ", " + what);
            }
        }

        private void judge(Case one, InjectedFault play, Message answer) {
            int status = answer == null ? 0 : answer.status();
            if (one.mutating && (status == 429 || status == 503 || status == 408 || status == 421)) {
                promised.put(play.id, status);
            }
            judgeSeal(one, play, answer);
            if (sum(play.id, true) > TRIES) {
                faults.add("BUDGET: reached " + sum(play.id, true) + " hosts: " + one);
            }
            if (!play.isTaken()) {
                return; // its time ran out, or its connection broke, before it reached a host
            }
            KnownOutcome known = one.ending.known(one.position);
            if (status == 200) {
                own(answer, play.id, one.toString());
            }
            int wanted = one.everywhere
                    ? wantedWhereAllEndSo(known, one.mutating, status)
                    : wanted(known, one.mutating, status);
            if (status != wanted) {
                faults.add("answered " + status + ", not " + wanted + ": " + one + " on a "
                        + (play.reused ? "used" : "new") + " connection");
            }
            boolean elsewhere = one.mutating && known != KnownOutcome.NOT_RUN;
            if (elsewhere && sum(play.id, true) > 1) {
                faults.add("went to another host though it may have run: " + one);
            }
        }

        /** MIXED: a host's seal goes with the status that the host gave, and never with an answer of the edge's own. */
        private void judgeSeal(Case one, InjectedFault play, Message answer) {
            String seal = answer == null ? null : answer.headers().get("origin-seal");
            if (seal != null && !seal.equals(FaultInjectingHost.seal(play.id, answer.status()))) {
                faults.add("MIXED: " + answer.status() + " bears " + seal + ": " + one);
            }
        }

        /** Where the other hosts serve. */
        private int wanted(KnownOutcome known, boolean mutating, int status) {
            return switch (known) {
                case SERVED, NOT_RUN -> 200;
                case FAILED -> mutating ? 500 : 200;
                case FAILED_ODDLY -> mutating ? FaultInjectingHost.ODD_STATUS : 200;
                case UNKNOWN -> mutating ? 502 : 200;
                case TIMED_OUT -> mutating ? 502 : 503;
                case SERVED_OR_UNKNOWN -> status == 200 || status == 502 ? status : 200;
                case SERVED_OR_LATE -> status == 200 ? 200 : mutating ? 502 : 503;
                case FAILED_OR_LATE -> mutating ? status == 500 ? 500 : 502 : status == 200 ? 200 : 503;
            };
        }

        /** Where no host serves an idem request is refused, and a mutating one too if none ran it. */
        private int wantedWhereAllEndSo(KnownOutcome known, boolean mutating, int status) {
            return switch (known) {
                case SERVED -> 200;
                case NOT_RUN -> 503;
                case SERVED_OR_UNKNOWN -> status == 200 ? 200 : mutating ? 502 : 503;
                case FAILED, FAILED_ODDLY, UNKNOWN, TIMED_OUT, SERVED_OR_LATE, FAILED_OR_LATE ->
                    mutating || status == 200 ? wanted(known, mutating, status) : 503;
            };
        }

        /** TWICE and REFUSED, once all that was sent has come. */
        void judgeAll() {
            for (String id : mutatingIds) {
                if (sum(id, false) > 1) {
                    faults.add("TWICE: " + id);
                }
            }
            promised.forEach((id, status) -> {
                if (sum(id, false) > 0) {
                    faults.add("REFUSED: " + id + " ran and was answered " + status);
                }
            });
        }

        @Override
        public void close() throws IOException {
            client.close();
            between.close();
        }
    }
}
