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
 * A decision module at work: owns it, its timers and the requests that it decides about, and carries out what it
 * decides. Everything runs on one event loop thread.
 *
 * <p>Events wait in a queue while the module is at work, so that nothing an action causes re-enters it.
 */
public final class Forwarding implements Actions {
    /** What of the module's actions isn't about requests. */
    public interface Callbacks {
        /** The module wants the list of hosts, and changes to it. */
        void subscribe();

        /** The module has a message for all other gateways. */
        void broadcast(byte[] body);

        /** A line for the operators. */
        void log(String line);

        /** A request ended without a host's success. */
        default void requestEnded(UnservedRequest request) {}

        /** Whether a host may get new requests by the newest list; only checked, not decided by. */
        default boolean isReady(String host) {
            return true;
        }
    }

    /** Scheduled work comes late on a busy machine; a request without an answer for longer than this was forgotten. */
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
    /** The request that the module last acted on in the decision under way, or null. */
    private String currentRequestId;

    private boolean closed;

    private record TimestampedEvent(long timestampNanos, Event event) {}

    /** A module with these settings; the hosts are the caller's to keep in step with the lists that it tells. */
    public Forwarding(
            EventLoop loop,
            MonotonicClock clock,
            Settings settings,
            long seed,
            HostPool hosts,
            ForwardingProtocol style,
            Callbacks owner) {
        this.loop = loop;
        this.clock = clock;
        this.hosts = hosts;
        this.protocol = style;
        this.callbacks = owner;
        loadBalancer = new LoadBalancer(settings, seed, this);
    }

    /** Takes on a request, which from here on gets one answer; the limit is only checked, not decided by. */
    public void begin(long at, RequestArrived arrived, AttemptLimit limit, FullHttpRequest request, Reply reply)
            throws BadRequest {
        if (openRequests.containsKey(arrived.id())) {
            throw new BadRequest(HttpResponseStatus.CONFLICT, "a request with this id is open");
        }
        OpenRequest r = new OpenRequest(at, arrived, limit, request, reply);
        reply.retainRequest(request);
        openRequests.put(r.id, r);
        counters.requestAccepted();
        reply.onClientDisconnect(r::clientDisconnected);
        dispatch(at, arrived);
    }

    /** What became of requests so far; it goes on counting. */
    public ForwardingCounters counters() {
        return counters;
    }

    /** From now on no timer goes off. */
    public void close() {
        closed = true;
    }

    /**
     * Finds requests that have no answer though their time has long been over, and fails them: nobody else would. To be
     * called about once a second; only what is found twice counts, since after a stall of the event loop this may come
     * before the work that is due.
     */
    public void failOverdue() {
        long before = clock.nanos() - OVERDUE_GRACE_NANOS;
        for (OpenRequest r : List.copyOf(openRequests.values())) {
            if (r.reply.isDone() || r.deadlineNanos > before) {
                continue;
            }
            if (!r.seenOverdue) {
                r.seenOverdue = true;
                continue;
            }
            Invariant.ANSWERED_IN_TIME.violated(r.id + " of " + r.requestClass + " has no answer");
            fail(r.id, Reason.FAULT);
            dispatch(new ClientDisconnected(r.id));
        }
    }

    /** How many requests are open. */
    public int open() {
        return openRequests.size();
    }

    /** Tells the module of something now. */
    public void dispatch(Event event) {
        dispatch(clock.nanos(), event);
    }

    /** The one way into the module. Its times never go back, even where events are stamped earlier. */
    private void dispatch(long at, Event event) {
        events.add(new TimestampedEvent(at, event));
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

    /** Guards against one request's fault ending the process, or leaving its client to wait. */
    private void process(Event event) {
        currentRequestId = null;
        try {
            loadBalancer.onEvent(lastEventNanos, event);
        } catch (RuntimeException e) {
            Invariant.NO_FAULT.violatedBy(
                    e, "the decision on " + event.getClass().getSimpleName());
            String faulty = currentRequestId;
            failAfterFault(event instanceof RequestArrived arrived ? arrived.id() : null);
            failAfterFault(event instanceof AttemptEnded ended ? ended.id() : null);
            failAfterFault(faulty);
        }
    }

    /** Fails a request whose decision broke off, and has the module let go of it. */
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

    /** A request that is owed its answer, or whose attempts have not all ended. */
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
        /** It was found without an answer after its time once. */
        private boolean seenOverdue;
        /** A whole answer that did not serve, kept in case that none does. */
        private Response lastResponse;

        OpenRequest(long at, RequestArrived arrived, AttemptLimit limit, FullHttpRequest request, Reply reply) {
            startedAtNanos = at;
            deadlineNanos = at + arrived.expiresInNanos();
            this.limit = limit;
            id = arrived.id();
            requestClass = arrived.requestClass();
            queueingDelayNanos = arrived.queueingDelayNanos();
            this.request = request;
            this.reply = reply;
        }

        /**
         * The host is told a deadline that takes off what may have passed before the request was read, and ends its
         * work by that itself; the attempt is only broken off once the time-out has passed for certain.
         */
        void send(String server, long timeoutNanos) {
            checkSend(server, timeoutNanos);
            attemptsInFlight++;
            FullHttpRequest copy = protocol.forHost(request, server, timeoutNanos - queueingDelayNanos);
            long restedNanos = protocol.maxIdleNanos(requestClass);
            attempts.add(server, hosts.send(server, id, copy, timeoutNanos, restedNanos, this));
        }

        private void checkSend(String server, long timeoutNanos) {
            Invariant.ONE_ANSWER.check(!reply.isDone(), () -> id + " is sent to " + server + " after its end");
            Invariant.RUNS_ONCE.check(
                    !limit.atMostOnce() || attempts.allProvenNotExecuted(),
                    () -> id + " is sent to " + server + " behind " + attemptSummaries());
            Invariant.TRIES_KEPT.check(
                    attempts.size() < limit.maxAttempts(),
                    () -> id + " of " + limit.maxAttempts() + " tries is sent to " + server + " behind "
                            + attemptSummaries());
            Invariant.NOT_TO_DRAINED.check(callbacks.isReady(server), () -> id + " is sent to " + server);
            Invariant.DEADLINE_KEPT.check(
                    timeoutNanos <= deadlineNanos - lastEventNanos,
                    () -> id + " is sent with " + timeoutNanos + " ns of " + (deadlineNanos - lastEventNanos));
        }

        /** Guards against a promise to a client that what may not run twice has not run, where it may have. */
        void checkRefusal() {
            Invariant.PROMISE_KEPT.check(
                    !limit.atMostOnce() || attempts.allProvenNotExecuted(),
                    () -> id + " is refused behind " + attemptSummaries());
        }

        @Override
        public void ended(HostPool.Attempt attempt, Outcome outcome, long at, LoadReport load, Response answer) {
            int number = attempts.indexOf(attempt);
            attemptsInFlight--;
            counters.attemptEnded(outcome, attempt.elapsedNanos(at));
            if (outcome == Outcome.SERVED) {
                Invariant.OWN_ANSWER.check(
                        protocol.provesSuccess(id, answer), () -> id + " is answered by " + answer.head());
                holdReservationUntilWritten(answer);
                protocol.relay(reply, answer);
            } else if (outcome == Outcome.ERROR) {
                retainLastResponse(answer);
            }
            removeIfFinished();
            dispatch(
                    at,
                    new AttemptEnded(
                            id,
                            number,
                            attempts.host(number),
                            outcome,
                            attempt.elapsedNanos(at),
                            reply.isDone(),
                            load,
                            clock.queueingDelayNanos()));
        }

        private void retainLastResponse(Response answer) {
            if (lastResponse != null) {
                lastResponse.body().release();
                lastResponse.reserved().release();
            }
            if (answer != null) {
                answer.body().retain();
                answer.reserved().retain();
            }
            lastResponse = answer;
        }

        /** The room of an answer's body is its own until the client has it, or can't have it any more. */
        private void holdReservationUntilWritten(Response answer) {
            reply.onWritten(answer.reserved().retain()::release);
        }

        /** Tells the owner of its end without success. */
        void reportEnd(Ending ending, Reason reason) {
            long held = clock.nanos() - startedAtNanos + queueingDelayNanos;
            callbacks.requestEnded(new UnservedRequest(id, requestClass, ending, reason, held, attemptSummaries()));
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
