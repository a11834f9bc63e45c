package tinworks.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import tinworks.policy.LoadBalancerApi.Actions;
import tinworks.policy.LoadBalancerApi.AttemptEnded;
import tinworks.policy.LoadBalancerApi.ClientDisconnected;
import tinworks.policy.LoadBalancerApi.DedupScope;
import tinworks.policy.LoadBalancerApi.Event;
import tinworks.policy.LoadBalancerApi.Idempotency;
import tinworks.policy.LoadBalancerApi.Outcome;
import tinworks.policy.LoadBalancerApi.Permissions;
import tinworks.policy.LoadBalancerApi.PolicyParameters;
import tinworks.policy.LoadBalancerApi.Readiness;
import tinworks.policy.LoadBalancerApi.Reconfigured;
import tinworks.policy.LoadBalancerApi.RequestArrived;
import tinworks.policy.LoadBalancerApi.RequestClass;
import tinworks.policy.LoadBalancerApi.ServerInfo;
import tinworks.policy.LoadBalancerApi.ServerListKind;
import tinworks.policy.LoadBalancerApi.ServerListReceived;
import tinworks.policy.LoadBalancerApi.Settings;
import tinworks.policy.LoadBalancerApi.ShutdownStarted;
import tinworks.policy.LoadBalancerApi.TimerFired;
import tinworks.policy.LoadBalancerState.Request;

/** Limits on the attempts of a request, under random outcomes, server lists and configuration changes. */
class AttemptLimitTest {
    private static final String SEED = "20261202";
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    private static final long TIMEOUT = 1_200 * MS;
    private static final int SERVERS = 6;
    private static final int MAX_ATTEMPTS = 4;
    private static final int MAX_STEP = 9_999;
    private static final int TICK_TIMER = 1;
    private static final int SWEEP_TIMER = 2;
    private static final List<String> ROUTES = List.of("first", "second");
    private static final Outcome[] OUTCOMES = Outcome.values();

    /** One send of a request. */
    private static final class SentAttempt {
        final String server;
        final long at;
        Outcome outcome;

        SentAttempt(String server, long at) {
            this.server = server;
            this.at = at;
        }

        boolean mayHaveExecuted() {
            return outcome == null || !outcome.provesNotExecuted();
        }
    }

    /** A request and the strictest limits of its route since it arrived. */
    private static final class TrackedRequest {
        final String route;
        final long deadline;
        final List<SentAttempt> sends = new ArrayList<>();
        int maxAttempts;
        boolean unsafe;
        boolean answered;

        TrackedRequest(RequestClass initial, long deadline) {
            route = initial.name();
            this.deadline = deadline;
            maxAttempts = initial.maxAttempts();
            unsafe = initial.idempotency() == Idempotency.UNSAFE;
        }

        void restrict(RequestClass version) {
            maxAttempts = Math.min(maxAttempts, version.maxAttempts());
            unsafe |= version.idempotency() == Idempotency.UNSAFE;
        }

        boolean mayHaveExecuted() {
            return sends.stream().anyMatch(SentAttempt::mayHaveExecuted);
        }
    }

    /** Creates the load balancer under test. */
    private interface LoadBalancerFactory {
        LoadBalancer create(Settings settings, Actions actions);
    }

    /** A simulation driven by numbers; it collects the rules that were violated. */
    private static final class Simulation implements Actions {
        final Set<String> violations = new TreeSet<>();
        private final Map<String, RequestClass> routes = new LinkedHashMap<>();
        private final Map<String, TrackedRequest> requests = new LinkedHashMap<>();
        private final LoadBalancer loadBalancer;
        private long now;
        private int ids;
        private int sends;

        Simulation(LoadBalancerFactory factory) {
            ROUTES.forEach(name -> routes.put(name, version(name, 2, Idempotency.SAFE)));
            PolicyParameters parameters =
                    new PolicyParameters(0, 0, Long.MAX_VALUE, 0.5, 3 * SECOND, 1e9, SECOND, 30, 2.5, 0.5);
            loadBalancer = factory.create(
                    new Settings(
                            1,
                            -1,
                            "z",
                            false,
                            MS,
                            classes(),
                            List.of(),
                            1,
                            new Permissions(32, true, false),
                            parameters),
                    this);
            IntStream.range(0, SERVERS).forEach(i -> list(i, Readiness.READY));
        }

        private static RequestClass version(String name, int maxAttempts, Idempotency idempotency) {
            return new RequestClass(
                    name, idempotency, DedupScope.ALL, 0, 300 * MS, TIMEOUT, 1, 0.5, false, maxAttempts, TIMEOUT);
        }

        private List<RequestClass> classes() {
            return List.copyOf(routes.values());
        }

        private void on(Event event) {
            loadBalancer.onEvent(now, event);
        }

        private void list(int server, Readiness readiness) {
            on(new ServerListReceived(
                    ServerListKind.CHANGES, List.of(new ServerInfo("i-" + server, "z", "", 0, readiness, 3, 0))));
        }

        /** Performs a step: the last digit of the number selects the action, the others its target. */
        void step(int number) {
            int which = number / 10;
            switch (number % 10) {
                case 0, 1 -> arrive(ROUTES.get(which % 2));
                case 2, 3, 4, 5 -> end(which);
                case 6 -> list(which % SERVERS, Readiness.values()[which / SERVERS % 3]);
                case 7 -> reconfigure(ROUTES.get(which % 2), which / 2);
                case 8 -> advanceTime(which % 200 * MS);
                default -> disconnectOrShutDown(which);
            }
        }

        private void arrive(String route) {
            String id = "q" + ids++;
            requests.put(id, new TrackedRequest(routes.get(route), now + TIMEOUT));
            on(new RequestArrived(id, route, null, null, TIMEOUT, 0, false));
        }

        private void end(int which) {
            List<String> inFlight = requests.keySet().stream()
                    .filter(id -> isInFlight(requests.get(id)))
                    .toList();
            if (!inFlight.isEmpty()) {
                end(inFlight.get(which % inFlight.size()), OUTCOMES[which / inFlight.size() % OUTCOMES.length]);
            }
        }

        private static boolean isInFlight(TrackedRequest tracked) {
            return !tracked.sends.isEmpty() && tracked.sends.get(tracked.sends.size() - 1).outcome == null;
        }

        private void end(String id, Outcome outcome) {
            TrackedRequest tracked = requests.get(id);
            int number = tracked.sends.size() - 1;
            SentAttempt last = tracked.sends.get(number);
            last.outcome = outcome;
            tracked.answered |= outcome == Outcome.SERVED;
            on(new AttemptEnded(id, number, last.server, outcome, now - last.at, tracked.answered, null));
        }

        /** Applies a version with another limit or type, in some cases after one without the route. */
        private void reconfigure(String route, int which) {
            RequestClass changed =
                    version(route, 1 + which % MAX_ATTEMPTS, Idempotency.values()[which / MAX_ATTEMPTS % 2 * 2]);
            routes.remove(route);
            if (which / MAX_ATTEMPTS / 2 % 4 == 0) {
                on(new Reconfigured(classes(), 1));
            }
            routes.put(route, changed);
            requests.values().stream()
                    .filter(tracked -> tracked.route.equals(route))
                    .forEach(tracked -> tracked.restrict(changed));
            on(new Reconfigured(classes(), 1));
        }

        private void advanceTime(long nanos) {
            now += nanos;
            for (String id : List.copyOf(requests.keySet())) {
                if (isInFlight(requests.get(id)) && now >= requests.get(id).deadline) {
                    end(id, Outcome.TIMED_OUT);
                }
            }
            on(new TimerFired(SWEEP_TIMER));
            on(new TimerFired(TICK_TIMER));
        }

        private void disconnectOrShutDown(int which) {
            if (which == 0) {
                on(new ShutdownStarted(SECOND));
            } else if (!requests.isEmpty()) {
                String id = List.copyOf(requests.keySet()).get(which % requests.size());
                requests.get(id).answered = true;
                on(new ClientDisconnected(id));
            }
        }

        @Override
        public void send(String request, String server, long timeoutNanos) {
            TrackedRequest tracked = requests.get(request);
            if (tracked.unsafe && tracked.mayHaveExecuted()) {
                violations.add("TWICE");
            }
            tracked.sends.add(new SentAttempt(server, now));
            sends++;
            if (tracked.sends.size() > tracked.maxAttempts) {
                violations.add("BUDGET");
            }
        }

        @Override
        public void refuse(String request, long pauseNanos) {
            TrackedRequest tracked = requests.get(request);
            if (tracked.unsafe && tracked.mayHaveExecuted()) {
                violations.add("REFUSED");
            }
            answer(tracked);
        }

        @Override
        public void fail(String request) {
            answer(requests.get(request));
        }

        private void answer(TrackedRequest tracked) {
            if (tracked.answered) {
                violations.add("answered twice");
            }
            tracked.answered = true;
        }

        @Override
        public void cancel(String request, int attempt) {
            // A later step ends the attempt.
        }

        @Override
        public void setTimer(long delayNanos, long token) {
            // Both timers fire whenever time advances.
        }

        @Override
        public void subscribe() {
            // The simulation sends lists without a subscription.
        }
    }

    @Property(tries = 3_000, seed = SEED)
    void noRequestExceedsTheLimitsOfAnyVersionSinceItArrived(
            @ForAll @Size(min = 40, max = 200) List<@IntRange(max = MAX_STEP) Integer> steps) {
        Simulation simulation = new Simulation((settings, actions) -> new LoadBalancer(settings, 1, actions));
        steps.forEach(simulation::step);
        assertEquals(Set.of(), simulation.violations);
    }

    /** Applies a new version to open requests without regard to the previous one. */
    private static final class ReplacingLoadBalancer extends LoadBalancer {
        ReplacingLoadBalancer(Settings settings, Actions actions) {
            super(settings, 1, actions);
        }

        @Override
        void restrict(Request request, RequestClass version) {
            request.maxAttempts = version.maxAttempts();
            request.strictest = version;
        }
    }

    @Example
    void withoutRestrictionNewVersionsViolateAllThreeRules() {
        Set<String> violations = new TreeSet<>();
        int sends = 0;
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 300; i++) {
            Simulation simulation = new Simulation(ReplacingLoadBalancer::new);
            random.ints(200, 0, MAX_STEP + 1).forEach(simulation::step);
            violations.addAll(simulation.violations);
            sends += simulation.sends;
        }
        assertEquals(Set.of("BUDGET", "REFUSED", "TWICE"), violations);
        assertTrue(sends > 10_000, "sends: " + sends);
    }
}
