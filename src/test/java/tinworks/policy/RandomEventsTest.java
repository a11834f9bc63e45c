package tinworks.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;
import static tinworks.policy.GatewayFixture.FILE;
import static tinworks.policy.GatewayFixture.MS;
import static tinworks.policy.GatewayFixture.ORDER;
import static tinworks.policy.GatewayFixture.PARAMETERS;
import static tinworks.policy.GatewayFixture.READ;
import static tinworks.policy.GatewayFixture.SECOND;
import static tinworks.policy.GatewayFixture.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tinworks.policy.LoadBalancerApi.AttemptEnded;
import tinworks.policy.LoadBalancerApi.DedupScope;
import tinworks.policy.LoadBalancerApi.Event;
import tinworks.policy.LoadBalancerApi.Idempotency;
import tinworks.policy.LoadBalancerApi.Outcome;
import tinworks.policy.LoadBalancerApi.Readiness;
import tinworks.policy.LoadBalancerApi.RequestArrived;
import tinworks.policy.LoadBalancerApi.RequestClass;
import tinworks.policy.LoadBalancerApi.ServerInfo;
import tinworks.policy.LoadBalancerApi.ServerListKind;
import tinworks.policy.LoadBalancerApi.ServerListReceived;
import tinworks.policy.LoadBalancerApi.ShutdownStarted;
import tinworks.policy.LoadBalancerApi.Tenant;
import tinworks.policy.LoadBalancerApi.TimerFired;

/**
 * Runs random valid events from a seed and checks every action against the four rules: attempts and deadlines,
 * draining, idempotency, and slow start.
 */
class RandomEventsTest {
    private static final long TICK = 5 * MS;
    private static final long DURATION = 60 * SECOND;
    private static final RequestClass CELL_FILE = new RequestClass(
            "cell-file", Idempotency.KEYED, DedupScope.CELL, SECOND, 300 * MS, 2 * SECOND, 2, 0, false);
    private static final RequestClass ANY_FILE = new RequestClass(
            "any-file", Idempotency.KEYED, DedupScope.ALL, SECOND, 300 * MS, 2 * SECOND, 2, 0.3, false);
    private static final List<RequestClass> CLASSES = List.of(READ, ORDER, FILE, CELL_FILE, ANY_FILE);

    private record Send(String server, long at, int number) {}

    /** What the test has recorded of a request. */
    private static final class TrackedRequest {
        final RequestClass requestClass;
        final long deadline;
        final List<Send> sends = new ArrayList<>();
        final Set<Integer> notExecuted = new HashSet<>();
        final Map<Integer, Long> endsAt = new TreeMap<>();
        boolean answered;

        TrackedRequest(RequestClass requestClass, long deadline) {
            this.requestClass = requestClass;
            this.deadline = deadline;
        }

        Send firstPossiblyExecuted() {
            return sends.stream()
                    .filter(s -> !notExecuted.contains(s.number()))
                    .findFirst()
                    .orElse(null);
        }
    }

    /** A simulation that delivers events and checks actions. */
    private static final class Simulation {
        final SplittableRandom random;
        final Recorder recorder = new Recorder();
        final LoadBalancer loadBalancer;
        final Map<String, TrackedRequest> requests = new TreeMap<>();
        final Map<String, ServerInfo> listed = new TreeMap<>();
        final Map<String, Long> notReadySince = new HashMap<>();
        final Map<String, List<Long>> slowStartSends = new HashMap<>();
        final TreeMap<Long, List<Long>> timers = new TreeMap<>();
        long now = 50 * SECOND;
        int arrivalCount;
        int answerCount;

        Simulation(long seed) {
            random = new SplittableRandom(seed);
            loadBalancer = new LoadBalancer(settings(false, 1, List.of(new Tenant("t", 20)), CLASSES), seed, recorder);
        }

        void on(Event e) {
            loadBalancer.onEvent(now, e);
            recorder.take().forEach(this::check);
        }

        void check(Recorder.Action a) {
            switch (a.type()) {
                case "send" -> checkSend(a);
                case "refuse", "fail" -> checkAnswer(a);
                case "setTimer" ->
                    timers.computeIfAbsent(now + Math.max(TICK, a.number()), t -> new ArrayList<>())
                            .add(timerToken(a.number()));
                default -> {}
            }
        }

        /** The recorder keeps only the delay of a timer: that of the tick is known, all others are sweeps. */
        static long timerToken(long delay) {
            return delay == 5 * SECOND ? GatewayFixture.TICK : GatewayFixture.SWEEP;
        }

        void checkSend(Recorder.Action a) {
            TrackedRequest r = requests.get(a.id());
            ServerInfo s = listed.get(a.server());
            assertTrue(!r.answered && now < r.deadline, "sent after its end: " + a);
            assertTrue(r.sends.size() < 4, "too many attempts: " + a);
            Long since = notReadySince.get(a.server());
            assertTrue(since == null || now <= since + PARAMETERS.drainGraceNanos(), "sent to a draining server: " + a);
            Send first = r.firstPossiblyExecuted();
            if (first != null && r.requestClass.idempotency() == Idempotency.UNSAFE) {
                fail("unsafe request retried: " + a);
            }
            if (first != null && r.requestClass.idempotency() == Idempotency.KEYED) {
                ServerInfo at = listed.get(first.server());
                assertTrue(now - first.at() < r.requestClass.dedupWindowNanos(), "past its deduplication window: " + a);
                assertTrue(
                        r.requestClass.dedupScope() != DedupScope.ZONE
                                || at.zone().equals(s.zone()),
                        "another zone: " + a);
                assertTrue(
                        r.requestClass.dedupScope() != DedupScope.CELL || at.cell() == s.cell(), "another cell: " + a);
            }
            if (s.startedAtNanos() > 0 && now - s.startedAtNanos() < PARAMETERS.slowStartNanos()) {
                slowStartSends
                        .computeIfAbsent(a.server(), id -> new ArrayList<>())
                        .add(now);
            }
            int number = r.sends.size();
            r.sends.add(new Send(a.server(), now, number));
            r.endsAt.put(
                    number,
                    Math.min(r.deadline, now + random.nextLong(MS, random.nextInt(10) == 0 ? 3 * SECOND : 150 * MS)));
        }

        void checkAnswer(Recorder.Action a) {
            TrackedRequest r = requests.get(a.id());
            assertTrue(!r.answered, "answered twice: " + a);
            assertTrue(now <= r.deadline + PARAMETERS.answerSlackNanos(), "answered late: " + a);
            if (a.type().equals("refuse") && r.firstPossiblyExecuted() != null) {
                assertTrue(
                        r.requestClass.idempotency() == Idempotency.SAFE
                                || (r.requestClass.idempotency() == Idempotency.KEYED
                                        && r.requestClass.dedupScope() == DedupScope.ALL),
                        "refused: " + a);
            }
            r.answered = true;
            answerCount++;
        }

        void arrive() {
            RequestClass c = CLASSES.get(random.nextInt(CLASSES.size()));
            String id = String.format("r%06d", arrivalCount++);
            long expires = random.nextInt(20) == 0 ? random.nextLong(1, 30 * MS) : c.deadlineNanos();
            requests.put(id, new TrackedRequest(c, now + expires));
            on(new RequestArrived(id, c.name(), random.nextBoolean() ? "t" : null, null, expires, 0, false));
        }

        void endAttempts() {
            for (Map.Entry<String, TrackedRequest> entry : new ArrayList<>(requests.entrySet())) {
                TrackedRequest r = entry.getValue();
                for (int number : List.copyOf(r.endsAt.keySet())) {
                    if (r.endsAt.get(number) <= now) {
                        r.endsAt.remove(number);
                        end(entry.getKey(), r, number);
                    }
                }
                if (r.answered && r.endsAt.isEmpty()) {
                    requests.remove(entry.getKey());
                }
            }
        }

        void end(String id, TrackedRequest r, int number) {
            boolean due = now >= r.deadline;
            Outcome outcome = due
                    ? Outcome.TIMED_OUT
                    : switch (random.nextInt(12)) {
                        case 0 -> Outcome.ERROR;
                        case 1 -> Outcome.FULL;
                        case 2 -> Outcome.CONNECT_FAILED;
                        case 3 -> Outcome.RESET;
                        default -> Outcome.SERVED;
                    };
            if (outcome.provesNotExecuted()) {
                r.notExecuted.add(number);
            }
            answerCount += outcome == Outcome.SERVED && !r.answered ? 1 : 0;
            r.answered |= outcome == Outcome.SERVED;
            Send s = r.sends.get(number);
            on(new AttemptEnded(id, number, s.server(), outcome, now - s.at(), r.answered, null));
        }

        void changeList() {
            String id = "s" + random.nextInt(8);
            ServerInfo before = listed.get(id);
            Readiness readiness = Readiness.values()[random.nextInt(3)];
            long started = before.readiness() == Readiness.READY ? before.startedAtNanos() : now;
            ServerInfo after = new ServerInfo(id, before.zone(), "k", before.cell(), readiness, 1, started);
            listed.put(id, after);
            slowStartSends.remove(id);
            if (readiness == Readiness.READY) {
                notReadySince.remove(id);
            } else {
                notReadySince.putIfAbsent(id, now);
            }
            boolean full = random.nextInt(4) == 0;
            on(new ServerListReceived(
                    full ? ServerListKind.FULL : ServerListKind.CHANGES,
                    full ? List.copyOf(listed.values()) : List.of(after)));
        }

        void run() {
            for (int i = 0; i < 8; i++) {
                listed.put("s" + i, new ServerInfo("s" + i, i < 4 ? "a" : "b", "k", i / 2, Readiness.READY, 1, 0));
            }
            on(new ServerListReceived(ServerListKind.CACHED, List.copyOf(listed.values())));
            for (long end = now + DURATION; now < end; now += TICK) {
                for (int i = random.nextInt(2); i > 0; i--) {
                    arrive();
                }
                endAttempts();
                while (!timers.isEmpty() && timers.firstKey() <= now) {
                    timers.pollFirstEntry().getValue().forEach(token -> on(new TimerFired(token)));
                }
                if (random.nextInt(400) == 0) {
                    changeList();
                }
                requests.forEach((id, r) ->
                        assertTrue(r.answered || now <= r.deadline + PARAMETERS.answerSlackNanos(), "lost: " + id));
                checkSlowStart();
            }
        }

        /** Checks the load of servers in slow start, with a capacity of 100 requests a second. */
        void checkSlowStart() {
            slowStartSends.forEach((id, sends) -> {
                sends.removeIf(at -> at < now - PARAMETERS.overloadWindowNanos());
                double age = (now - listed.get(id).startedAtNanos()) / (double) PARAMETERS.slowStartNanos();
                double capacity = PARAMETERS.slowStartInitialFraction()
                        + (1 - PARAMETERS.slowStartInitialFraction()) * Math.min(1, age);
                double perSecond = 100 * PARAMETERS.overloadFactor() * capacity;
                double most = perSecond * PARAMETERS.overloadWindowNanos() / SECOND;
                assertTrue(sends.size() <= most, sends.size() + " to " + id + ", most " + most);
            });
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void everyActionObeysTheFourRules(long seed) {
        Simulation simulation = new Simulation(seed);
        simulation.run();
        assertTrue(simulation.answerCount > 4000, "answered: " + simulation.answerCount);
        assertEquals(
                simulation.arrivalCount,
                simulation.answerCount
                        + simulation.requests.values().stream()
                                .filter(r -> !r.answered)
                                .count());
    }

    @Test
    void requestsDuringShutdownAreAnsweredBeforeItsEnd() {
        GatewayFixture gateway = new GatewayFixture().withServers(1);
        gateway.loadBalancer.onEvent(gateway.now, new ShutdownStarted(300 * MS));
        gateway.request(READ);
        assertEquals(300 * MS, gateway.recorder.take("send").get(0).number());
    }
}
