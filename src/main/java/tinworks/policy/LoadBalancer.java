package tinworks.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import tinworks.policy.LoadBalancerApi.Actions;
import tinworks.policy.LoadBalancerApi.AttemptEnded;
import tinworks.policy.LoadBalancerApi.ClientDisconnected;
import tinworks.policy.LoadBalancerApi.DedupScope;
import tinworks.policy.LoadBalancerApi.Event;
import tinworks.policy.LoadBalancerApi.Idempotency;
import tinworks.policy.LoadBalancerApi.Outcome;
import tinworks.policy.LoadBalancerApi.PeerMessageReceived;
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
import tinworks.policy.LoadBalancerApi.StreamStarted;
import tinworks.policy.LoadBalancerApi.Tenant;
import tinworks.policy.LoadBalancerApi.TimerFired;
import tinworks.policy.LoadBalancerState.Attempt;
import tinworks.policy.LoadBalancerState.ClassHealth;
import tinworks.policy.LoadBalancerState.ClassState;
import tinworks.policy.LoadBalancerState.LatencySum;
import tinworks.policy.LoadBalancerState.PeerReport;
import tinworks.policy.LoadBalancerState.Quota;
import tinworks.policy.LoadBalancerState.Request;
import tinworks.policy.LoadBalancerState.Server;
import tinworks.policy.LoadBalancerState.TokenBucket;

/**
 * Decides for one gateway which server gets each request, and which requests are queued, retried, shed or failed: load
 * balancing, admission control, retries and outlier detection. It does no I/O and reads no clock: events come in
 * through {@link #onEvent}, decisions leave through {@link Actions}. The types of both are in {@link LoadBalancerApi},
 * the data that it keeps in {@link LoadBalancerState}.
 *
 * <p>Load balancing follows Algorithm 1 (section 4.1) of the load shifting paper, run by each gateway over its own
 * attempts: each server has a share, servers are drawn at random in proportion to their shares, and each tick updates
 * the shares by a multiplicative step and normalises them. The weight of a server in a draw is its share times several
 * factors. Each factor is normally 1 and falls only under the condition given at its method. Every send passes
 * {@link #canSend} and the conditions in {@link #drawServer}, every refusal {@link #canRefuse}.
 *
 * <p>Not thread-safe. All randomness comes from one seed.
 */
public class LoadBalancer {
    /**
     * Learning rate of the paper. The tick is a fifth of its interval, so servers of unequal speed are told apart
     * within seconds.
     */
    private static final double LEARNING_RATE = 0.2;
    /** Interval at which shares are updated. */
    private static final long TICK_NANOS = 1_000_000_000L;
    /** Least factor of one update: it halves a share at most. */
    private static final double MIN_SHARE_FACTOR = 0.5;
    /** Least share, as a fraction of an equal share. Later updates can still raise a share that has fallen this low. */
    private static final double MIN_SHARE_OF_EQUAL = 0.05;
    /**
     * Number of samples of the overall mean that are mixed into the mean of a server (shrinkage). Latencies spread
     * about as widely as their mean, so few samples alone say little.
     */
    private static final double PRIOR_SAMPLES = 5;
    /** Fraction of the target that a response should take. The rest is for queueing here, a retry and long requests. */
    private static final double LATENCY_BUDGET_OF_TARGET = 0.2;
    /** Fraction of the target after which a response counts as late: up to here a retry still fits into the rest. */
    private static final double LATE_OF_TARGET = 0.5;
    /**
     * Fraction of the target after which an attempt counts as lost if later ones were answered. A retry may still be in
     * time.
     */
    private static final double LOST_OF_TARGET = 0.6;
    /**
     * Cap on the estimated time that a request needs, as a fraction of the target. It is below 1 so that a new request
     * always has a chance.
     */
    private static final double MAX_WORK_OF_TARGET = 0.9;
    /**
     * Least concurrency limit of a server, over all gateways: one request being processed, one in transit, one waiting.
     */
    private static final double MIN_CONCURRENCY_LIMIT = 3;
    /** Concurrency limit of a new server, over all gateways. */
    private static final double INITIAL_CONCURRENCY_LIMIT = 1;
    /** Number of standard deviations by which a Poisson count rarely exceeds its mean. */
    private static final double POISSON_DEVIATIONS = 2;
    /**
     * Weight of the newest response in the exponentially weighted moving averages of failures, errors and lateness.
     * They cover about the last five responses.
     */
    private static final double EWMA_WEIGHT = 0.2;
    /**
     * Failure rate at which a server becomes suspect. Two failures among the last five responses reach it, which is
     * more than random failures.
     */
    private static final double SUSPECT_FAILURE_RATE = 0.3;
    /** Failure rate at which a server stays ejected even where most servers are suspect. */
    private static final double CERTAIN_FAILURE_RATE = 0.85;
    /** Time constant of the decay of failure rates. It spans several trials. */
    private static final double FAILURE_DECAY_NANOS = 20e9;
    /** Error rate of a class at which a server is ejected for it: more of the last requests failed than were served. */
    private static final double SUSPECT_CLASS_ERROR_RATE = 0.5;
    /**
     * Interval at which a suspect server gets one trial request from all gateways together, which shows its recovery.
     */
    private static final long TRIAL_INTERVAL_NANOS = 1_000_000_000L;
    /**
     * Fraction of the permitted slow-start rate that is used. The rest is left for other gateways and long requests.
     */
    private static final double SLOW_START_SAFETY_FACTOR = 0.5;
    /** Retry tokens that each request adds to the retry budget: one retry per ten requests prevents retry storms. */
    private static final double RETRY_TOKENS_PER_REQUEST = 0.1;
    /** Capacity of the retry budget where the parameters set none. */
    private static final double MAX_RETRY_TOKENS = 10;
    /**
     * Change of the pressure per response: up for a late one, down for one in time. The pressure is steady where half
     * of the responses are late.
     */
    private static final double PRESSURE_STEP = 0.1;
    /** Pressure above which requests are shed. Below it, rising pressure shifts load to other zones. */
    private static final double SHEDDING_PRESSURE = 1;
    /**
     * Least pressure where all servers are in this gateway's zone and no other zone can take load. The margin to
     * SHEDDING_PRESSURE keeps random variation from shedding requests.
     */
    private static final double SINGLE_ZONE_MIN_PRESSURE = 0.9;
    /** Least factor on the share of a server in another zone. */
    private static final double MIN_CROSS_ZONE_FACTOR = 1e-3;
    /** Least fraction of the requests of the highest value density that is admitted. */
    private static final double MIN_ADMITTED_FRACTION = 0.05;
    /** Least fraction of the requests of any class that is admitted. */
    private static final double MIN_CLASS_ADMITTED_FRACTION = 0.01;
    /**
     * Least factor on the share of a server outside this gateway's subset, which is used while the subset has no
     * capacity.
     */
    private static final double MIN_OUTSIDE_SUBSET_FACTOR = 1e-3;
    /** Factor on the weight of a server for each request that other gateways have in flight there. */
    private static final double PEER_IN_FLIGHT_FACTOR = 0.25;
    /** Least interval between two reports to the other gateways. */
    private static final long PEER_REPORT_MIN_INTERVAL_NANOS = 20_000_000L;
    /** Interval after which an unchanged report is sent again. */
    private static final long PEER_REPORT_REFRESH_NANOS = 250_000_000L;
    /** Least time over which the arrivals of an unfinished tick give a rate. */
    private static final long MIN_RATE_WINDOW_NANOS = 50_000_000L;
    /** Interval of sweeps while requests are queued; short against any latency target. */
    private static final long SWEEP_INTERVAL_NANOS = 10_000_000L;
    /**
     * Interval of sweeps while none is queued but some are in flight, as a fraction of the shortest target times the
     * overdue factor.
     */
    private static final double IDLE_SWEEP_OF_TARGET = 0.05;
    /** Pressure lost in a tick without a response: a gateway that sheds everything admits again within two ticks. */
    private static final double PRESSURE_DECAY_PER_TICK = 0.6;
    /**
     * Difference at which two client timeouts count as equal, as a fraction of the deadline: the time a request takes
     * to arrive here varies.
     */
    private static final double TIMEOUT_TOLERANCE_OF_DEADLINE = 0.02;
    /** Cap on the votes for the usual client timeout. */
    private static final int MAX_TIMEOUT_VOTES = 40;
    /** Responses needed for the mean latency of a class, or the pressure after a tick, to count as known. */
    private static final int MIN_SAMPLES = 20;
    /**
     * Decay per tick of the arrival and send counts by which classes are compared: they cover about the last minute.
     */
    private static final double COUNTS_KEPT_PER_TICK = 0.98;
    /** Number of responses that the mean latency of a class covers. */
    private static final double LATENCY_EWMA_SAMPLES = 100;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final long TICK_TIMER = 1;
    private static final long SWEEP_TIMER = 2;
    private static final long RESUBSCRIBE_TIMER = 3;

    private final Settings settings;
    private final PolicyParameters parameters;
    private final Actions actions;
    private final SplittableRandom random;
    private final long sweepNanos;
    private final Map<String, ClassState> classStates = new LinkedHashMap<>();
    /** Classes of which some server returned an error. */
    private final Set<ClassState> classesWithErrors = new LinkedHashSet<>();

    private final Map<String, Quota> quotas = new HashMap<>();
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final List<Server> readyServers = new ArrayList<>();
    private final Map<String, Request> openRequests = new LinkedHashMap<>();
    private final LinkedHashSet<Request> queued = new LinkedHashSet<>();
    private final Map<Integer, Server> serversByCode = new HashMap<>();
    private final Map<Integer, PeerReport> peerReports = new LinkedHashMap<>();
    private byte[] lastReport = {};
    private long lastReportAt;
    private double totalLimit = 1;
    private double fleetLateness;
    private double peakServerRate;
    private double retryTokens;
    private double pressure;
    private double minPressure;
    private double maxValueDensity;
    private double recentArrivals;
    private double recentSends;
    private int gatewayCount;
    private int inFlight;
    private int suspectCount;
    private int tickArrivals;
    private int tickResponses;
    private int tickRefusals;
    private int failedSubscriptions;
    private long now;
    private long processedUpTo;
    private long tickStart;
    private long idleSweepNanos;
    private long nextSweepAt = Long.MAX_VALUE;
    private long shutdownAt = Long.MAX_VALUE;
    private List<RequestClass> currentClasses = List.of();
    private boolean started;

    /** Starts without any server: the list comes as an event. */
    public LoadBalancer(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        parameters = settings.parameters();
        gatewayCount = settings.gatewayCount();
        retryTokens = maxRetryTokens();
        random = new SplittableRandom(seed);
        sweepNanos = Math.max(settings.timerResolutionNanos(), SWEEP_INTERVAL_NANOS);
        applyClasses(settings.classes());
        for (Tenant t : settings.tenants()) {
            double perSecond = t.quotaPerSecond() / gatewayCount;
            quotas.put(t.name(), new Quota(perSecond, new TokenBucket(perSecond, 0)));
        }
    }

    /** Processes one event. Times must not decrease. */
    public void onEvent(long nowNanos, Event event) {
        if (started && nowNanos < now) {
            throw new IllegalArgumentException("nowNanos: " + nowNanos + " is before the previous event at " + now);
        }
        now = nowNanos;
        if (!started) {
            started = true;
            tickStart = now;
            // A random phase keeps the gateways from all lowering the share of the same slow server at once.
            actions.setTimer((long) (TICK_NANOS * (1 - random.nextDouble())), TICK_TIMER);
            if (settings.subscribe()) {
                actions.subscribe();
            }
        }
        if (event instanceof RequestArrived e) {
            onRequestArrived(e);
        } else if (event instanceof AttemptEnded e) {
            onAttemptEnded(e);
        } else if (event instanceof TimerFired e) {
            processedUpTo = now - e.queueingDelayNanos();
            onTimer(e.token());
        } else if (event instanceof ServerListReceived e) {
            onServerList(e);
        } else if (event instanceof ClientDisconnected e && openRequests.containsKey(e.id())) {
            conclude(openRequests.get(e.id()));
        } else if (event instanceof StreamStarted e && openRequests.containsKey(e.id())) {
            openRequests.get(e.id()).streaming = true;
        } else if (event instanceof PeerMessageReceived e) {
            onPeerMessage(e);
        } else if (event instanceof Reconfigured e) {
            onReconfigured(e);
        } else if (event instanceof ShutdownStarted e) {
            shutdownAt = now + e.answerWithinNanos();
        }
    }

    private void applyClasses(List<RequestClass> classes) {
        if (classes == currentClasses) {
            return;
        }
        currentClasses = classes;
        Map<String, ClassState> known = new HashMap<>(classStates);
        classStates.clear();
        for (RequestClass c : classes) {
            ClassState classState =
                    known.getOrDefault(c.name(), new ClassState(c, c.targetNanos() * LATENCY_BUDGET_OF_TARGET));
            classState.spec = c;
            classStates.put(c.name(), classState);
        }
        classesWithErrors.retainAll(classStates.values());
        updateMaxValueDensity();
        double target = classStates.values().stream()
                .mapToLong(k -> k.spec.targetNanos())
                .min()
                .orElse(0);
        idleSweepNanos = settings.permissions().peerMessages()
                ? sweepNanos
                : Math.max(sweepNanos, (long) (target * IDLE_SWEEP_OF_TARGET * parameters.overdueFactor()));
    }

    /** Sets the highest value density of all classes. Between ticks {@link #updateMeanLatency} only raises it. */
    private void updateMaxValueDensity() {
        maxValueDensity = 0;
        for (ClassState k : classStates.values()) {
            maxValueDensity = Math.max(maxValueDensity, k.spec.value() / k.meanLatency);
        }
    }

    /** Takes over a new configuration version. Shares, samples and limits stay as they are. */
    private void onReconfigured(Reconfigured e) {
        applyClasses(e.classes());
        for (Request r : openRequests.values()) {
            ClassState classState = classStates.get(r.classState.spec.name());
            if (classState != null) {
                restrict(r, classState.spec);
            }
        }
        gatewayCount = e.gatewayCount();
        computeSubset();
        dispatchQueued();
        scheduleSweep();
    }

    /**
     * Keeps the strictest limits of all configuration versions since the request arrived. A later, looser version must
     * not allow an additional server, a second execution of a request that must run once, or a refusal of a request
     * that may have run.
     */
    void restrict(Request r, RequestClass version) {
        r.maxAttempts = Math.min(r.maxAttempts, version.maxAttempts());
        if (version.idempotency().compareTo(r.strictest.idempotency()) > 0) {
            r.strictest = version;
        }
    }

    private void onTimer(long token) {
        if (token == TICK_TIMER) {
            // Set before the update, so that a fault in it does not stop all later ones.
            actions.setTimer(TICK_NANOS, TICK_TIMER);
            updateShares();
        } else if (token == SWEEP_TIMER) {
            nextSweepAt = now >= nextSweepAt ? Long.MAX_VALUE : nextSweepAt;
            try {
                sweep();
            } finally {
                scheduleSweep();
            }
        } else if (token == RESUBSCRIBE_TIMER) {
            actions.subscribe();
        }
    }

    private void onRequestArrived(RequestArrived e) {
        ClassState classState = classStates.get(e.requestClass());
        if (classState == null) {
            throw new IllegalArgumentException("requestClass: unknown class " + e.requestClass());
        }
        // Nothing could answer the request after this gateway has shut down.
        long deadline = Math.min(now + e.expiresInNanos(), shutdownAt);
        Request r =
                new Request(e.id(), classState, exceedsQuota(e.tenant()), firstAttemptTime(e, classState), deadline);
        // The time that the request waited here before it was read counts towards its timeout.
        r.queueDeadline = Math.min(now + e.expiresInNanos() - e.queueingDelayNanos(), shutdownAt);
        openRequests.put(r.id, r);
        tickArrivals++;
        classState.recentArrivals++;
        recentArrivals++;
        retryTokens = Math.min(maxRetryTokens(), retryTokens + RETRY_TOKENS_PER_REQUEST);
        r.valueDensity = valueDensity(r);
        if (shouldShed(r)) {
            finish(r, Reason.SHED);
        } else {
            enqueue(r);
        }
        scheduleSweep();
    }

    /**
     * Load shedding: under overload requests are refused on arrival, those of the lowest value density first. Serving
     * all of them would serve none in time.
     */
    private boolean shouldShed(Request r) {
        if (isStarved(r.classState)) {
            return false;
        }
        double rank = maxValueDensity / Math.max(r.valueDensity, Double.MIN_NORMAL);
        double admitted = 1 + SHEDDING_PRESSURE - pressure;
        // A class of which nothing is admitted yields no responses that would show free capacity.
        double minAdmitted = hasSparseSamples() ? minAdmittedFraction() : MIN_CLASS_ADMITTED_FRACTION;
        return admitted < 1 && random.nextDouble() >= Math.max(minAdmitted, Math.pow(admitted, Math.max(1, rank)));
    }

    /**
     * Whether the ratio of sent to arrived requests of the class is below its minimum, which is relative to the ratio
     * of all classes. Without the minimum, a burst of a class of higher value density takes all capacity and starves
     * the others.
     */
    private boolean isStarved(ClassState classState) {
        return parameters.minClassFraction() > 0
                && classState.recentSends + 1
                        < parameters.minClassFraction() * classState.recentArrivals * recentSends / recentArrivals;
    }

    /**
     * Value of the response per unit of work (mean latency). It is lower for requests over the tenant's quota and for
     * those that can only be answered late.
     */
    private double valueDensity(Request r) {
        RequestClass c = r.classState.spec;
        double factor = willMissTarget(r) ? c.lateValue() : r.overQuota ? settings.overQuotaValue() : 1;
        return factor * c.value() / r.classState.meanLatency;
    }

    /**
     * Raises or lowers the pressure by one response. If half of the responses take more than half their target, the
     * servers in use have more work than they can do in time.
     */
    private void updatePressure(ClassState classState, Outcome outcome, long elapsedNanos) {
        boolean late = outcome != Outcome.SERVED || elapsedNanos > classState.spec.targetNanos() * LATE_OF_TARGET;
        pressure = Math.max(
                minPressure,
                Math.min(
                        1 + SHEDDING_PRESSURE - minAdmittedFraction(),
                        pressure + (late ? PRESSURE_STEP : -PRESSURE_STEP)));
    }

    /**
     * Least fraction of the requests of the highest value density that is admitted. A gateway with little traffic
     * admits more, since few responses would take long to show that shedding is no longer needed.
     */
    private double minAdmittedFraction() {
        double perSecond = serverRate() * readyServers.size();
        return hasSparseSamples()
                ? Math.max(MIN_ADMITTED_FRACTION, Math.min(1, MIN_SAMPLES / Math.max(1, perSecond)))
                : MIN_ADMITTED_FRACTION;
    }

    /**
     * Estimates when the client first sent the request. First attempts of a client share one usual timeout, while a
     * retry carries only the rest of the deadline, so a shorter timeout marks a retry. Without this estimate, capacity
     * goes to retries whose latency target passed during their first attempt.
     */
    private long firstAttemptTime(RequestArrived e, ClassState classState) {
        long deadline = classState.spec.deadlineNanos();
        // A majority vote (Boyer-Moore) finds the timeout that more than a third share, in one pass and without
        // storing them.
        if (Math.abs(e.expiresInNanos() - classState.usualTimeoutNanos) <= deadline * TIMEOUT_TOLERANCE_OF_DEADLINE) {
            classState.timeoutVotes = Math.min(MAX_TIMEOUT_VOTES, classState.timeoutVotes + 2);
            return now;
        } else if (--classState.timeoutVotes < 0) {
            classState.usualTimeoutNanos = e.expiresInNanos();
            classState.timeoutVotes = 0;
        }
        return classState.timeoutVotes > MAX_TIMEOUT_VOTES / 2 ? now + e.expiresInNanos() - deadline : now;
    }

    private boolean exceedsQuota(String tenant) {
        Quota q = quotas.get(tenant);
        return q != null && !q.bucket().take(now, q.perSecond() / NANOS_PER_SECOND, q.perSecond());
    }

    /**
     * Queues the request and sends it if a server has capacity. If it expires before the next sweep, which would come
     * too late for it, it is finished at once.
     */
    private void enqueue(Request r) {
        queued.add(r);
        dispatchQueued();
        if (r.outstanding == 0 && !r.concluded && expiresBeforeNextSweep(r)) {
            finish(r, Reason.NO_ROOM_IN_TIME);
        }
    }

    /**
     * Whether the queued request expires, or this gateway shuts down, before the next sweep. Nothing could answer it
     * after the shutdown.
     */
    private boolean expiresBeforeNextSweep(Request r) {
        return now + 2 * sweepNanos >= Math.min(r.queueDeadline, shutdownAt);
    }

    /**
     * Whether the request would miss its latency target even if it were sent now. The time that it needs is capped:
     * otherwise a period in which the mean latency of a class exceeded its target would have all its requests refused,
     * and no response would show that the period is over.
     */
    private boolean willMissTarget(Request r) {
        double target = r.classState.spec.targetNanos();
        double needs =
                Math.min(target * MAX_WORK_OF_TARGET, Math.max(r.classState.meanLatency, target * LATE_OF_TARGET));
        return now + needs > r.firstSentAt + target;
    }

    /**
     * Sends queued requests while a server has capacity: those of starved classes first, then by value density. Among
     * equals the newest goes first, since under overload the oldest are about to miss their targets.
     */
    private void dispatchQueued() {
        boolean sends = true;
        while (sends && !queued.isEmpty()) {
            Request starved = nextQueued(true);
            sends = (starved != null && trySend(starved)) || trySend(nextQueued(false));
        }
    }

    /** Next queued request to send, optionally only of starved classes; null if there is none. */
    private Request nextQueued(boolean starvedOnly) {
        Request best = null;
        for (Request r : queued) {
            if ((best == null || r.valueDensity >= best.valueDensity) && (!starvedOnly || isStarved(r.classState))) {
                best = r;
            }
        }
        return best;
    }

    private boolean trySend(Request r) {
        Server s = drawServer(r);
        if (s != null) {
            queued.remove(r);
            send(r, s);
        }
        return s != null;
    }

    /** Draws a server at random in proportion to its share and factors; null if none may take the request now. */
    private Server drawServer(Request r) {
        Server drawn = null;
        double sum = 0;
        double limits = 0;
        boolean sparse = hasSparseSamples();
        boolean sendable = canSend(r);
        for (Server s : readyServers) {
            double slowStart = slowStartFactor(s);
            limits += s.limit * slowStart;
            double capacity = sendable ? capacityFactor(s, slowStart) : 0;
            if (capacity > 0 && s.ready && slowStartTokens(s) >= 1 && idempotencyAllows(r, s) && !r.wasSentTo(s)) {
                double factors = capacity
                        * slowStart
                        * healthFactor(s)
                        * classHealthFactor(r.classState, s)
                        * zoneFactor(s)
                        * (sparse ? subsetFactor(s) * peerLoadFactor(s) : 1);
                double weight = s.share * factors;
                sum += weight;
                drawn = weight > 0 && random.nextDouble() * sum < weight ? s : drawn;
            }
        }
        totalLimit = limits;
        // One gateway sees a part of the traffic, which varies more than the whole does. The allowance keeps random
        // bursts from being queued.
        double burstAllowance = POISSON_DEVIATIONS * Math.sqrt(limits) * (1 - 1.0 / gatewayCount);
        return inFlight > 0 && inFlight >= limits + burstAllowance ? null : drawn;
    }

    /**
     * Stays near 0 for servers of other zones while most responses take less than half their target: cross-zone traffic
     * is for overload only.
     */
    private double zoneFactor(Server s) {
        return isInSameZone(s) ? 1 : Math.max(MIN_CROSS_ZONE_FACTOR, Math.min(1, pressure));
    }

    /**
     * Subsetting: falls for servers outside this gateway's subset. On a large fleet each of many gateways meets a
     * server too rarely to measure it, and does not know what the others have in flight there. Each gateway therefore
     * keeps to a subset of the fleet's capacity, and goes outside it while the subset has no capacity left.
     */
    private double subsetFactor(Server s) {
        return Math.max(MIN_OUTSIDE_SUBSET_FACTOR, s.subsetFraction);
    }

    /**
     * Falls with the requests that other gateways reported in flight at the server, where this one would have to wait.
     */
    private double peerLoadFactor(Server s) {
        return s.peerInFlight == 0
                ? 1
                : s.peerInFlight >= MIN_CONCURRENCY_LIMIT ? 0 : Math.pow(PEER_IN_FLIGHT_FACTOR, s.peerInFlight);
    }

    /** Sends the other gateways this gateway's in-flight counts when they have changed, and periodically otherwise. */
    private void reportToPeers() {
        if (!settings.permissions().peerMessages()
                || !hasSparseSamples()
                || now < lastReportAt + PEER_REPORT_MIN_INTERVAL_NANOS) {
            return;
        }
        byte[] counts = InFlightReport.write(readyServers);
        if (now >= lastReportAt + PEER_REPORT_REFRESH_NANOS || !Arrays.equals(counts, lastReport)) {
            lastReport = counts;
            lastReportAt = now;
            actions.sendToPeers(counts);
        }
    }

    private void onPeerMessage(PeerMessageReceived e) {
        subtractReport(peerReports.remove(e.gateway()));
        PeerReport report = new PeerReport(now, InFlightReport.read(e.body(), serversByCode));
        report.counts().forEach((s, n) -> s.peerInFlight += n);
        peerReports.put(e.gateway(), report);
    }

    private static void subtractReport(PeerReport report) {
        if (report != null) {
            report.counts().forEach((s, n) -> s.peerInFlight -= n);
        }
    }

    /** Drops the reports of gateways that have stopped sending them. */
    private void expirePeerReports() {
        peerReports.values().removeIf(report -> {
            boolean expired = now - report.receivedAt() > 2 * PEER_REPORT_REFRESH_NANOS;
            if (expired) {
                subtractReport(report);
            }
            return expired;
        });
    }

    /**
     * Fraction of what all gateways together may send to the server that this one may send: an equal part or, where
     * samples are sparse, half of it by subset. The other half keeps a server in use whose gateway has failed.
     */
    private double gatewayFraction(Server s) {
        double equal = 1.0 / gatewayCount;
        return hasSparseSamples() ? (s.subsetFraction + equal) / 2 : equal;
    }

    /**
     * Whether a tick brings too few samples of a server for a mean of its own. Before the first tick has ended, the
     * rate of arrivals so far decides.
     */
    private boolean hasSparseSamples() {
        if (settings.gatewayIndex() < 0) {
            return false;
        }
        double seconds = Math.max(MIN_RATE_WINDOW_NANOS, now - tickStart) / NANOS_PER_SECOND;
        double rate = peakServerRate > 0 ? peakServerRate : tickArrivals / (seconds * Math.max(1, readyServers.size()));
        return rate * TICK_NANOS < PRIOR_SAMPLES * NANOS_PER_SECOND;
    }

    /**
     * Divides the ready servers, in a pseudo-random order that is the same at all gateways, into contiguous subsets of
     * equal capacity, one for each gateway. A server on a border belongs in part to both.
     */
    private void computeSubset() {
        if (settings.gatewayIndex() < 0) {
            return;
        }
        List<Server> order = new ArrayList<>(readyServers);
        order.sort(
                Comparator.<Server>comparingLong(s -> shuffleKey(s.info.id())).thenComparing(s -> s.info.id()));
        double capacity = order.stream().mapToDouble(s -> s.info.capacityHint()).sum();
        double from = capacity * settings.gatewayIndex() / gatewayCount;
        double to = from + capacity / gatewayCount;
        double at = 0;
        for (Server s : order) {
            double next = at + s.info.capacityHint();
            s.subsetFraction =
                    Math.max(0, Math.min(to, next) - Math.max(from, at)) / Math.max(Double.MIN_NORMAL, next - at);
            at = next;
        }
    }

    /** A pseudo-random number that depends on the id alone. */
    private static long shuffleKey(String id) {
        return new SplittableRandom(id.hashCode()).nextLong();
    }

    private boolean isInSameZone(Server s) {
        return s.info.zone().equals(settings.zone());
    }

    /** Falls to 0 as the attempts in flight reach the concurrency limit that {@link #adjustLimit} sets. */
    private double capacityFactor(Server s, double slowStart) {
        return Math.min(
                1, s.inFlight == 0 ? s.limit * readyServers.size() / totalLimit : s.limit * slowStart - s.inFlight);
    }

    /**
     * Slow start: rises from the initial fraction to 1, at the slowest rate at which the capacity of a new server
     * rises. Full traffic at once would overload it.
     */
    private double slowStartFactor(Server s) {
        long age = now - s.info.startedAtNanos();
        if (s.info.startedAtNanos() == 0 || age >= parameters.slowStartNanos()) {
            return 1;
        }
        return parameters.slowStartInitialFraction()
                + (1 - parameters.slowStartInitialFraction()) * Math.max(0, age) / parameters.slowStartNanos();
    }

    /**
     * Outlier ejection: 0 for a suspect server, apart from one trial request per trial interval from all gateways, even
     * if no other server has capacity. Suspect servers are unresponsive or return errors. Errors often come fast, and
     * as fast responses they would raise the share. Where most servers are suspect, only those that fail nearly always
     * stay ejected (a lost zone). Where all are suspect, none is ejected.
     */
    private double healthFactor(Server s) {
        boolean serves = 2 * suspectCount > readyServers.size()
                && (suspectCount == readyServers.size() || failureRate(s) < CERTAIN_FAILURE_RATE);
        return now >= s.nextTrialAt || serves || !isSuspect(s) ? 1 : 0;
    }

    /**
     * Outlier ejection for one class: 0 for a server that fails it but serves others, so that its overall failure rate
     * does not show the fault. Causes are a broken component, a release that cannot handle the class, or a failed store
     * behind it. Only ERROR outcomes count, which the server itself returns; slowness and overload have other causes.
     * Risk: the few servers that still serve the class may not have the capacity for all of it. Where none serves it,
     * all are tried.
     */
    private double classHealthFactor(ClassState classState, Server s) {
        ClassHealth h = s.classHealth.get(classState);
        return h == null || now >= h.nextTrialAt || classState.failsOnAllServers || !failsClassOnly(s, classState)
                ? 1
                : 0;
    }

    private double errorRate(ClassHealth h) {
        return h.errorRate == 0 ? 0 : h.errorRate * Math.exp((h.errorRateAt - now) / FAILURE_DECAY_NANOS);
    }

    /** Whether the server fails this class but not all others; {@link #healthFactor} covers a server that fails all. */
    private boolean failsClassOnly(Server s, ClassState classState) {
        ClassHealth h = s.classHealth.get(classState);
        return h != null
                && errorRate(h) >= SUSPECT_CLASS_ERROR_RATE
                && s.classHealth.values().stream().anyMatch(o -> errorRate(o) < SUSPECT_FAILURE_RATE);
    }

    private boolean isSuspect(Server s) {
        return s.unresponsive || failureRate(s) >= SUSPECT_FAILURE_RATE;
    }

    /** The check that every send passes, first attempts and retries alike. */
    private boolean canSend(Request r) {
        return !r.concluded
                && !r.streaming
                && now < r.queueDeadline
                && r.attempts.size() < maxAttempts(r)
                && r.outstanding == 0;
    }

    private int maxAttempts(Request r) {
        return Math.min(Math.min(settings.permissions().maxAttempts(), r.maxAttempts), Long.SIZE - 1);
    }

    private boolean idempotencyAllows(Request r, Server s) {
        RequestClass c = r.strictest;
        Attempt first = r.firstPossiblyExecuted();
        if (c.idempotency() == Idempotency.SAFE || first == null) {
            return true;
        }
        boolean deduplicated = c.idempotency() == Idempotency.KEYED && now - first.sentAt() < c.dedupWindowNanos();
        return deduplicated
                && switch (c.dedupScope()) {
                    case ALL -> true;
                    case ZONE -> s.info.zone().equals(first.server().info.zone());
                    case CELL -> s.info.cell() == first.server().info.cell();
                };
    }

    /** The check that every refusal passes: a refusal states that a retry by the client is harmless. */
    private static boolean canRefuse(Request r) {
        RequestClass c = r.strictest;
        return c.idempotency() == Idempotency.SAFE
                || r.firstPossiblyExecuted() == null
                || (c.idempotency() == Idempotency.KEYED && c.dedupScope() == DedupScope.ALL);
    }

    /**
     * Requests that may go to a server in slow start now, derived from the rate that a warmed-up server has handled.
     */
    private double slowStartTokens(Server s) {
        double factor = slowStartFactor(s);
        if (factor >= 1) {
            return 1;
        }
        double fleetRate = serverRate() * gatewayCount;
        double perNano = SLOW_START_SAFETY_FACTOR
                * parameters.overloadFactor()
                * factor
                * fleetRate
                * gatewayFraction(s)
                / NANOS_PER_SECOND;
        return s.slowStartBucket.refill(now, perNano, Math.max(1, perNano * parameters.overloadWindowNanos() / 2));
    }

    private double serverRate() {
        double seconds = Math.max(1, (now - tickStart) / NANOS_PER_SECOND);
        return Math.max(peakServerRate, tickArrivals / (seconds * Math.max(1, readyServers.size())));
    }

    private void send(Request r, Server s) {
        Attempt a = new Attempt(r, s, r.attempts.size(), now);
        r.attempts.add(a);
        if (a.number() == 0) {
            r.classState.recentSends++;
            recentSends++;
        }
        r.outstanding++;
        s.openAttempts.add(a);
        s.inFlight++;
        inFlight++;
        s.slowStartBucket.tokens--;
        s.nextTrialAt = now + (long) Math.min(FAILURE_DECAY_NANOS, TRIAL_INTERVAL_NANOS / gatewayFraction(s));
        if (s.classHealth.containsKey(r.classState)) {
            s.classHealth.get(r.classState).nextTrialAt = s.nextTrialAt;
        }
        actions.send(r.id, s.info.id(), r.deadline - now);
    }

    private void onAttemptEnded(AttemptEnded e) {
        Request r = openRequests.get(e.id());
        Attempt a = r == null || e.attempt() >= r.attempts.size() ? null : r.attempts.get(e.attempt());
        if (a == null || a.ended()) {
            return;
        }
        r.endedAttempts |= 1L << a.number();
        r.notExecutedAttempts |= (e.outcome().provesNotExecuted() ? 1L : 0) << a.number();
        r.outstanding--;
        if ((r.releasedAttempts >> a.number() & 1) == 0) {
            a.server().inFlight--;
            inFlight--;
        }
        if (e.outcome() != Outcome.NOT_SENT) {
            // The time that the response waited here, unread, is not part of the server's latency.
            recordOutcome(a, e.outcome(), Math.max(0, e.elapsedNanos() - e.queueingDelayNanos()));
        }
        if (e.concluded() || r.concluded) {
            conclude(r);
        } else if (r.outstanding == 0) {
            retryOrFinish(r, e.outcome());
        }
        dispatchQueued();
    }

    /**
     * Queues a retry or finishes the request. A retry that may repeat work takes a token from the retry budget.
     * {@link #drawServer} chooses its server.
     */
    private void retryOrFinish(Request r, Outcome outcome) {
        boolean arrivalCounts = outcome == Outcome.FULL && parameters.totalRetryBudget() > 0;
        double cost = outcome.provesNotExecuted() && !arrivalCounts ? 0 : 1;
        Reason denial = retryDenialReason(r, cost);
        if (denial == null) {
            retryTokens -= cost;
            enqueue(r);
        } else {
            finish(r, denial);
        }
    }

    /** Why a request cannot be retried at this cost in retry tokens; null if it can. */
    private Reason retryDenialReason(Request r, double cost) {
        if (r.strictest.idempotency() == Idempotency.UNSAFE && r.firstPossiblyExecuted() != null) {
            return Reason.MAY_HAVE_RUN;
        } else if (now >= r.queueDeadline) {
            return Reason.OUT_OF_TIME;
        } else if (r.attempts.size() >= maxAttempts(r)) {
            return Reason.NO_TRIES_LEFT;
        }
        return retryTokens < cost ? Reason.NO_RETRY_BUDGET : null;
    }

    /**
     * Capacity of the retry budget. Each gateway holds its part of the total, so that all together cannot cause a retry
     * storm, even while they cannot reach each other.
     */
    private double maxRetryTokens() {
        return parameters.totalRetryBudget() > 0
                ? Math.max(1, parameters.totalRetryBudget() / gatewayCount)
                : MAX_RETRY_TOKENS;
    }

    private void finish(Request r, Reason reason) {
        if (canRefuse(r)) {
            tickRefusals++;
            actions.refuse(r.id, 0, reason); // no delay: shedding is random, so an immediate retry may be admitted
        } else {
            actions.fail(r.id, reason);
        }
        conclude(r);
    }

    /** Cancels the attempts in flight, once each, and forgets the request when none is left. */
    private void conclude(Request r) {
        for (Attempt a : r.attempts) {
            if (!r.concluded
                    && !a.ended()
                    && (r.cancelledAttempts >> a.number() & 1) == 0
                    && settings.permissions().cancel()
                    && !r.streaming) {
                actions.cancel(r.id, a.number());
            }
        }
        r.concluded = true;
        queued.remove(r);
        if (r.outstanding == 0) {
            openRequests.remove(r.id);
        }
    }

    private void recordOutcome(Attempt a, Outcome outcome, long elapsedNanos) {
        tickResponses++;
        Server s = a.server();
        ClassState classState = a.request().classState;
        boolean served = outcome == Outcome.SERVED;
        // Relative to the class's mean: otherwise a mix of long or short classes passes for a slow or fast server.
        s.tickLatencies.add(latencySample(classState, outcome, elapsedNanos) / classState.meanLatency, 1);
        if (served) {
            updateMeanLatency(classState, elapsedNanos);
        }
        boolean inTime = elapsedNanos <= classState.spec.targetNanos();
        if ((inTime || !isRarelyUsed()) && (served || outcome == Outcome.ERROR || outcome == Outcome.FULL)) {
            s.lastResponseAt = now;
            s.lastAnsweredSentAt = Math.max(s.lastAnsweredSentAt, a.sentAt());
            s.unresponsive = false;
        }
        if (outcome != Outcome.CANCELLED && outcome != Outcome.FULL) {
            double before = failureRate(s);
            s.failureRate = before + EWMA_WEIGHT * ((served ? 0 : 1) - before);
            s.failureRateAt = now;
        }
        if (served || outcome == Outcome.ERROR) {
            ClassHealth h = s.classHealth.computeIfAbsent(classState, k -> new ClassHealth());
            double before = errorRate(h);
            h.errorRate = before + EWMA_WEIGHT * ((served ? 0 : 1) - before);
            h.errorRateAt = now;
            if (!served) {
                classesWithErrors.add(classState);
            }
        }
        if (served || outcome == Outcome.FULL || outcome == Outcome.TIMED_OUT || outcome == Outcome.CANCELLED) {
            updatePressure(classState, outcome, elapsedNanos);
            adjustLimit(s, outcome == Outcome.FULL ? 2 : elapsedNanos / latencyBudget(classState));
        }
    }

    /** Failures count as at least the class's minimum: as fast responses they would raise the server's share. */
    private static double latencySample(ClassState classState, Outcome outcome, long elapsedNanos) {
        boolean complete = outcome == Outcome.SERVED || outcome == Outcome.CANCELLED;
        return complete ? elapsedNanos : Math.max(elapsedNanos, classState.spec.minFailureLatencyNanos());
    }

    /** Updates the mean latency of the class, and the minimum of that mean once it counts as known. */
    private void updateMeanLatency(ClassState classState, long nanos) {
        classState.served++;
        classState.meanLatency +=
                (nanos - classState.meanLatency) * Math.max(1 / LATENCY_EWMA_SAMPLES, 1.0 / classState.served);
        classState.minMeanLatency = classState.served < MIN_SAMPLES
                ? classState.meanLatency
                : Math.min(classState.minMeanLatency, classState.meanLatency);
        maxValueDensity = Math.max(maxValueDensity, classState.spec.value() / classState.meanLatency);
    }

    /**
     * Latency that responses of the class should stay within: never below the lowest mean latency of the class, up to
     * half the target. Otherwise a target that is short for the work pins concurrency limits to their minimum.
     */
    private static double latencyBudget(ClassState classState) {
        double target = classState.spec.targetNanos();
        return Math.max(
                target * LATENCY_BUDGET_OF_TARGET, Math.min(target * LATE_OF_TARGET, classState.minMeanLatency));
    }

    private double failureRate(Server s) {
        return s.failureRate == 0 ? 0 : s.failureRate * Math.exp((s.failureRateAt - now) / FAILURE_DECAY_NANOS);
    }

    /**
     * Adjusts the server's concurrency limit by the lateness of its responses (latency / latency budget), or of the
     * fleet's where the server has few. The limit rises only while it is reached: a limit that rose unused in quiet
     * times would let the remaining servers be overloaded when a zone is lost.
     */
    private void adjustLimit(Server s, double lateness) {
        s.lateness += EWMA_WEIGHT * (lateness - s.lateness);
        fleetLateness += EWMA_WEIGHT / 4 * (lateness - fleetLateness);
        double ownWeight = Math.min(1, s.limit);
        double blended = ownWeight * s.lateness + (1 - ownWeight) * fleetLateness;
        if (blended > 1) {
            double lower = s.limit - ownWeight * Math.min(1, blended - 1) / 2;
            s.limit = Math.max(MIN_CONCURRENCY_LIMIT / gatewayCount, lower);
        } else if (s.inFlight + 1 >= s.limit - 1 && inFlight + 1 >= totalLimit) {
            s.limit += ownWeight / Math.max(1, s.limit);
        }
    }

    /** Schedules the next sweep: soon while requests are queued, otherwise in time to find overdue attempts. */
    private void scheduleSweep() {
        long wait = queued.isEmpty() ? idleSweepNanos : sweepNanos;
        if (!openRequests.isEmpty() && now + wait < nextSweepAt) {
            nextSweepAt = now + wait;
            actions.setTimer(wait, SWEEP_TIMER);
        }
    }

    private void sweep() {
        reportToPeers();
        expirePeerReports();
        suspectCount = 0;
        for (Server s : readyServers) {
            checkOverdue(s);
            suspectCount += isSuspect(s) ? 1 : 0;
        }
        classesWithErrors.forEach(
                k -> k.failsOnAllServers = readyServers.stream().allMatch(s -> failsClassOnly(s, k)));
        for (Request r : List.copyOf(queued)) {
            r.valueDensity = valueDensity(r);
            if (expiresBeforeNextSweep(r)) {
                finish(r, Reason.NO_ROOM_IN_TIME);
            } else if (willMissTarget(r) && r.classState.spec.lateValue() == 0) {
                finish(r, Reason.TOO_LATE_TO_COUNT);
            }
        }
        dispatchQueued();
    }

    /**
     * Finds unresponsive servers before their attempts time out: attempts are overdue and no response came since.
     * Responses that came after {@code processedUpTo} may still be unread, so a delay of this gateway is not taken for
     * one of the server.
     */
    private void checkOverdue(Server s) {
        if (s.openAttempts.isEmpty()) {
            return;
        }
        int overdue = 0;
        double slowness = Math.max(1, fleetLateness);
        for (Iterator<Attempt> i = s.openAttempts.iterator(); i.hasNext(); ) {
            Attempt a = i.next();
            if (a.ended()) {
                i.remove();
                continue;
            }
            // The overdue factor spares long work, which would only start again elsewhere if it were cancelled.
            double fractionOfTarget = (processedUpTo - a.sentAt())
                    / (slowness
                            * parameters.overdueFactor()
                            * a.request().classState.spec.targetNanos());
            boolean serverUnresponsive = s.unresponsive && parameters.overdueFactor() > 1;
            if (fractionOfTarget > LOST_OF_TARGET && (a.sentAt() < s.lastAnsweredSentAt || serverUnresponsive)) {
                releaseSlot(a);
                if (!canCancel(a.request())) {
                    i.remove();
                } else if (canRetryElsewhere(a.request())) {
                    i.remove();
                    a.request().cancelledAttempts |= 1L << a.number();
                    actions.cancel(a.request().id, a.number());
                }
            } else if (fractionOfTarget > LATE_OF_TARGET && a.sentAt() >= s.lastResponseAt) {
                overdue++;
            }
        }
        if (overdue >= (isRarelyUsed() ? 1 : 2) && !s.unresponsive) {
            s.unresponsive = true;
            actions.log("server " + s.info.id() + " is unresponsive: no response to " + overdue + " attempts");
        }
    }

    /**
     * Frees the slot of an attempt that was overtaken, as its response was lost or its work is stuck. It would hold the
     * slot until its timeout, and two such attempts could hold all slots of a server. If it may run again it is
     * cancelled once it can be retried. Risk: where the work of requests differs so much that long ones are overtaken
     * as a rule, they run twice, within the retry budget.
     */
    private void releaseSlot(Attempt a) {
        Request r = a.request();
        if ((r.releasedAttempts >> a.number() & 1) == 0) {
            r.releasedAttempts |= 1L << a.number();
            a.server().inFlight--;
            inFlight--;
        }
    }

    private boolean canCancel(Request r) {
        return r.strictest.idempotency() == Idempotency.SAFE
                && settings.permissions().cancel()
                && !r.concluded
                && !r.streaming;
    }

    /**
     * Whether a retry could go to another server. Otherwise a cancellation would stop work that a server may be doing,
     * only to fail the request here. During shutdown nothing is cancelled, as this gateway may end before it can retry.
     */
    private boolean canRetryElsewhere(Request r) {
        return shutdownAt == Long.MAX_VALUE
                && now < r.queueDeadline
                && r.attempts.size() < maxAttempts(r)
                && retryTokens >= 1
                && readyServers.stream()
                        .anyMatch(s ->
                                !r.wasSentTo(s) && healthFactor(s) > 0 && capacityFactor(s, slowStartFactor(s)) > 0);
    }

    /** Whether this gateway gets less than one request per server and tick, and so rarely has two in flight at one. */
    private boolean isRarelyUsed() {
        return serverRate() * TICK_NANOS < NANOS_PER_SECOND;
    }

    /**
     * Ends a tick and updates the shares by Algorithm 1: D_j *= 1 + eta F_j |l_mean - l_j| / l_mean, where F_j |l_mean
     * - l_j| = l_mean - l_j.
     */
    private void updateShares() {
        Map<String, LatencySum> groups = new LinkedHashMap<>();
        LatencySum fleet = new LatencySum();
        for (Server s : readyServers) {
            groups.computeIfAbsent(s.similarityKey, k -> new LatencySum())
                    .add(s.tickLatencies.sum, s.tickLatencies.samples);
            fleet.add(s.tickLatencies.sum, s.tickLatencies.samples);
        }
        // Where samples are too sparse for a mean per server, a server without any follows those of its zone and type.
        boolean sparse = fleet.samples < PRIOR_SAMPLES * readyServers.size();
        double mean = 0;
        int counted = 0;
        for (Server s : readyServers) {
            LatencySum group = groups.get(s.similarityKey);
            s.sampled = s.tickLatencies.samples > 0 || (sparse && group.samples > 0);
            if (s.sampled) {
                s.latency = s.tickLatencies.shrunkMean(group.shrunkMean(fleet.mean(), PRIOR_SAMPLES), PRIOR_SAMPLES);
                mean += s.latency;
                counted++;
            }
            s.tickLatencies = new LatencySum();
        }
        mean /= Math.max(1, counted);
        for (Server s : readyServers) {
            if (s.sampled && mean > 0) {
                s.share *= Math.max(MIN_SHARE_FACTOR, 1 + LEARNING_RATE * (mean - s.latency) / mean);
            }
        }
        normaliseShares();
        if (tickRefusals > 0) {
            actions.log("refused " + tickRefusals + " requests in this tick, " + tickArrivals + " arrived");
        }
        peakServerRate = Math.max(peakServerRate * 0.95, serverRate());
        updateMaxValueDensity();
        decayPressure();
        decayCounts();
        tickArrivals = 0;
        tickResponses = 0;
        tickRefusals = 0;
        tickStart = now;
    }

    /**
     * Lowers the pressure, the more the fewer responses the tick brought: refused requests bring none, and pressure
     * that no response confirms may be over. A gateway with little traffic that admits a twentieth of it would
     * otherwise take minutes to notice that it need not shed.
     */
    private void decayPressure() {
        double known = Math.min(1, (double) tickResponses / MIN_SAMPLES);
        pressure = Math.max(minPressure, pressure - PRESSURE_DECAY_PER_TICK * (1 - known));
    }

    private void decayCounts() {
        recentArrivals *= COUNTS_KEPT_PER_TICK;
        recentSends *= COUNTS_KEPT_PER_TICK;
        for (ClassState k : classStates.values()) {
            k.recentArrivals *= COUNTS_KEPT_PER_TICK;
            k.recentSends *= COUNTS_KEPT_PER_TICK;
        }
    }

    private void normaliseShares() {
        double sum = readyServers.stream().mapToDouble(s -> s.share).sum();
        for (Server s : readyServers) {
            s.share = sum > 0
                    ? Math.max(s.share / sum, MIN_SHARE_OF_EQUAL / readyServers.size())
                    : 1.0 / readyServers.size();
        }
    }

    private void onServerList(ServerListReceived e) {
        failedSubscriptions = e.kind() == ServerListKind.FAILED ? failedSubscriptions + 1 : 0;
        if (e.kind() == ServerListKind.FAILED) {
            // Retries a failed call with backoff and jitter, within the permitted interval.
            double backoff = NANOS_PER_SECOND / 5 * (1 << Math.min(failedSubscriptions, 8));
            double wait = Math.min(parameters.resubscribeWithinNanos() / 2.0, backoff);
            actions.setTimer((long) (wait * (1 + random.nextDouble()) / 2), RESUBSCRIBE_TIMER);
            return;
        }
        if (e.kind() != ServerListKind.CHANGES) {
            servers.values().forEach(s -> s.ready = false);
        }
        double meanShare =
                readyServers.stream().mapToDouble(s -> s.share).average().orElse(1);
        // New servers start at the mean limit. At the initial limit, replacing all servers in turn would hold back
        // all traffic.
        double initialLimit = Math.max(
                INITIAL_CONCURRENCY_LIMIT / gatewayCount,
                readyServers.stream().mapToDouble(s -> s.limit).average().orElse(0));
        for (ServerInfo info : e.servers()) {
            Server s = servers.get(info.id());
            if (s == null || s.info.startedAtNanos() != info.startedAtNanos()) {
                TokenBucket slowStartBucket = new TokenBucket(random.nextDouble(), now);
                s = new Server(slowStartBucket, meanShare, initialLimit);
                servers.put(info.id(), s);
            }
            s.info = info;
            s.similarityKey = info.zone() + ' ' + info.machineType();
            s.ready = info.readiness() == Readiness.READY;
        }
        // Servers that are no longer ready are removed; otherwise all that were ever listed would be kept.
        servers.values().removeIf(s -> !s.ready);
        readyServers.clear();
        readyServers.addAll(servers.values());
        serversByCode.clear();
        readyServers.forEach(s -> serversByCode.put(InFlightReport.code(s.info.id()), s));
        computeSubset();
        minPressure = readyServers.stream().allMatch(this::isInSameZone) ? SINGLE_ZONE_MIN_PRESSURE : 0;
        normaliseShares();
        dispatchQueued();
        scheduleSweep();
    }
}
