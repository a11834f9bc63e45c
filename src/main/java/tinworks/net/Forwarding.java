package tinworks.net;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import tinworks.invariant.Invariant;
import tinworks.net.ClientServer.BadRequest;
import tinworks.net.ClientServer.Reply;
import tinworks.net.HostPool.Response;
import tinworks.net.UnservedRequest.AttemptSummary;
import tinworks.net.UnservedRequest.Ending;
import tinworks.policy.LoadBalancer;
import tinworks.policy.LoadBalancerApi.Actions;
import tinworks.policy.LoadBalancerApi.AttemptEnded;
import tinworks.policy.LoadBalancerApi.ClientDisconnected;
import tinworks.policy.LoadBalancerApi.Event;
import tinworks.policy.LoadBalancerApi.LoadReport;
import tinworks.policy.LoadBalancerApi.Outcome;
import tinworks.policy.LoadBalancerApi.RequestArrived;
import tinworks.policy.LoadBalancerApi.Settings;
import tinworks.policy.LoadBalancerApi.TimerFired;
import tinworks.policy.Reason;

/**
 * Forwards requests to hosts: owns a load balancer, its timers and its open requests, and carries out its actions. It
 * makes no decisions itself, and checks some of those made. Everything runs on one event loop thread. Events that arise
 * while the load balancer processes another one are queued, so that it is not re-entered.
 */
public final class Forwarding implements Actions {
    /** Receives the load balancer's actions that do not concern a single request, and reports on requests. */
    public interface Callbacks {
        /** The load balancer subscribes to the list of hosts and its changes. */
        void subscribe();

        /** Sends a message to all other gateways. */
        void broadcast(byte[] body);

        /** Logs a line for the operators. */
        void log(String line);

        /** A request ended without a successful response. */
        default void requestEnded(UnservedRequest request) {}

        /** Whether the newest list lets a host receive new requests. Used to check decisions, not to make them. */
        default boolean isReady(String host) {
            return true;
        }
    }

    /** Timers fire late on a busy machine; a request is overdue if it is open for longer past its deadline. */
    static final long OVERDUE_GRACE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final HostPool hosts;
    private final ForwardingProtocol protocol;
    private final Callbacks callbacks;
    private final LoadBalancer loadBalancer;
    private final Map<String, OpenRequest> openRequests = new HashMap<>();
    private final ArrayDeque<TimestampedEvent> events = new ArrayDeque<>();
    private final ForwardingCounters counters = new ForwardingCounters();
    private long lastEventNanos = Long.MIN_VALUE;
    private boolean processingEvents;
    /** The request of the latest action in the event being processed, or null. */
    private String currentRequestId;

    private boolean closed;

    private record TimestampedEvent(long timestampNanos, Event event) {}

    /** Creates a load balancer with these settings; the caller updates {@code hosts} with each host list. */
    public Forwarding(
            EventLoop loop,
            MonotonicClock clock,
            Settings settings,
            long seed,
            HostPool hosts,
            ForwardingProtocol protocol,
            Callbacks callbacks) {
        this.loop = loop;
        this.clock = clock;
        this.hosts = hosts;
        this.protocol = protocol;
        this.callbacks = callbacks;
        loadBalancer = new LoadBalancer(settings, seed, this);
    }

    /** Accepts a request, which then gets exactly one response. The limit is used to check decisions only. */
    public void begin(long atNanos, RequestArrived arrived, AttemptLimit limit, FullHttpRequest request, Reply reply)
            throws BadRequest {
        if (openRequests.containsKey(arrived.id())) {
            throw new BadRequest(HttpResponseStatus.CONFLICT, "a request with this id is open");
        }
        OpenRequest r = new OpenRequest(atNanos, arrived, limit, request, reply);
        reply.retainRequest(request);
        openRequests.put(r.id, r);
        counters.requestAccepted();
        reply.onClientDisconnect(r::clientDisconnected);
        dispatch(atNanos, arrived);
    }

    /** Live counters of requests and attempts. */
    public ForwardingCounters counters() {
        return counters;
    }

    /** Ignores all timers that fire from now on. */
    public void close() {
        closed = true;
    }

    /**
     * Fails requests still open long after their deadline, which nothing else would end. Called about once a second. A
     * request fails when found twice, because after a stall of the event loop this check may run before due work.
     */
    public void failOverdue() {
        long overdueBefore = clock.nanos() - OVERDUE_GRACE_NANOS;
        for (OpenRequest r : List.copyOf(openRequests.values())) {
            if (r.reply.isDone() || r.deadlineNanos > overdueBefore) {
                continue;
            }
            if (!r.seenOverdue) {
                r.seenOverdue = true;
                continue;
            }
            Invariant.ANSWERED_IN_TIME.recordViolation(
                    r.id + " of " + r.requestClass + " has no response after its deadline");
            fail(r.id, Reason.FAULT);
            dispatch(new ClientDisconnected(r.id));
        }
    }

    /** The number of open requests. */
    public int open() {
        return openRequests.size();
    }

    /** Passes an event to the load balancer, at the current time. */
    public void dispatch(Event event) {
        dispatch(clock.nanos(), event);
    }

    /** The only entry to the load balancer, whose time never goes back even if an event has an earlier timestamp. */
    private void dispatch(long atNanos, Event event) {
        events.add(new TimestampedEvent(atNanos, event));
        if (processingEvents) {
            return;
        }
        processingEvents = true;
        try {
            for (TimestampedEvent next = events.poll(); next != null; next = events.poll()) {
                lastEventNanos = Math.max(lastEventNanos, next.timestampNanos);
                process(next.event);
            }
        } finally {
            processingEvents = false;
        }
    }

    /** An exception fails only the requests concerned: it neither ends the process nor leaves a client waiting. */
    private void process(Event event) {
        currentRequestId = null;
        try {
            loadBalancer.onEvent(lastEventNanos, event);
        } catch (RuntimeException e) {
            Invariant.NO_FAULT.recordException(
                    e, "the load balancer failed to process " + event.getClass().getSimpleName());
            String failedRequestId = currentRequestId;
            failAfterFault(event instanceof RequestArrived arrived ? arrived.id() : null);
            failAfterFault(event instanceof AttemptEnded ended ? ended.id() : null);
            failAfterFault(failedRequestId);
        }
    }

    /** Fails a request after an exception, and makes the load balancer drop it. */
    private void failAfterFault(String id) {
        OpenRequest r = openRequests.get(id);
        if (r != null && !r.reply.isDone()) {
            fail(id, Reason.FAULT);
            dispatch(new ClientDisconnected(id));
        }
    }

    @Override
    public void send(String request, String server, long timeoutNanos) {
        currentRequestId = request;
        openRequests.get(request).send(server, timeoutNanos);
    }

    @Override
    public void refuse(String request, long pauseNanos) {
        refuse(request, pauseNanos, Reason.NO_ROOM_IN_TIME);
    }

    @Override
    public void refuse(String request, long pauseNanos, Reason reason) {
        currentRequestId = request;
        OpenRequest r = openRequests.get(request);
        if (r != null) {
            counters.requestRefused(reason);
            r.checkRefusal();
            r.reportEnd(Ending.REFUSED, reason);
            protocol.refuse(r.reply, pauseNanos);
            r.removeIfFinished();
        }
    }

    @Override
    public void fail(String request) {
        fail(request, Reason.MAY_HAVE_RUN);
    }

    @Override
    public void fail(String request, Reason reason) {
        currentRequestId = request;
        OpenRequest r = openRequests.get(request);
        if (r != null) {
            counters.requestFailed(reason);
            r.reportEnd(Ending.FAILED, reason);
            if (r.lastResponse != null) {
                r.holdReservationUntilWritten(r.lastResponse);
            }
            protocol.fail(r.reply, r.lastResponse);
            r.removeIfFinished();
        }
    }

    @Override
    public void cancel(String request, int attempt) {
        currentRequestId = request;
        OpenRequest r = openRequests.get(request);
        if (r != null) {
            r.attempts.get(attempt).cancel();
        }
    }

    @Override
    public void setTimer(long delayNanos, long token) {
        loop.schedule(
                () -> {
                    if (!closed) {
                        dispatch(new TimerFired(token, clock.queueingDelayNanos()));
                    }
                },
                delayNanos,
                TimeUnit.NANOSECONDS);
    }

    @Override
    public void subscribe() {
        callbacks.subscribe();
    }

    @Override
    public void sendToPeers(byte[] body) {
        callbacks.broadcast(body);
    }

    @Override
    public void log(String line) {
        callbacks.log(line);
    }

    /** A request without a response, or with attempts in flight. */
    private final class OpenRequest implements HostPool.AttemptListener {
        private final String id;
        private final String requestClass;
        private final long startedAtNanos;
        private final long deadlineNanos;
        private final AttemptLimit limit;
        private final long queueingDelayNanos;
        private final FullHttpRequest request;
        private final Reply reply;
        private final AttemptList attempts = new AttemptList();
        private int attemptsInFlight;
        /** Whether {@link #failOverdue} has found the request open after its deadline once. */
        private boolean seenOverdue;
        /** The latest complete error response, kept in case no attempt succeeds. */
        private Response lastResponse;

        OpenRequest(long atNanos, RequestArrived arrived, AttemptLimit limit, FullHttpRequest request, Reply reply) {
            startedAtNanos = atNanos;
            deadlineNanos = atNanos + arrived.expiresInNanos();
            this.limit = limit;
            id = arrived.id();
            requestClass = arrived.requestClass();
            queueingDelayNanos = arrived.queueingDelayNanos();
            this.request = request;
            this.reply = reply;
        }

        /**
         * Sends an attempt. The timeout sent to the host excludes the queueing delay before the request was read, and
         * the host ends its work by it; the attempt itself is cut off only at the full timeout.
         */
        void send(String server, long timeoutNanos) {
            checkSend(server, timeoutNanos);
            attemptsInFlight++;
            FullHttpRequest copy = protocol.forHost(request, server, timeoutNanos - queueingDelayNanos);
            long maxIdleNanos = protocol.maxIdleNanos(requestClass);
            attempts.add(server, hosts.send(server, id, copy, timeoutNanos, maxIdleNanos, this));
        }

        private void checkSend(String server, long timeoutNanos) {
            Invariant.ONE_ANSWER.check(!reply.isDone(), () -> id + " is sent to " + server + " after its response");
            Invariant.RUNS_ONCE.check(
                    !limit.atMostOnce() || attempts.allProvenNotExecuted(),
                    () -> id + " is sent to " + server + " after attempts " + attemptSummaries());
            Invariant.TRIES_KEPT.check(
                    attempts.size() < limit.maxAttempts(),
                    () -> id + " exceeds limit " + limit.maxAttempts() + " at " + server + ": " + attemptSummaries());
            Invariant.NOT_TO_DRAINED.check(callbacks.isReady(server), () -> id + " is sent to unready " + server);
            Invariant.DEADLINE_KEPT.check(
                    timeoutNanos <= deadlineNanos - lastEventNanos,
                    () -> id + " is sent with " + timeoutNanos + " of " + (deadlineNanos - lastEventNanos)
                            + " ns left");
        }

        /** Checks that an at-most-once request that is refused cannot have been executed, as a refusal promises. */
        void checkRefusal() {
            Invariant.PROMISE_KEPT.check(
                    !limit.atMostOnce() || attempts.allProvenNotExecuted(),
                    () -> id + " is refused after attempts " + attemptSummaries());
        }

        @Override
        public void ended(HostPool.Attempt attempt, Outcome outcome, long atNanos, LoadReport load, Response response) {
            int number = attempts.indexOf(attempt);
            attemptsInFlight--;
            counters.attemptEnded(outcome, attempt.elapsedNanos(atNanos));
            if (outcome == Outcome.SERVED) {
                Invariant.OWN_ANSWER.check(
                        protocol.provesSuccess(id, response), () -> id + " is served by " + response.head());
                holdReservationUntilWritten(response);
                protocol.relay(reply, response);
            } else if (outcome == Outcome.ERROR) {
                retainLastResponse(response);
            }
            removeIfFinished();
            dispatch(
                    atNanos,
                    new AttemptEnded(
                            id,
                            number,
                            attempts.host(number),
                            outcome,
                            attempt.elapsedNanos(atNanos),
                            reply.isDone(),
                            load,
                            clock.queueingDelayNanos()));
        }

        private void retainLastResponse(Response response) {
            if (lastResponse != null) {
                lastResponse.body().release();
                lastResponse.reserved().release();
            }
            if (response != null) {
                response.body().retain();
                response.reserved().retain();
            }
            lastResponse = response;
        }

        /** Keeps the memory of a body reserved until the body is written to the client or can no longer be. */
        private void holdReservationUntilWritten(Response response) {
            reply.onWritten(response.reserved().retain()::release);
        }

        /** Reports that the request ended without a successful response. */
        void reportEnd(Ending ending, Reason reason) {
            long durationNanos = clock.nanos() - startedAtNanos + queueingDelayNanos;
            callbacks.requestEnded(
                    new UnservedRequest(id, requestClass, ending, reason, durationNanos, attemptSummaries()));
        }

        private List<AttemptSummary> attemptSummaries() {
            return attempts.summaries(clock.nanos());
        }

        void clientDisconnected() {
            counters.requestAbandoned();
            reportEnd(Ending.CLIENT_LEFT, null);
            removeIfFinished();
            dispatch(new ClientDisconnected(id));
        }

        private void removeIfFinished() {
            if (reply.isDone() && attemptsInFlight == 0 && openRequests.remove(id, this)) {
                reply.releaseRequest();
                retainLastResponse(null);
            }
        }
    }
}
