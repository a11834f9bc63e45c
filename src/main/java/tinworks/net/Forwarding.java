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
    static final long FORGOTTEN_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final HostPool hosts;
    private final ForwardingProtocol style;
    private final Callbacks owner;
    private final LoadBalancer choice;
    private final Map<String, OpenRequest> open = new HashMap<>();
    private final ArrayDeque<Stamped> events = new ArrayDeque<>();
    private final ForwardingCounters tally = new ForwardingCounters();
    private long last = Long.MIN_VALUE;
    private boolean deciding;
    /** The request that the module last acted on in the decision under way, or null. */
    private String acting;

    private boolean closed;

    private record Stamped(long at, Event event) {}

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
        this.style = style;
        this.owner = owner;
        choice = new LoadBalancer(settings, seed, this);
    }

    /** Takes on a request, which from here on gets one answer; the limit is only checked, not decided by. */
    public void begin(long at, RequestArrived arrived, AttemptLimit limit, FullHttpRequest request, Reply reply)
            throws BadRequest {
        if (open.containsKey(arrived.id())) {
            throw new BadRequest(HttpResponseStatus.CONFLICT, "a request with this id is open");
        }
        OpenRequest r = new OpenRequest(at, arrived, limit, request, reply);
        reply.retainRequest(request);
        open.put(r.id, r);
        tally.began();
        reply.onClientDisconnect(r::clientLeft);
        dispatch(at, arrived);
    }

    /** What became of requests so far; it goes on counting. */
    public ForwardingCounters counters() {
        return tally;
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
        long before = clock.nanos() - FORGOTTEN_NANOS;
        for (OpenRequest r : List.copyOf(open.values())) {
            if (r.reply.isDone() || r.expiresAt > before) {
                continue;
            }
            if (!r.overdue) {
                r.overdue = true;
                continue;
            }
            Invariant.ANSWERED_IN_TIME.recordViolation(r.id + " of " + r.requestClass + " has no answer");
            fail(r.id, Reason.FAULT);
            dispatch(new ClientDisconnected(r.id));
        }
    }

    /** How many requests are open. */
    public int open() {
        return open.size();
    }

    /** Tells the module of something now. */
    public void dispatch(Event event) {
        dispatch(clock.nanos(), event);
    }

    /** The one way into the module. Its times never go back, even where events are stamped earlier. */
    private void dispatch(long at, Event event) {
        events.add(new Stamped(at, event));
        if (deciding) {
            return;
        }
        deciding = true;
        try {
            for (Stamped next = events.poll(); next != null; next = events.poll()) {
                last = Math.max(last, next.at);
                decide(next.event);
            }
        } finally {
            deciding = false;
        }
    }

    /** Guards against one request's fault ending the process, or leaving its client to wait. */
    private void decide(Event event) {
        acting = null;
        try {
            choice.onEvent(last, event);
        } catch (RuntimeException e) {
            Invariant.NO_FAULT.recordException(
                    e, "the decision on " + event.getClass().getSimpleName());
            String faulty = acting;
            failFaulty(event instanceof RequestArrived arrived ? arrived.id() : null);
            failFaulty(event instanceof AttemptEnded ended ? ended.id() : null);
            failFaulty(faulty);
        }
    }

    /** Fails a request whose decision broke off, and has the module let go of it. */
    private void failFaulty(String id) {
        OpenRequest r = open.get(id);
        if (r != null && !r.reply.isDone()) {
            fail(id, Reason.FAULT);
            dispatch(new ClientDisconnected(id));
        }
    }

    @Override
    public void send(String request, String server, long timeoutNanos) {
        acting = request;
        open.get(request).send(server, timeoutNanos);
    }

    @Override
    public void refuse(String request, long pauseNanos) {
        refuse(request, pauseNanos, Reason.NO_ROOM_IN_TIME);
    }

    @Override
    public void refuse(String request, long pauseNanos, Reason reason) {
        acting = request;
        OpenRequest r = open.get(request);
        if (r != null) {
            tally.refused(reason);
            r.checkPromise();
            r.ends(Ending.REFUSED, reason);
            style.refuse(r.reply, pauseNanos);
            r.forgetIfOver();
        }
    }

    @Override
    public void fail(String request) {
        fail(request, Reason.MAY_HAVE_RUN);
    }

    @Override
    public void fail(String request, Reason reason) {
        acting = request;
        OpenRequest r = open.get(request);
        if (r != null) {
            tally.failed(reason);
            r.ends(Ending.FAILED, reason);
            if (r.lastAnswer != null) {
                r.holdUntilWritten(r.lastAnswer);
            }
            style.fail(r.reply, r.lastAnswer);
            r.forgetIfOver();
        }
    }

    @Override
    public void cancel(String request, int attempt) {
        acting = request;
        OpenRequest r = open.get(request);
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
        owner.subscribe();
    }

    @Override
    public void sendToPeers(byte[] body) {
        owner.broadcast(body);
    }

    @Override
    public void log(String line) {
        owner.log(line);
    }

    /** A request that is owed its answer, or whose attempts have not all ended. */
    private final class OpenRequest implements HostPool.AttemptListener {
        private final String id;
        private final String requestClass;
        private final long beganAt;
        private final long expiresAt;
        private final AttemptLimit limit;
        private final long heldUpNanos;
        private final FullHttpRequest request;
        private final Reply reply;
        private final AttemptList attempts = new AttemptList();
        private int outstanding;
        /** It was found without an answer after its time once. */
        private boolean overdue;
        /** A whole answer that did not serve, kept in case that none does. */
        private Response lastAnswer;

        OpenRequest(long at, RequestArrived arrived, AttemptLimit limit, FullHttpRequest request, Reply reply) {
            beganAt = at;
            expiresAt = at + arrived.expiresInNanos();
            this.limit = limit;
            id = arrived.id();
            requestClass = arrived.requestClass();
            heldUpNanos = arrived.queueingDelayNanos();
            this.request = request;
            this.reply = reply;
        }

        /**
         * The host is told a deadline that takes off what may have passed before the request was read, and ends its
         * work by that itself; the attempt is only broken off once the time-out has passed for certain.
         */
        void send(String server, long timeoutNanos) {
            checkSend(server, timeoutNanos);
            outstanding++;
            FullHttpRequest copy = style.forHost(request, server, timeoutNanos - heldUpNanos);
            long restedNanos = style.maxIdleNanos(requestClass);
            attempts.add(server, hosts.send(server, id, copy, timeoutNanos, restedNanos, this));
        }

        private void checkSend(String server, long timeoutNanos) {
            Invariant.ONE_ANSWER.check(!reply.isDone(), () -> id + " is sent to " + server + " after its end");
            Invariant.RUNS_ONCE.check(
                    !limit.atMostOnce() || attempts.proveItNeverRan(),
                    () -> id + " is sent to " + server + " behind " + attemptsSoFar());
            Invariant.TRIES_KEPT.check(
                    attempts.size() < limit.maxAttempts(),
                    () -> id + " of " + limit.maxAttempts() + " tries is sent to " + server + " behind "
                            + attemptsSoFar());
            Invariant.NOT_TO_DRAINED.check(owner.isReady(server), () -> id + " is sent to " + server);
            Invariant.DEADLINE_KEPT.check(
                    timeoutNanos <= expiresAt - last,
                    () -> id + " is sent with " + timeoutNanos + " ns of " + (expiresAt - last));
        }

        /** Guards against a promise to a client that what may not run twice has not run, where it may have. */
        void checkPromise() {
            Invariant.PROMISE_KEPT.check(
                    !limit.atMostOnce() || attempts.proveItNeverRan(),
                    () -> id + " is refused behind " + attemptsSoFar());
        }

        @Override
        public void ended(HostPool.Attempt attempt, Outcome outcome, long at, LoadReport load, Response answer) {
            int number = attempts.numberOf(attempt);
            outstanding--;
            tally.attempted(outcome, attempt.elapsed(at));
            if (outcome == Outcome.SERVED) {
                Invariant.OWN_ANSWER.check(
                        style.provesSuccess(id, answer), () -> id + " is answered by " + answer.head());
                holdUntilWritten(answer);
                style.relay(reply, answer);
            } else if (outcome == Outcome.ERROR) {
                keep(answer);
            }
            forgetIfOver();
            dispatch(
                    at,
                    new AttemptEnded(
                            id,
                            number,
                            attempts.host(number),
                            outcome,
                            attempt.elapsed(at),
                            reply.isDone(),
                            load,
                            clock.queueingDelayNanos()));
        }

        private void keep(Response answer) {
            if (lastAnswer != null) {
                lastAnswer.body().release();
                lastAnswer.reserved().release();
            }
            if (answer != null) {
                answer.body().retain();
                answer.reserved().retain();
            }
            lastAnswer = answer;
        }

        /** The room of an answer's body is its own until the client has it, or can't have it any more. */
        private void holdUntilWritten(Response answer) {
            reply.onWritten(answer.reserved().retain()::release);
        }

        /** Tells the owner of its end without success. */
        void ends(Ending ending, Reason reason) {
            long held = clock.nanos() - beganAt + heldUpNanos;
            owner.requestEnded(new UnservedRequest(id, requestClass, ending, reason, held, attemptsSoFar()));
        }

        private List<AttemptSummary> attemptsSoFar() {
            return attempts.summaries(clock.nanos());
        }

        void clientLeft() {
            tally.clientLeft();
            ends(Ending.CLIENT_LEFT, null);
            forgetIfOver();
            dispatch(new ClientDisconnected(id));
        }

        private void forgetIfOver() {
            if (reply.isDone() && outstanding == 0 && open.remove(id, this)) {
                reply.releaseRequest();
                keep(null);
            }
        }
    }
}
