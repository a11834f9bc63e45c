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

/** A request's tries, however its attempts end and whatever hosts and versions do meanwhile. */
class AttemptLimitTest {
    private static final String SEED = "20261202";
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    private static final long TIMEOUT = 1_200 * MS;
    private static final int SERVERS = 6;
    private static final int MOST_TRIES = 4;
    private static final int LARGEST_STEP = 9_999;
    private static final int STEP_TIMER = 1;
    private static final int SWEEP_TIMER = 2;
    private static final List<String> ROUTES = List.of("first", "second");
    private static final Outcome[] OUTCOMES = Outcome.values();

    /** One send of a request. */
    private static final class Sent {
        final String server;
        final long at;
        Outcome outcome;

        Sent(String server, long at) {
            this.server = server;
            this.at = at;
        }

        boolean mayHaveRun() {
            return outcome == null || !outcome.provesNotExecuted();
        }
    }

    /** A request and the strictest that its route has said since it came. */
    private static final class Asked {
        final String route;
        final long deadline;
        final List<Sent> sends = new ArrayList<>();
        int tries;
        boolean unsafe;
        boolean answered;

        Asked(RequestClass came, long deadline) {
            route = came.name();
            this.deadline = deadline;
            tries = came.maxAttempts();
            unsafe = came.idempotency() == Idempotency.UNSAFE;
        }

        void take(RequestClass version) {
            tries = Math.min(tries, version.maxAttempts());
            unsafe |= version.idempotency() == Idempotency.UNSAFE;
        }

        boolean mayHaveRun() {
            return sends.stream().anyMatch(Sent::mayHaveRun);
        }
    }

    /** Makes the module under test. */
    private interface Maker {
        LoadBalancer make(Settings settings, Actions actions);
    }

    /** A small world that is driven by numbers, and what broke a rule in it. */
    private static final class World implements Actions {
        final Set<String> broken = new TreeSet<>();
        private final Map<String, RequestClass> routes = new LinkedHashMap<>();
        private final Map<String, Asked> asked = new LinkedHashMap<>();
        private final LoadBalancer choice;
        private long now;
        private int ids;
        private int sends;

        World(Maker maker) {
            ROUTES.forEach(name -> routes.put(name, version(name, 2, Idempotency.SAFE)));
            PolicyParameters rules =
                    new PolicyParameters(0, 0, Long.MAX_VALUE, 0.5, 3 * SECOND, 1e9, SECOND, 30, 2.5, 0.5);
            choice = maker.make(
                    new Settings(
                            1, -1, "z", false, MS, classes(), List.of(), 1, new Permissions(32, true, false), rules),
                    this);
            IntStream.range(0, SERVERS).forEach(i -> list(i, Readiness.READY));
        }

        private static RequestClass version(String name, int tries, Idempotency effect) {
            return new RequestClass(name, effect, DedupScope.ALL, 0, 300 * MS, TIMEOUT, 1, 0.5, false, tries, TIMEOUT);
        }

        private List<RequestClass> classes() {
            return List.copyOf(routes.values());
        }

        private void on(Event event) {
            choice.onEvent(now, event);
        }

        private void list(int server, Readiness readiness) {
            on(new ServerListReceived(
                    ServerListKind.CHANGES, List.of(new ServerInfo("i-" + server, "z", "", 0, readiness, 3, 0))));
        }

        /** Its last digit says what happens, the others to whom. */
        void step(int number) {
            int which = number / 10;
            switch (number % 10) {
                case 0, 1 -> ask(ROUTES.get(which % 2));
                case 2, 3, 4, 5 -> end(which);
                case 6 -> list(which % SERVERS, Readiness.values()[which / SERVERS % 3]);
                case 7 -> change(ROUTES.get(which % 2), which / 2);
                case 8 -> pass(which % 200 * MS);
                default -> leaveOrEnd(which);
            }
        }

        private void ask(String route) {
            String id = "q" + ids++;
            asked.put(id, new Asked(routes.get(route), now + TIMEOUT));
            on(new RequestArrived(id, route, null, null, TIMEOUT, 0, false));
        }

        private void end(int which) {
            List<String> out =
                    asked.keySet().stream().filter(id -> isOut(asked.get(id))).toList();
            if (!out.isEmpty()) {
                end(out.get(which % out.size()), OUTCOMES[which / out.size() % OUTCOMES.length]);
            }
        }

        private static boolean isOut(Asked one) {
            return !one.sends.isEmpty() && one.sends.get(one.sends.size() - 1).outcome == null;
        }

        private void end(String id, Outcome outcome) {
            Asked one = asked.get(id);
            int number = one.sends.size() - 1;
            Sent last = one.sends.get(number);
            last.outcome = outcome;
            one.answered |= outcome == Outcome.SERVED;
            on(new AttemptEnded(id, number, last.server, outcome, now - last.at, one.answered, null));
        }

        /** A version with other tries, another kind, or without the route; then that comes back. */
        private void change(String route, int which) {
            RequestClass changed =
                    version(route, 1 + which % MOST_TRIES, Idempotency.values()[which / MOST_TRIES % 2 * 2]);
            routes.remove(route);
            if (which / MOST_TRIES / 2 % 4 == 0) {
                on(new Reconfigured(classes(), 1));
            }
            routes.put(route, changed);
            asked.values().stream().filter(one -> one.route.equals(route)).forEach(one -> one.take(changed));
            on(new Reconfigured(classes(), 1));
        }

        private void pass(long nanos) {
            now += nanos;
            for (String id : List.copyOf(asked.keySet())) {
                if (isOut(asked.get(id)) && now >= asked.get(id).deadline) {
                    end(id, Outcome.TIMED_OUT);
                }
            }
            on(new TimerFired(SWEEP_TIMER));
            on(new TimerFired(STEP_TIMER));
        }

        private void leaveOrEnd(int which) {
            if (which == 0) {
                on(new ShutdownStarted(SECOND));
            } else if (!asked.isEmpty()) {
                String id = List.copyOf(asked.keySet()).get(which % asked.size());
                asked.get(id).answered = true;
                on(new ClientDisconnected(id));
            }
        }

        @Override
        public void send(String request, String server, long timeoutNanos) {
            Asked one = asked.get(request);
            if (one.unsafe && one.mayHaveRun()) {
                broken.add("TWICE");
            }
            one.sends.add(new Sent(server, now));
            sends++;
            if (one.sends.size() > one.tries) {
                broken.add("BUDGET");
            }
        }

        @Override
        public void refuse(String request, long pauseNanos) {
            Asked one = asked.get(request);
            if (one.unsafe && one.mayHaveRun()) {
                broken.add("REFUSED");
            }
            answer(one);
        }

        @Override
        public void fail(String request) {
            answer(asked.get(request));
        }

        private void answer(Asked one) {
            if (one.answered) {
                broken.add("answered twice");
            }
            one.answered = true;
        }

        @Override
        public void cancel(String request, int attempt) {
            // It ends as some later step says.
        }

        @Override
        public void setTimer(long delayNanos, long token) {
            // Both timers go off whenever time passes.
        }

        @Override
        public void subscribe() {
            // Lists come by themselves.
        }
    }

    @Property(tries = 3_000, seed = SEED)
    void noRequestGoesToMoreHostsThanAnyVersionOfItsRouteAllowedSinceItCame(
            @ForAll @Size(min = 40, max = 200) List<@IntRange(max = LARGEST_STEP) Integer> steps) {
        World world = new World((settings, actions) -> new LoadBalancer(settings, 1, actions));
        steps.forEach(world::step);
        assertEquals(Set.of(), world.broken);
    }

    /** A version replaces what a request under way came with. */
    private static final class Forgetful extends LoadBalancer {
        Forgetful(Settings settings, Actions actions) {
            super(settings, 1, actions);
        }

        @Override
        void restrict(Request request, RequestClass version) {
            request.maxAttempts = version.maxAttempts();
            request.strictest = version;
        }
    }

    @Example
    void withoutTheGuardVersionsBreakAllThreeRules() {
        Set<String> broken = new TreeSet<>();
        int sends = 0;
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 300; i++) {
            World world = new World(Forgetful::new);
            random.ints(200, 0, LARGEST_STEP + 1).forEach(world::step);
            broken.addAll(world.broken);
            sends += world.sends;
        }
        assertEquals(Set.of("BUDGET", "REFUSED", "TWICE"), broken);
        assertTrue(sends > 10_000, "sends: " + sends);
    }
}
