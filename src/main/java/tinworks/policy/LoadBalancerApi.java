package tinworks.policy;

import java.util.List;

/**
 * The interface of the decision module {@link LoadBalancer}: what a gateway tells it and what it may ask for. All times
 * are nanoseconds; the clock starts anywhere and only moves forward.
 *
 * <p>A gateway owns one {@link LoadBalancer} and calls it from one thread, each event as it happens. It delivers each
 * request once, under an id that is not used again; exactly one {@link AttemptEnded} for each send; a
 * {@link TimerFired} for each timer, never early; and the server list whenever it changes. In return each request gets
 * one final answer: the first SERVED outcome, which the host passes to the client itself, a refusal or a failure, all
 * before the request expires. Equal settings, seed and events give equal actions.
 */
public interface LoadBalancerApi {

    /** How an attempt ended. */
    enum Outcome {
        SERVED(false),
        ERROR(false),
        FULL(true),
        TIMED_OUT(false),
        CONNECT_FAILED(true),
        RESET(false),
        CANCELLED(false),
        NOT_SENT(true);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** Whether this outcome proves that the server never ran the request. */
        public boolean provesNotExecuted() {
            return neverRan;
        }
    }

    /** What a second run of the same request would do. */
    enum Idempotency {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** Which servers drop a repeat of a keyed request: all, those of one zone, or those of one cell. */
    enum DedupScope {
        ALL,
        ZONE,
        CELL
    }

    /** What the server list says of a server. */
    enum Readiness {
        READY,
        DRAINING,
        REMOVED
    }

    /** Changes only, the whole list, the list as last held by a gateway that starts, or a failed call. */
    enum ServerListKind {
        CHANGES,
        FULL,
        CACHED,
        FAILED
    }

    /**
     * A class of requests.
     *
     * @param dedupWindowNanos counts from the first send that may have run
     * @param maxAttempts the most attempts for one of its requests, within what the gateway allows
     * @param minFailureLatencyNanos what an attempt without a whole answer counts as in the loop at least; 0 for the
     *     time it took
     */
    record RequestClass(
            String name,
            Idempotency idempotency,
            DedupScope dedupScope,
            long dedupWindowNanos,
            long targetNanos,
            long deadlineNanos,
            double value,
            double lateValue,
            boolean stream,
            int maxAttempts,
            long minFailureLatencyNanos) {
        /** One whose tries are the gateway's, and whose failures count as long as they took. */
        public RequestClass(
                String name,
                Idempotency effect,
                DedupScope group,
                long dedupWindowNanos,
                long aimNanos,
                long deadlineNanos,
                double worth,
                double lateWorth,
                boolean stream) {
            this(
                    name,
                    effect,
                    group,
                    dedupWindowNanos,
                    aimNanos,
                    deadlineNanos,
                    worth,
                    lateWorth,
                    stream,
                    Integer.MAX_VALUE,
                    0);
        }
    }

    /** A tenant and the requests a second, over all gateways, that are within its share. */
    record Tenant(String name, double quotaPerSecond) {}

    /** What a gateway may do. */
    record Permissions(int maxAttempts, boolean cancel, boolean peerMessages) {}

    /**
     * The figures of the rules.
     *
     * @param totalRetryBudget arrivals beyond the first of each request that all gateways together may save up for one
     *     service, and then every arrival counts, turned away or not; 0 where only those count that may have run
     * @param overdueFactor how many times as long an attempt may take, before it counts as overdue, as where work
     *     hardly differs; above 1 also what is overdue at a silent server is called off
     * @param minClassFraction of each class so much of the part of all requests that is sent goes out at least; 0 where
     *     nothing asks for that
     */
    record PolicyParameters(
            long answerSlackNanos,
            long drainGraceNanos,
            long resubscribeWithinNanos,
            double slowStartInitialFraction,
            long slowStartNanos,
            double overloadFactor,
            long overloadWindowNanos,
            double totalRetryBudget,
            double overdueFactor,
            double minClassFraction) {
        /** Those of a deployment that doesn't count arrivals, and whose requests need about the same work. */
        public PolicyParameters(
                long answerSlackNanos,
                long drainGraceNanos,
                long askWithinNanos,
                double coldFrom,
                long warmUpNanos,
                double overloadFactor,
                long overloadForNanos) {
            this(
                    answerSlackNanos,
                    drainGraceNanos,
                    askWithinNanos,
                    coldFrom,
                    warmUpNanos,
                    overloadFactor,
                    overloadForNanos,
                    0,
                    1,
                    0);
        }
    }

    /**
     * What a gateway is told at its start.
     *
     * @param gatewayIndex its place among the gateways, from 0; below 0 where they have none, and then it keeps to no
     *     portion of the servers
     */
    record Settings(
            int gatewayCount,
            int gatewayIndex,
            String zone,
            boolean subscribe,
            long timerResolutionNanos,
            List<RequestClass> classes,
            List<Tenant> tenants,
            double overQuotaValue,
            Permissions permissions,
            PolicyParameters parameters) {
        /** Checks each figure that a decision divides by or waits for. */
        public Settings {
            classes = List.copyOf(classes);
            tenants = List.copyOf(tenants);
            require(gatewayCount >= 1, "gateways", gatewayCount);
            require(!classes.isEmpty(), "classes", "none");
            for (RequestClass c : classes) {
                require(c.targetNanos() > 0, c.name() + ".aimNanos", c.targetNanos());
                require(c.deadlineNanos() > 0, c.name() + ".deadlineNanos", c.deadlineNanos());
                require(c.value() >= 0, c.name() + ".worth", c.value());
            }
            require(timerResolutionNanos > 0, "resolutionNanos", timerResolutionNanos);
            require(permissions.maxAttempts() >= 1, "maxAttempts", permissions.maxAttempts());
            require(
                    parameters.slowStartInitialFraction() > 0 && parameters.slowStartInitialFraction() <= 1,
                    "coldFrom",
                    parameters.slowStartInitialFraction());
            require(parameters.totalRetryBudget() >= 0, "furtherArrivals", parameters.totalRetryBudget());
            require(parameters.overdueFactor() >= 1, "longWork", parameters.overdueFactor());
            require(
                    parameters.minClassFraction() >= 0 && parameters.minClassFraction() < 1,
                    "leastPart",
                    parameters.minClassFraction());
            require(parameters.slowStartNanos() >= 0, "warmUpNanos", parameters.slowStartNanos());
            require(parameters.drainGraceNanos() >= 0, "drainGraceNanos", parameters.drainGraceNanos());
            require(parameters.overloadFactor() > 0, "overloadFactor", parameters.overloadFactor());
            require(parameters.overloadWindowNanos() > 0, "overloadForNanos", parameters.overloadWindowNanos());
        }

        private static void require(boolean holds, String field, Object value) {
            if (!holds) {
                throw new IllegalArgumentException("settings: " + field + " can't be " + value);
            }
        }
    }

    /** One entry of the server list; {@code startedAtNanos} is 0 where the start is long ago. */
    record ServerInfo(
            String id,
            String zone,
            String machineType,
            int cell,
            Readiness readiness,
            double capacityHint,
            long startedAtNanos) {}

    /** A server's own account of its load; a value that it doesn't report is NaN. */
    record LoadReport(
            double requestsPerSecond,
            double utilisation,
            double errorsPerSecond,
            double inFlight,
            double queued,
            double latencyMillis) {}

    /** What the host tells the module. */
    sealed interface Event {}

    /** The server list, or changes to it; empty where a call failed. */
    record ServerListReceived(ServerListKind kind, List<ServerInfo> servers) implements Event {}

    /**
     * A request; {@code tenant} and {@code key} may be null, {@code workNanos} is 0 where unknown.
     *
     * @param queueingDelayNanos the part of {@code expiresInNanos} that may have passed here before the request was
     *     read
     */
    record RequestArrived(
            String id,
            String requestClass,
            String tenant,
            String key,
            long expiresInNanos,
            long workNanos,
            boolean retry,
            long queueingDelayNanos)
            implements Event {
        /** One that was read as soon as it came. */
        public RequestArrived(
                String id,
                String requestClass,
                String tenant,
                String key,
                long expiresInNanos,
                long workNanos,
                boolean retry) {
            this(id, requestClass, tenant, key, expiresInNanos, workNanos, retry, 0);
        }
    }

    /** The client left, or the answer is overdue: nothing is owed any more. */
    record ClientDisconnected(String id) implements Event {}

    /** A streamed answer has begun: the attempt is the client's and no time-out runs any more. */
    record StreamStarted(String id, int attempt, String server) implements Event {}

    /**
     * An attempt ended; {@code concluded} says that the request has its final answer.
     *
     * @param queueingDelayNanos the part of {@code elapsedNanos} that the news may have waited here, while the gateway
     *     was busy
     */
    record AttemptEnded(
            String id,
            int attempt,
            String server,
            Outcome outcome,
            long elapsedNanos,
            boolean concluded,
            LoadReport load,
            long queueingDelayNanos)
            implements Event {
        /** One that was told of as soon as it ended. */
        public AttemptEnded(
                String id,
                int attempt,
                String server,
                Outcome outcome,
                long elapsedNanos,
                boolean concluded,
                LoadReport load) {
            this(id, attempt, server, outcome, elapsedNanos, concluded, load, 0);
        }
    }

    /** A probe ended. */
    record Probed(String server, Outcome outcome, long elapsedNanos, LoadReport load) implements Event {}

    /** Another gateway's message. */
    record PeerMessageReceived(int gateway, byte[] body) implements Event {}

    /** The gateway is to end: what comes from now on needs its final answer within this time. */
    record ShutdownStarted(long answerWithinNanos) implements Event {}

    /**
     * Other classes, or another number of gateways, from now on. A class of a name that was there keeps what was
     * learned of it, and requests under way end by the classes that they came with.
     */
    record Reconfigured(List<RequestClass> classes, int gatewayCount) implements Event {
        /** Keeps its own list. */
        public Reconfigured {
            classes = List.copyOf(classes);
            if (gatewayCount < 1) {
                throw new IllegalArgumentException("gateways: " + gatewayCount);
            }
        }
    }

    /**
     * A timer that the module set.
     *
     * @param queueingDelayNanos what came from hosts within so much time before now may not have been told yet
     */
    record TimerFired(long token, long queueingDelayNanos) implements Event {
        /** One that fired when all that had come was told. */
        public TimerFired(long token) {
            this(token, 0);
        }
    }

    /**
     * What the module asks of its host. Each is called from within {@link LoadBalancer#onEvent}, on its thread, and
     * takes effect at the time of the event under way; none may call the module. Those with a default body are no-ops
     * unless a host implements them.
     */
    interface Actions {
        /**
         * Starts the request's next attempt; attempts count from 0. The host owes one {@link AttemptEnded} for it, at
         * the time-out at the latest.
         */
        void send(String request, String server, long timeoutNanos);

        /** Final answer: not served, and a further try is harmless, best after the pause (0: no advice). */
        void refuse(String request, long pauseNanos);

        /** The same, for this reason. */
        default void refuse(String request, long pauseNanos, Reason reason) {
            refuse(request, pauseNanos);
        }

        /** Final answer: failed, it may have run. */
        void fail(String request);

        /** The same, for this reason. */
        default void fail(String request, Reason reason) {
            fail(request);
        }

        /** Stops waiting for an attempt; how it ended is still told. */
        void cancel(String request, int attempt);

        /** Asks for a {@link TimerFired}; timers can't be taken back. */
        void setTimer(long delayNanos, long token);

        /** Asks for changes to the server list from now on; a {@link ServerListReceived} answers. */
        void subscribe();

        /** Asks for the whole server list once. */
        default void fetchList() {}

        /** Checks a server. */
        default void probe(String server) {}

        /** Sends a message to all other gateways. */
        default void sendToPeers(byte[] body) {}

        /** A line for the operators. */
        default void log(String line) {}
    }
}
