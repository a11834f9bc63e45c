package tinworks.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tinworks.policy.LoadBalancerApi.Actions;
import tinworks.policy.LoadBalancerApi.AttemptEnded;
import tinworks.policy.LoadBalancerApi.DedupScope;
import tinworks.policy.LoadBalancerApi.Idempotency;
import tinworks.policy.LoadBalancerApi.Outcome;
import tinworks.policy.LoadBalancerApi.Permissions;
import tinworks.policy.LoadBalancerApi.PolicyParameters;
import tinworks.policy.LoadBalancerApi.Readiness;
import tinworks.policy.LoadBalancerApi.RequestArrived;
import tinworks.policy.LoadBalancerApi.RequestClass;
import tinworks.policy.LoadBalancerApi.ServerInfo;
import tinworks.policy.LoadBalancerApi.ServerListKind;
import tinworks.policy.LoadBalancerApi.ServerListReceived;
import tinworks.policy.LoadBalancerApi.Settings;
import tinworks.policy.LoadBalancerApi.TimerFired;

/** Two kinds of requests at one service, of which one comes in a burst beyond what its hosts can serve. */
class BurstTest {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    private static final long TIMEOUT = 1_200 * MS;
    private static final long SEED = 1;
    private static final int SERVERS = 8;
    private static final int SLOTS = 3;
    private static final int QUEUE = 3;
    private static final int GATEWAYS = 1;

    private static final long CALM_NANOS = 2 * SECOND;
    private static final long BURST_NANOS = 40 * SECOND;
    private static final long WORK = 100 * MS;
    private static final long AIM = 300 * MS;
    private static final long LEAST_LEFT = 400 * MS;

    /** What the other kind is; calls of hosts have what their own requests' time leaves them. */
    private enum Other {
        IDEM,
        MUTATING,
        CALLS
    }

    /** A kind of request, how many come in a second, and the least time that each has. */
    private record Load(RequestClass kind, double perSecond, double burstPerSecond, long leastLeft) {}

    private static RequestClass kind(String name, int prio, Idempotency effect) {
        return new RequestClass(
                name, effect, DedupScope.ALL, 0, AIM, TIMEOUT, Math.pow(2, 2 - prio), 0.5, false, 2, TIMEOUT);
    }

    private record Due(long at, long order, Runnable work) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private static final class Host {
        int running;
        final ArrayList<Runnable> waiting = new ArrayList<>();
    }

    private static final class World implements Actions {
        final PriorityQueue<Due> due = new PriorityQueue<>();
        final SplittableRandom random;
        final LoadBalancer choice;
        final Map<String, Host> hosts = new HashMap<>();
        final Map<String, Load> asked = new HashMap<>();
        final Map<String, Integer> attempts = new HashMap<>();
        final Map<String, int[]> countOf = new HashMap<>();
        final Map<String, int[]> counts = new HashMap<>();
        long now;
        long order;
        int ids;

        World(List<Load> loads, double leastPart) {
            random = new SplittableRandom(SEED);
            PolicyParameters rules =
                    new PolicyParameters(0, 0, Long.MAX_VALUE, 0.5, 3 * SECOND, 1e9, SECOND, 30, 2.5, leastPart);
            choice = new LoadBalancer(
                    new Settings(
                            GATEWAYS,
                            -1,
                            "z",
                            false,
                            MS,
                            loads.stream().map(Load::kind).toList(),
                            List.of(),
                            1,
                            new Permissions(32, true, false),
                            rules),
                    SEED,
                    this);
            List<ServerInfo> servers = new ArrayList<>();
            for (int i = 0; i < SERVERS; i++) {
                hosts.put("i-" + i, new Host());
                servers.add(new ServerInfo("i-" + i, "z", "", 0, Readiness.READY, SLOTS, 0));
            }
            choice.onEvent(now, new ServerListReceived(ServerListKind.FULL, servers));
        }

        void at(long when, Runnable work) {
            due.add(new Due(when, order++, work));
        }

        void arrivals(Load load, long from, long to, double perSecond) {
            double nanos = from;
            while (true) {
                nanos += -Math.log(1 - random.nextDouble()) / perSecond * SECOND;
                if (nanos >= to) {
                    return;
                }
                at((long) nanos, () -> {
                    String id = "q" + ids++;
                    asked.put(id, load);
                    int[] count = counts.computeIfAbsent(load.kind.name(), k -> new int[2]);
                    count[0]++;
                    countOf.put(id, count);
                    long left = load.leastLeft + random.nextLong(TIMEOUT - load.leastLeft + 1);
                    choice.onEvent(now, new RequestArrived(id, load.kind.name(), null, null, left, 0, false));
                });
            }
        }

        void run(long to) {
            while (!due.isEmpty() && due.peek().at <= to) {
                Due next = due.poll();
                now = Math.max(now, next.at);
                next.work.run();
            }
        }

        @Override
        public void send(String request, String server, long timeoutNanos) {
            int number = attempts.merge(request, 1, Integer::sum) - 1;
            long sentAt = now;
            Host host = hosts.get(server);
            boolean[] ended = new boolean[1];
            at(now + timeoutNanos, () -> end(request, number, server, Outcome.TIMED_OUT, sentAt, ended));
            if (host.running < SLOTS) {
                begin(request, number, server, sentAt, ended);
            } else if (host.waiting.size() < QUEUE) {
                host.waiting.add(() -> begin(request, number, server, sentAt, ended));
            } else {
                at(now + MS, () -> end(request, number, server, Outcome.FULL, sentAt, ended));
            }
        }

        private void begin(String request, int number, String server, long sentAt, boolean[] ended) {
            Host host = hosts.get(server);
            if (ended[0]) {
                next(host);
                return;
            }
            host.running++;
            long takes = (long) (WORK * (0.5 + -0.5 * Math.log(1 - random.nextDouble())));
            at(now + takes, () -> {
                host.running--;
                end(request, number, server, Outcome.SERVED, sentAt, ended);
                next(host);
            });
        }

        private void next(Host host) {
            if (!host.waiting.isEmpty() && host.running < SLOTS) {
                host.waiting.remove(0).run();
            }
        }

        private void end(String request, int number, String server, Outcome outcome, long sentAt, boolean[] ended) {
            if (ended[0]) {
                return;
            }
            ended[0] = true;
            boolean served = outcome == Outcome.SERVED;
            if (served) {
                countOf.get(request)[1]++;
            }
            choice.onEvent(now, new AttemptEnded(request, number, server, outcome, now - sentAt, served, null));
        }

        @Override
        public void refuse(String request, long pauseNanos) {}

        @Override
        public void fail(String request) {}

        @Override
        public void cancel(String request, int attempt) {}

        @Override
        public void setTimer(long delayNanos, long token) {
            at(now + delayNanos, () -> choice.onEvent(now, new TimerFired(token)));
        }

        @Override
        public void subscribe() {}
    }

    /** The part that was served of each kind, and of both. */
    private record Served(double burst, double other, double all) {}

    private static Served during(Load burst, Load other, double leastPart) {
        World world = new World(List.of(burst, other), leastPart);
        for (Load load : List.of(burst, other)) {
            world.arrivals(load, 0, CALM_NANOS, load.perSecond);
            world.arrivals(load, CALM_NANOS, CALM_NANOS + BURST_NANOS, load.burstPerSecond);
        }
        world.run(CALM_NANOS + BURST_NANOS);
        int[] ofBurst = world.counts.get(burst.kind.name());
        int[] ofOther = world.counts.get(other.kind.name());
        return new Served(
                part(ofBurst[1], ofBurst[0]),
                part(ofOther[1], ofOther[0]),
                part(ofBurst[1] + ofOther[1], ofBurst[0] + ofOther[0]));
    }

    private static double part(int served, int asked) {
        return (double) served / asked;
    }

    @ParameterizedTest
    @CsvSource({
        "0, 3, 1200, IDEM",
        "0, 2, 400, IDEM",
        "1, 2, 600, MUTATING",
        "0, 2, 600, CALLS",
        "1, 1, 600, IDEM",
        "2, 0, 600, CALLS"
    })
    void noKindIsServedLessThanAQuarterAsOftenAsAll(int burstPrio, int otherPrio, double rate, Other what) {
        Load burst = new Load(kind("burst", burstPrio, Idempotency.SAFE), 80, rate, TIMEOUT);
        Idempotency effect = what == Other.MUTATING ? Idempotency.UNSAFE : Idempotency.SAFE;
        Load other = new Load(kind("other", otherPrio, effect), 40, 40, what == Other.CALLS ? LEAST_LEFT : TIMEOUT);
        Served with = during(burst, other, 0.5);
        Served without = during(burst, other, 0);
        System.out.printf(
                "burst of %.0f a second, prio %d beside %d (%s): %s, without the guard %s%n",
                rate, burstPrio, otherPrio, what, with, without);
        assertTrue(with.other >= with.all / 4, with.toString());
        assertTrue(with.burst >= with.all / 4, with.toString());
        boolean lessUrgent = otherPrio > burstPrio;
        assertEquals(lessUrgent, without.other < without.all / 4, "without the guard " + without);
    }
}
