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

/** Two classes of requests at one service, one of which arrives in a burst beyond the capacity of the servers. */
class BurstTest {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    private static final long TIMEOUT = 1_200 * MS;
    private static final long SEED = 1;
    private static final int SERVERS = 8;
    private static final int SLOTS = 3;
    private static final int QUEUE = 3;
    private static final int GATEWAYS = 1;

    private static final long QUIET_NANOS = 2 * SECOND;
    private static final long BURST_NANOS = 40 * SECOND;
    private static final long WORK_NANOS = 100 * MS;
    private static final long TARGET = 300 * MS;
    private static final long MIN_TIME_LEFT = 400 * MS;

    /** The other class; CALLS are requests of other services, which have only the rest of their own request's time. */
    private enum OtherTraffic {
        IDEM,
        MUTATING,
        CALLS
    }

    /** A class of requests, its rates, and the least time that each request has left. */
    private record Workload(RequestClass requestClass, double perSecond, double burstPerSecond, long minTimeLeft) {}

    private static RequestClass requestClass(String name, int priority, Idempotency idempotency) {
        return new RequestClass(
                name,
                idempotency,
                DedupScope.ALL,
                0,
                TARGET,
                TIMEOUT,
                Math.pow(2, 2 - priority),
                0.5,
                false,
                2,
                TIMEOUT);
    }

    private record ScheduledTask(long at, long order, Runnable task) implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private static final class Host {
        int running;
        final ArrayList<Runnable> queue = new ArrayList<>();
    }

    private static final class Simulation implements Actions {
        final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>();
        final SplittableRandom random;
        final LoadBalancer loadBalancer;
        final Map<String, Host> hosts = new HashMap<>();
        final Map<String, Workload> workloads = new HashMap<>();
        final Map<String, Integer> attempts = new HashMap<>();
        final Map<String, int[]> countsOfRequest = new HashMap<>();
        final Map<String, int[]> countsOfClass = new HashMap<>();
        long now;
        long order;
        int ids;

        Simulation(List<Workload> workloads, double minClassFraction) {
            random = new SplittableRandom(SEED);
            PolicyParameters parameters =
                    new PolicyParameters(0, 0, Long.MAX_VALUE, 0.5, 3 * SECOND, 1e9, SECOND, 30, 2.5, minClassFraction);
            loadBalancer = new LoadBalancer(
                    new Settings(
                            GATEWAYS,
                            -1,
                            "z",
                            false,
                            MS,
                            workloads.stream().map(Workload::requestClass).toList(),
                            List.of(),
                            1,
                            new Permissions(32, true, false),
                            parameters),
                    SEED,
                    this);
            List<ServerInfo> servers = new ArrayList<>();
            for (int i = 0; i < SERVERS; i++) {
                hosts.put("i-" + i, new Host());
                servers.add(new ServerInfo("i-" + i, "z", "", 0, Readiness.READY, SLOTS, 0));
            }
            loadBalancer.onEvent(now, new ServerListReceived(ServerListKind.FULL, servers));
        }

        void schedule(long when, Runnable work) {
            tasks.add(new ScheduledTask(when, order++, work));
        }

        void scheduleArrivals(Workload workload, long from, long to, double perSecond) {
            double nanos = from;
            while (true) {
                nanos += -Math.log(1 - random.nextDouble()) / perSecond * SECOND;
                if (nanos >= to) {
                    return;
                }
                schedule((long) nanos, () -> {
                    String id = "q" + ids++;
                    workloads.put(id, workload);
                    int[] count = countsOfClass.computeIfAbsent(workload.requestClass.name(), k -> new int[2]);
                    count[0]++;
                    countsOfRequest.put(id, count);
                    long left = workload.minTimeLeft + random.nextLong(TIMEOUT - workload.minTimeLeft + 1);
                    loadBalancer.onEvent(
                            now, new RequestArrived(id, workload.requestClass.name(), null, null, left, 0, false));
                });
            }
        }

        void run(long to) {
            while (!tasks.isEmpty() && tasks.peek().at <= to) {
                ScheduledTask next = tasks.poll();
                now = Math.max(now, next.at);
                next.task.run();
            }
        }

        @Override
        public void send(String request, String server, long timeoutNanos) {
            int number = attempts.merge(request, 1, Integer::sum) - 1;
            long sentAt = now;
            Host host = hosts.get(server);
            boolean[] ended = new boolean[1];
            schedule(now + timeoutNanos, () -> endAttempt(request, number, server, Outcome.TIMED_OUT, sentAt, ended));
            if (host.running < SLOTS) {
                startWork(request, number, server, sentAt, ended);
            } else if (host.queue.size() < QUEUE) {
                host.queue.add(() -> startWork(request, number, server, sentAt, ended));
            } else {
                schedule(now + MS, () -> endAttempt(request, number, server, Outcome.FULL, sentAt, ended));
            }
        }

        private void startWork(String request, int number, String server, long sentAt, boolean[] ended) {
            Host host = hosts.get(server);
            if (ended[0]) {
                startNext(host);
                return;
            }
            host.running++;
            long takes = (long) (WORK_NANOS * (0.5 + -0.5 * Math.log(1 - random.nextDouble())));
            schedule(now + takes, () -> {
                host.running--;
                endAttempt(request, number, server, Outcome.SERVED, sentAt, ended);
                startNext(host);
            });
        }

        private void startNext(Host host) {
            if (!host.queue.isEmpty() && host.running < SLOTS) {
                host.queue.remove(0).run();
            }
        }

        private void endAttempt(
                String request, int number, String server, Outcome outcome, long sentAt, boolean[] ended) {
            if (ended[0]) {
                return;
            }
            ended[0] = true;
            boolean served = outcome == Outcome.SERVED;
            if (served) {
                countsOfRequest.get(request)[1]++;
            }
            loadBalancer.onEvent(now, new AttemptEnded(request, number, server, outcome, now - sentAt, served, null));
        }

        @Override
        public void refuse(String request, long pauseNanos) {}

        @Override
        public void fail(String request) {}

        @Override
        public void cancel(String request, int attempt) {}

        @Override
        public void setTimer(long delayNanos, long token) {
            schedule(now + delayNanos, () -> loadBalancer.onEvent(now, new TimerFired(token)));
        }

        @Override
        public void subscribe() {}
    }

    /** Fractions served of each class, and of both. */
    private record Served(double burst, double other, double all) {}

    private static Served simulate(Workload burst, Workload other, double minClassFraction) {
        Simulation simulation = new Simulation(List.of(burst, other), minClassFraction);
        for (Workload workload : List.of(burst, other)) {
            simulation.scheduleArrivals(workload, 0, QUIET_NANOS, workload.perSecond);
            simulation.scheduleArrivals(workload, QUIET_NANOS, QUIET_NANOS + BURST_NANOS, workload.burstPerSecond);
        }
        simulation.run(QUIET_NANOS + BURST_NANOS);
        int[] ofBurst = simulation.countsOfClass.get(burst.requestClass.name());
        int[] ofOther = simulation.countsOfClass.get(other.requestClass.name());
        return new Served(
                fraction(ofBurst[1], ofBurst[0]),
                fraction(ofOther[1], ofOther[0]),
                fraction(ofBurst[1] + ofOther[1], ofBurst[0] + ofOther[0]));
    }

    private static double fraction(int served, int arrived) {
        return (double) served / arrived;
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
    void noClassIsServedLessThanAQuarterAsOftenAsAll(
            int burstPriority, int otherPriority, double rate, OtherTraffic otherTraffic) {
        Workload burst = new Workload(requestClass("burst", burstPriority, Idempotency.SAFE), 80, rate, TIMEOUT);
        Idempotency idempotency = otherTraffic == OtherTraffic.MUTATING ? Idempotency.UNSAFE : Idempotency.SAFE;
        Workload other = new Workload(
                requestClass("other", otherPriority, idempotency),
                40,
                40,
                otherTraffic == OtherTraffic.CALLS ? MIN_TIME_LEFT : TIMEOUT);
        Served with = simulate(burst, other, 0.5);
        Served without = simulate(burst, other, 0);
        System.out.printf(
                "burst of %.0f a second, priority %d beside %d (%s): %s, without a minimum %s%n",
                rate, burstPriority, otherPriority, otherTraffic, with, without);
        assertTrue(with.other >= with.all / 4, with.toString());
        assertTrue(with.burst >= with.all / 4, with.toString());
        boolean lessUrgent = otherPriority > burstPriority;
        assertEquals(lessUrgent, without.other < without.all / 4, "without a minimum " + without);
    }
}
