package tinworks.policy;

import java.util.List;

/**
 * Interface between the {@link LoadBalancer} and the gateway that embeds it: settings, events and actions, without
 * decisions. All times are nanoseconds of a monotonic clock with an arbitrary origin.
 *
 * <p>A gateway has one {@link LoadBalancer} and calls it from one thread, with each event as it happens. It delivers
 * each request once, under an id that is not used again; exactly one {@link AttemptEnded} for each send; a
 * {@link TimerFired} for each timer, never early; and the server list whenever it changes. In return each request gets
 * one final answer before it expires: the first SERVED outcome, which the gateway itself passes to the client, a
 * refusal or a failure. Equal settings, seed and events give equal actions.
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

        private final boolean notExecuted;

        Outcome(boolean notExecuted) {
            this.notExecuted = notExecuted;
        }

        /** Whether this outcome proves that the server did not execute the request. */
        public boolean provesNotExecuted() {
            return notExecuted;
        }
    }

    /**
     * Idempotency of a class: whether a request may be executed twice (SAFE), only where the server deduplicates it by
     * its idempotency key (KEYED), or not at all (UNSAFE).
     */
    enum Idempotency {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** Servers that deduplicate a keyed request together: all, those of one zone, or those of one cell. */
    enum DedupScope {
        ALL,
        ZONE,
        CELL
    }

    /** State of a server in the server list. */
    enum Readiness {
        READY,
        DRAINING,
        REMOVED
    }

    /**
     * Content of a list event: changes only, the full list, the list cached by a starting gateway, or a failed call.
     */
    enum ServerListKind {
        CHANGES,
        FULL,
        CACHED,
        FAILED
    }

    /**
     * A class of requests.
     *
     * @param dedupWindowNanos deduplication window, from the first send that may have been executed
     * @param targetNanos latency target: a response within it has the full value
     * @param deadlineNanos time from the first attempt of a client to its timeout
     * @param lateValue fraction of {@code value} that a response after the target still has
     * @param maxAttempts most attempts for one request, within what the gateway permits
     * @param minFailureLatencyNanos least latency that a failed attempt counts as when shares are updated
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
        /** A class limited only by the gateway's attempts, whose failures count as long as they took. */
        public RequestClass(
                String name,
                Idempotency idempotency,
                DedupScope dedupScope,
                long dedupWindowNanos,
                long targetNanos,
                long deadlineNanos,
                double value,
                double lateValue,
                boolean stream) {
            this(
                    name,
                    idempotency,
                    dedupScope,
                    dedupWindowNanos,
                    targetNanos,
                    deadlineNanos,
                    value,
                    lateValue,
                    stream,
                    Integer.MAX_VALUE,
                    0);
        }
    }

    /** A tenant and its quota: the requests per second, over all gateways, that have their full value. */
    record Tenant(String name, double quotaPerSecond) {}

    /** What a gateway may do: attempts per request, cancelling attempts, and messages to other gateways. */
    record Permissions(int maxAttempts, boolean cancel, boolean peerMessages) {}

    /**
     * Parameters of the retry, slow-start and overload rules.
     *
     * @param answerSlackNanos time past its deadline within which a request may still be answered
     * @param drainGraceNanos time for which requests may still be sent to a draining server
     * @param resubscribeWithinNanos time within which a failed call for the server list is repeated
     * @param slowStartInitialFraction fraction of its capacity that a new server starts with; 1 after slowStartNanos
     * @param overloadFactor load in the overload window that a new server must not exceed, in multiples of its capacity
     * @param totalRetryBudget cap on the saved-up retries of all gateways for one service, where every retry counts
     *     that reaches a server, even if refused there; 0 where only those count that may have been executed
     * @param overdueFactor multiple of the usual time after which an attempt is overdue, as the work of requests
     *     differs; above 1, overdue attempts at unresponsive servers are cancelled too
     * @param minClassFraction least ratio of sent to arrived requests of a class, relative to that of all; 0 for none
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
        /** Parameters where refused retries do not count and requests need about the same work. */
        public PolicyParameters(
                long answerSlackNanos,
                long drainGraceNanos,
                long resubscribeWithinNanos,
                double slowStartInitialFraction,
                long slowStartNanos,
                double overloadFactor,
                long overloadWindowNanos) {
            this(
                    answerSlackNanos,
                    drainGraceNanos,
                    resubscribeWithinNanos,
                    slowStartInitialFraction,
                    slowStartNanos,
                    overloadFactor,
                    overloadWindowNanos,
                    0,
                    1,
                    0);
        }
    }

    /**
     * What a gateway is configured with at its start.
     *
     * @param gatewayIndex index among the gateways, from 0; negative where they have none, which turns subsetting off
     * @param overQuotaValue fraction of its value that a request over its tenant's quota has
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
        /** Checks the values that decisions divide by or wait for; errors give their external names. */
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
                throw new IllegalArgumentException("settings: " + field + " cannot be " + value);
            }
        }
    }

    /** An entry of the server list; {@code startedAtNanos} is 0 where the start is long ago. */
    record ServerInfo(
            String id,
            String zone,
            String machineType,
            int cell,
            Readiness readiness,
            double capacityHint,
            long startedAtNanos) {}

    /** Load as reported by a server; values that it does not report are NaN. */
    record LoadReport(
            double requestsPerSecond,
            double utilisation,
            double errorsPerSecond,
            double inFlight,
            double queued,
            double latencyMillis) {}

    /** An event that the gateway delivers to the load balancer. */
    sealed interface Event {}

    /** The server list or changes to it; empty if the call failed. */
    record ServerListReceived(ServerListKind kind, List<ServerInfo> servers) implements Event {}

    /**
     * A request arrived; {@code tenant} and {@code key} may be null, {@code workNanos} is 0 if unknown.
     *
     * @param queueingDelayNanos the part of {@code expiresInNanos} that may have passed here before it was read
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
        /** A request that was read without delay. */
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

    /** The client disconnected or the answer is overdue: no answer is needed any more. */
    record ClientDisconnected(String id) implements Event {}

    /** A streamed response has begun: the attempt is bound to the client and has no timeout any more. */
    record StreamStarted(String id, int attempt, String server) implements Event {}

    /**
     * An attempt ended; {@code concluded} is true if the request has its final answer.
     *
     * @param queueingDelayNanos the part of {@code elapsedNanos} that this event may have waited in the gateway
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
        /** An event that was delivered without delay. */
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

    /** A health probe ended. */
    record Probed(String server, Outcome outcome, long elapsedNanos, LoadReport load) implements Event {}

    /** A message from another gateway arrived. */
    record PeerMessageReceived(int gateway, byte[] body) implements Event {}

    /** Graceful shutdown began: requests that arrive from now on need their final answer within this time. */
    record ShutdownStarted(long answerWithinNanos) implements Event {}

    /**
     * A configuration change: other classes or another number of gateways. A class whose name exists already keeps its
     * measurements. Open requests keep the class that they arrived with, restricted by the new one.
     */
    record Reconfigured(List<RequestClass> classes, int gatewayCount) implements Event {
        /** Copies the list of classes. */
        public Reconfigured {
            classes = List.copyOf(classes);
            if (gatewayCount < 1) {
                throw new IllegalArgumentException("gateways: " + gatewayCount);
            }
        }
    }

    /**
     * A timer of the load balancer fired.
     *
     * @param queueingDelayNanos age up to which responses of servers may not have been delivered as events yet
     */
    record TimerFired(long token, long queueingDelayNanos) implements Event {
        /** A timer that fired when all responses received had been delivered. */
        public TimerFired(long token) {
            this(token, 0);
        }
    }

    /**
     * What the load balancer requests of its gateway. Each method is called from within {@link LoadBalancer#onEvent},
     * on its thread, and takes effect at the time of that event; none may call the load balancer. Methods with a
     * default body are optional.
     */
    interface Actions {
        /**
         * Starts the next attempt of the request; attempts are numbered from 0. The gateway delivers one
         * {@link AttemptEnded} for it, at the latest after the timeout.
         */
        void send(String request, String server, long timeoutNanos);

        /** Final answer: not served, and a retry is harmless, best after the pause (0: no advice). */
        void refuse(String request, long pauseNanos);

        /** Same as the method without a reason. */
        default void refuse(String request, long pauseNanos, Reason reason) {
            refuse(request, pauseNanos);
        }

        /** Final answer: failed, and the request may have been executed. */
        void fail(String request);

        /** Same as the method without a reason. */
        default void fail(String request, Reason reason) {
            fail(request);
        }

        /** Cancels an attempt; its end is still delivered as an event. */
        void cancel(String request, int attempt);

        /** Requests a {@link TimerFired} after the delay; timers cannot be cancelled. */
        void setTimer(long delayNanos, long token);

        /** Subscribes to changes of the server list; answered by {@link ServerListReceived}. */
        void subscribe();

        /** Requests the full server list once. */
        default void fetchList() {}

        /** Sends a health probe to a server. */
        default void probe(String server) {}

        /** Sends a message to all other gateways. */
        default void sendToPeers(byte[] body) {}

        /** Writes a log line. */
        default void log(String line) {}
    }
}
