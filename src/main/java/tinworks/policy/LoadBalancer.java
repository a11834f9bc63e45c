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
 * The decisions of one gateway. Its interface (settings, events, actions) is in Protocol.java, the plain holders of
 * what it remembers in State.java; every decision is here.
 *
 * <p>The ordinary path is the paper's load shifting (section 4.1, Algorithm 1), run by each gateway over its own
 * attempts: a share for each server, a random draw by share, a renormalised multiplicative step. Around it stands one
 * shape, draw weight = share x gates. A gate is 1 on the ordinary path and falls only under the condition written at
 * it. Every send passes {@link #canSend} and the conditions in {@link #drawServer}, every refusal {@link #canRefuse}.
 * Single-threaded, without a clock of its own, all chance from one seed.
 */
public class LoadBalancer {
    /** The paper's learning rate, and a fifth of its interval: unlike machines are told apart in seconds. */
    private static final double LEARNING_RATE = 0.2;

    private static final long TICK_NANOS = 1_000_000_000L;
    /** One step at most halves a share, and no share falls so low that later steps can't bring it back. */
    private static final double MIN_SHARE_FACTOR = 0.5;

    private static final double MIN_SHARE_OF_EQUAL = 0.05;
    /** Latencies spread about as wide as their mean: so many samples of the mean are mixed into each. */
    private static final double PRIOR_SAMPLES = 5;
    /** Answers should take a fifth of the aim: the rest is for waiting here, a second try and long work. */
    private static final double LATENCY_BUDGET_OF_TARGET = 0.2;
    /** At half the aim, a second try still fits into what is left. */
    private static final double LATE_OF_TARGET = 0.5;
    /** An attempt out for so much of its aim is lost if later ones were answered; a second try may be in time. */
    private static final double LOST_OF_TARGET = 0.6;
    /** The most of its aim that work is thought to need: a fresh request always has a hope. */
    private static final double MAX_WORK_OF_TARGET = 0.9;
    /** In flight at one server from all gateways: one in work, one on its way, one waiting; one at first. */
    private static final double MIN_CONCURRENCY_LIMIT = 3;

    private static final double INITIAL_CONCURRENCY_LIMIT = 1;
    /** A Poisson count rarely lies so many of its deviations above its mean. */
    private static final double POISSON_DEVIATIONS = 2;
    /** Weight of the newest answer in a server's health: about the last five count. */
    private static final double EWMA_WEIGHT = 0.2;
    /** Two failures among the last five are no chance; the memory outlasts some trials. */
    private static final double SUSPECT_FAILURE_RATE = 0.3;

    private static final double CERTAIN_FAILURE_RATE = 0.85;
    private static final double FAILURE_DECAY_NANOS = 20e9;
    /** A server that gave errors to more of a class's last requests than not can't serve this class. */
    private static final double SUSPECT_CLASS_ERROR_RATE = 0.5;
    /** A doubtful server gets one request in so much time from all gateways, to notice its recovery. */
    private static final long TRIAL_INTERVAL_NANOS = 1_000_000_000L;
    /** Part of what the cold rule allows that is used: other gateways and long work need the rest. */
    private static final double SLOW_START_SAFETY_FACTOR = 0.5;
    /** Tries after a failure: one for ten requests, so that no storm can grow. */
    private static final double RETRY_TOKENS_PER_REQUEST = 0.1;

    private static final double MAX_RETRY_TOKENS = 10;
    /** A late answer adds so much pressure and one in time takes it off: it settles where half are late. */
    private static final double PRESSURE_STEP = 0.1;
    /** Up to 1 the zones share the load, from there on some is shed; chance alone must not shed. */
    private static final double SHEDDING_PRESSURE = 1;

    private static final double SINGLE_ZONE_MIN_PRESSURE = 0.9;
    /**
     * The least part of its share that another zone's server gets, and the least that is admitted, of the best and of
     * any.
     */
    private static final double MIN_CROSS_ZONE_FACTOR = 1e-3;

    private static final double MIN_ADMITTED_FRACTION = 0.05;
    private static final double MIN_CLASS_ADMITTED_FRACTION = 0.01;
    /**
     * The part of its share that a server of another gateway's portion gets: it is drawn on when none of the own is
     * free.
     */
    private static final double MIN_OUTSIDE_SUBSET_FACTOR = 1e-3;
    /** With each request that others have out at a server, it is so much less likely to be drawn. */
    private static final double PEER_IN_FLIGHT_FACTOR = 0.25;
    /** Messages are so far apart at least, and what hasn't changed is said again after so long. */
    private static final long PEER_REPORT_MIN_INTERVAL_NANOS = 20_000_000L;

    private static final long PEER_REPORT_REFRESH_NANOS = 250_000_000L;
    /** So much time has to be seen before arrivals tell a rate. */
    private static final long MIN_RATE_WINDOW_NANOS = 50_000_000L;
    /** How often held requests are looked at; short against any aim. */
    private static final long SWEEP_INTERVAL_NANOS = 10_000_000L;
    /**
     * How often those that are out are looked at while none is held, in parts of the shortest aim and of its long work.
     */
    private static final double IDLE_SWEEP_OF_TARGET = 0.05;
    /** What pressure loses in a tick that brought no answer: what shuts all out is open again within two. */
    private static final double PRESSURE_DECAY_PER_TICK = 0.6;
    /** Time-outs this near to each other, in parts of the deadline, are one: the way here takes some time. */
    private static final double TIMEOUT_TOLERANCE_OF_DEADLINE = 0.02;
    /** Votes for the usual time-out that count, and answers until a class's mean is known. */
    private static final int MAX_TIMEOUT_VOTES = 40;

    private static final int MIN_SAMPLES = 20;
    /** What a tick leaves of the counts by which classes are compared: they are about the last minute's. */
    private static final double COUNTS_KEPT_PER_TICK = 0.98;

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
    /** The classes that a server has failed at. */
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

    /** A gateway that has just started and knows its settings alone. */
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
            double part = t.quotaPerSecond() / gatewayCount;
            quotas.put(t.name(), new Quota(part, new TokenBucket(part, 0)));
        }
    }

    /** Takes one event; times never go back. */
    public void onEvent(long nowNanos, Event event) {
        if (started && nowNanos < now) {
            throw new IllegalArgumentException("nowNanos: " + nowNanos + " lies before " + now);
        }
        now = nowNanos;
        if (!started) {
            started = true;
            tickStart = now;
            // Guards against all gateways cutting the same slow server in the same instant.
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
            ClassState kind =
                    known.getOrDefault(c.name(), new ClassState(c, c.targetNanos() * LATENCY_BUDGET_OF_TARGET));
            kind.spec = c;
            classStates.put(c.name(), kind);
        }
        classesWithErrors.retainAll(classStates.values());
        updateMaxValueDensity();
        double aim = classStates.values().stream()
                .mapToLong(k -> k.spec.targetNanos())
                .min()
                .orElse(0);
        idleSweepNanos = settings.permissions().peerMessages()
                ? sweepNanos
                : Math.max(sweepNanos, (long) (aim * IDLE_SWEEP_OF_TARGET * parameters.overdueFactor()));
    }

    /**
     * What the best of the classes is worth for its work; with {@link #updateMeanLatency} between, looked for once a
     * tick.
     */
    private void updateMaxValueDensity() {
        maxValueDensity = 0;
        for (ClassState k : classStates.values()) {
            maxValueDensity = Math.max(maxValueDensity, k.spec.value() / k.meanLatency);
        }
    }

    /** A new version in the middle of a tick: shares, samples and limits stay as they are. */
    private void onReconfigured(Reconfigured e) {
        applyClasses(e.classes());
        for (Request r : openRequests.values()) {
            ClassState kind = classStates.get(r.classState.spec.name());
            if (kind != null) {
                restrict(r, kind.spec);
            }
        }
        gatewayCount = e.gatewayCount();
        computeSubset();
        dispatchQueued();
        scheduleSweep();
    }

    /**
     * Guards against a version that comes amid a request allowing more than its route did when it came: a further host,
     * a second run of what must not run twice, or a promise that it never ran.
     */
    void restrict(Request r, RequestClass version) {
        r.maxAttempts = Math.min(r.maxAttempts, version.maxAttempts());
        if (version.idempotency().compareTo(r.strictest.idempotency()) > 0) {
            r.strictest = version;
        }
    }

    private void onTimer(long token) {
        if (token == TICK_TIMER) {
            // Before the step: a fault in one must not be the last.
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
        ClassState kind = classStates.get(e.requestClass());
        if (kind == null) {
            throw new IllegalArgumentException("requestClass: unknown class " + e.requestClass());
        }
        // Guards against owing an answer past the gateway's end, where nobody could give it.
        long deadline = Math.min(now + e.expiresInNanos(), shutdownAt);
        Request r = new Request(e.id(), kind, exceedsQuota(e.tenant()), firstAttemptTime(e, kind), deadline);
        // Guards against holding a request past its time-out by the time that it lay here, unread.
        r.queueDeadline = Math.min(now + e.expiresInNanos() - e.queueingDelayNanos(), shutdownAt);
        openRequests.put(r.id, r);
        tickArrivals++;
        kind.recentArrivals++;
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

    /** Guards against answering all and nothing in time: least worth for its work is shed first. */
    private boolean shouldShed(Request r) {
        if (isStarved(r.classState)) {
            return false;
        }
        double rank = maxValueDensity / Math.max(r.valueDensity, Double.MIN_NORMAL);
        double admitted = 1 + SHEDDING_PRESSURE - pressure;
        // Guards against a class of which none is ever admitted, and so none teaches that there is room again.
        double least = hasSparseSamples() ? minAdmittedFraction() : MIN_CLASS_ADMITTED_FRACTION;
        return admitted < 1 && random.nextDouble() >= Math.max(least, Math.pow(admitted, Math.max(1, rank)));
    }

    /**
     * Guards against a class of which nearly nothing is served while a burst of another, worth more for its work, takes
     * all that there is: of each goes out a part of what goes out of all.
     */
    private boolean isStarved(ClassState kind) {
        return parameters.minClassFraction() > 0
                && kind.recentSends + 1
                        < parameters.minClassFraction() * kind.recentArrivals * recentSends / recentArrivals;
    }

    /** Worth for work: less of it outside the tenant's share, or when it can only be answered late. */
    private double valueDensity(Request r) {
        RequestClass c = r.classState.spec;
        double part = willMissTarget(r) ? c.lateValue() : r.overQuota ? settings.overQuotaValue() : 1;
        return part * c.value() / r.classState.meanLatency;
    }

    /** Half the answers taking half their aim means more work than the servers drawn on can do in time. */
    private void updatePressure(ClassState kind, Outcome outcome, long elapsedNanos) {
        boolean late = outcome != Outcome.SERVED || elapsedNanos > kind.spec.targetNanos() * LATE_OF_TARGET;
        pressure = Math.max(
                minPressure,
                Math.min(
                        1 + SHEDDING_PRESSURE - minAdmittedFraction(),
                        pressure + (late ? PRESSURE_STEP : -PRESSURE_STEP)));
    }

    /** Guards against a gateway of little traffic that sheds nearly all and so is long in learning that it need not. */
    private double minAdmittedFraction() {
        double perSecond = serverRate() * readyServers.size();
        return hasSparseSamples()
                ? Math.max(MIN_ADMITTED_FRACTION, Math.min(1, MIN_SAMPLES / Math.max(1, perSecond)))
                : MIN_ADMITTED_FRACTION;
    }

    /**
     * Guards against serving a client's repeat whose aim passed with its first try. Such a repeat has what is left of
     * the deadline; first tries have one time-out, which most requests share.
     */
    private long firstAttemptTime(RequestArrived e, ClassState kind) {
        long deadline = kind.spec.deadlineNanos();
        // A vote finds the time-out that more than a third agree on, in one pass and without a list of them.
        if (Math.abs(e.expiresInNanos() - kind.usualTimeoutNanos) <= deadline * TIMEOUT_TOLERANCE_OF_DEADLINE) {
            kind.timeoutVotes = Math.min(MAX_TIMEOUT_VOTES, kind.timeoutVotes + 2);
            return now;
        } else if (--kind.timeoutVotes < 0) {
            kind.usualTimeoutNanos = e.expiresInNanos();
            kind.timeoutVotes = 0;
        }
        return kind.timeoutVotes > MAX_TIMEOUT_VOTES / 2 ? now + e.expiresInNanos() - deadline : now;
    }

    private boolean exceedsQuota(String tenant) {
        Quota q = quotas.get(tenant);
        return q != null && !q.bucket().take(now, q.perSecond() / NANOS_PER_SECOND, q.perSecond());
    }

    /** Guards against losing a request that has less time left than the next sweep is away. */
    private void enqueue(Request r) {
        queued.add(r);
        dispatchQueued();
        if (r.outstanding == 0 && !r.concluded && expiresBeforeNextSweep(r)) {
            finish(r, Reason.NO_ROOM_IN_TIME);
        }
    }

    /**
     * The gateway's end counts too: guards against leaving what waits without an answer, where nobody could give it
     * later.
     */
    private boolean expiresBeforeNextSweep(Request r) {
        return now + 2 * sweepNanos >= Math.min(r.queueDeadline, shutdownAt);
    }

    /**
     * Too late to be answered within the aim, even if it were sent now. Guards against giving up on a class for good
     * after a time in which its mean answer took longer than its aim: with all of its requests shed, no answer would
     * ever tell that this time is over.
     */
    private boolean willMissTarget(Request r) {
        double aim = r.classState.spec.targetNanos();
        double needs = Math.min(aim * MAX_WORK_OF_TARGET, Math.max(r.classState.meanLatency, aim * LATE_OF_TARGET));
        return now + needs > r.firstSentAt + aim;
    }

    /**
     * Sends what is held while a server has room: what is of a starved class, then best worth for its work first and,
     * guarding against sending in overload only what is about to miss its aim, the newest of these first.
     */
    private void dispatchQueued() {
        boolean sends = true;
        while (sends && !queued.isEmpty()) {
            Request starved = nextQueued(true);
            sends = (starved != null && trySend(starved)) || trySend(nextQueued(false));
        }
    }

    /** Of the requests that are held, or of those among them whose class is starved; null where there is none. */
    private Request nextQueued(boolean ofStarved) {
        Request best = null;
        for (Request r : queued) {
            if ((best == null || r.valueDensity >= best.valueDensity) && (!ofStarved || isStarved(r.classState))) {
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

    /** A server at random in proportion to share x gates, or null where none may take the request now. */
    private Server drawServer(Request r) {
        Server drawn = null;
        double sum = 0;
        double limits = 0;
        boolean sparse = hasSparseSamples();
        boolean may = canSend(r);
        for (Server s : readyServers) {
            double cold = slowStartFactor(s);
            limits += s.limit * cold;
            double room = may ? capacityFactor(s, cold) : 0;
            if (room > 0 && s.ready && slowStartTokens(s) >= 1 && idempotencyAllows(r, s) && !r.wasSentTo(s)) {
                double gates = room
                        * cold
                        * healthFactor(s)
                        * classHealthFactor(r.classState, s)
                        * zoneFactor(s)
                        * (sparse ? subsetFactor(s) * peerLoadFactor(s) : 1);
                double weight = s.share * gates;
                sum += weight;
                drawn = weight > 0 && random.nextDouble() * sum < weight ? s : drawn;
            }
        }
        totalLimit = limits;
        // Guards against holding back chance crowding: a part of the traffic crowds more than the whole.
        double chance = POISSON_DEVIATIONS * Math.sqrt(limits) * (1 - 1.0 / gatewayCount);
        return inFlight > 0 && inFlight >= limits + chance ? null : drawn;
    }

    /** Guards against crossing zones for nothing: falls while own zone answers most within half their aim. */
    private double zoneFactor(Server s) {
        return isInSameZone(s) ? 1 : Math.max(MIN_CROSS_ZONE_FACTOR, Math.min(1, pressure));
    }

    /**
     * Guards against sparse samples and blind crowding on a large fleet: where a gateway meets each server less often
     * than a step needs, every one of many gateways would spread thin over all, and none would know what a server
     * holds. Each then keeps to a portion of the fleet's capacity, and goes beyond while that has no room.
     */
    private double subsetFactor(Server s) {
        return Math.max(MIN_OUTSIDE_SUBSET_FACTOR, s.subsetFraction);
    }

    /** Guards against sending where other gateways' requests already wait: falls with what they said is out there. */
    private double peerLoadFactor(Server s) {
        return s.peerInFlight == 0
                ? 1
                : s.peerInFlight >= MIN_CONCURRENCY_LIMIT ? 0 : Math.pow(PEER_IN_FLIGHT_FACTOR, s.peerInFlight);
    }

    /** Tells the other gateways what is out at which server, when that has changed, and anew after a while. */
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
        PeerReport heard = new PeerReport(now, InFlightReport.read(e.body(), serversByCode));
        heard.counts().forEach((s, n) -> s.peerInFlight += n);
        peerReports.put(e.gateway(), heard);
    }

    private static void subtractReport(PeerReport old) {
        if (old != null) {
            old.counts().forEach((s, n) -> s.peerInFlight -= n);
        }
    }

    /** Guards against believing for ever what a gateway said that has died since. */
    private void expirePeerReports() {
        peerReports.values().removeIf(heard -> {
            boolean old = now - heard.receivedAt() > 2 * PEER_REPORT_REFRESH_NANOS;
            if (old) {
                subtractReport(heard);
            }
            return old;
        });
    }

    /**
     * What this gateway may take of what all together may send to the server: an equal part or, where samples are
     * sparse, half of it by portion. The other half guards against leaving out a server whose gateway is gone.
     */
    private double gatewayFraction(Server s) {
        double equal = 1.0 / gatewayCount;
        return hasSparseSamples() ? (s.subsetFraction + equal) / 2 : equal;
    }

    /**
     * Fewer samples of a server in a tick than make a mean of its own; before the first tick's end, by what has come.
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
     * Cuts the ready servers, in an order by chance that is the same at all gateways, into one stretch of equal
     * capacity for each gateway. A server on a border belongs to both sides in part.
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

    /** A number by chance that only the id decides. */
    private static long shuffleKey(String id) {
        return new SplittableRandom(id.hashCode()).nextLong();
    }

    private boolean isInSameZone(Server s) {
        return s.info.zone().equals(settings.zone());
    }

    /** Guards against choking: falls where the attempts in flight reach the limit that adapt() sets. */
    private double capacityFactor(Server s, double cold) {
        return Math.min(1, s.inFlight == 0 ? s.limit * readyServers.size() / totalLimit : s.limit * cold - s.inFlight);
    }

    /** Guards against toppling a server after its start: rises as its capacity does, at the slowest. */
    private double slowStartFactor(Server s) {
        long age = now - s.info.startedAtNanos();
        if (s.info.startedAtNanos() == 0 || age >= parameters.slowStartNanos()) {
            return 1;
        }
        return parameters.slowStartInitialFraction()
                + (1 - parameters.slowStartInitialFraction()) * Math.max(0, age) / parameters.slowStartNanos();
    }

    /**
     * Guards against silent servers, and fast errors, which would gain share: such a server gets one request a trial
     * time from all gateways, even if it alone has room. Where most are doubtful, only those stay so that fail nearly
     * always (a lost zone); where all are, none.
     */
    private double healthFactor(Server s) {
        boolean serves = 2 * suspectCount > readyServers.size()
                && (suspectCount == readyServers.size() || failureRate(s) < CERTAIN_FAILURE_RATE);
        return now >= s.nextTrialAt || serves || !isSuspect(s) ? 1 : 0;
    }

    /**
     * Guards against servers that fail one class and serve the others, which among all their answers hide it: a part of
     * them that is broken, a release that can't do it, a store behind them that is gone. Only errors count, a server's
     * own word, as slowness and crowding have other causes. It could do harm where the few that still serve a class
     * can't bear all of it; where none does, all are tried.
     */
    private double classHealthFactor(ClassState kind, Server s) {
        ClassHealth h = s.classHealth.get(kind);
        return h == null || now >= h.nextTrialAt || kind.failsOnAllServers || !failsClassOnly(s, kind) ? 1 : 0;
    }

    private double errorRate(ClassHealth h) {
        return h.errorRate == 0 ? 0 : h.errorRate * Math.exp((h.errorRateAt - now) / FAILURE_DECAY_NANOS);
    }

    /** This class and not all: what fails at every class is {@link #healthFactor}'s. */
    private boolean failsClassOnly(Server s, ClassState kind) {
        ClassHealth h = s.classHealth.get(kind);
        return h != null
                && errorRate(h) >= SUSPECT_CLASS_ERROR_RATE
                && s.classHealth.values().stream().anyMatch(o -> errorRate(o) < SUSPECT_FAILURE_RATE);
    }

    private boolean isSuspect(Server s) {
        return s.unresponsive || failureRate(s) >= SUSPECT_FAILURE_RATE;
    }

    /** The guard that every send passes, wherever it goes: further tries, and none past the end. */
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
        boolean dropped = c.idempotency() == Idempotency.KEYED && now - first.sentAt() < c.dedupWindowNanos();
        return dropped
                && switch (c.dedupScope()) {
                    case ALL -> true;
                    case ZONE -> s.info.zone().equals(first.server().info.zone());
                    case CELL -> s.info.cell() == first.server().info.cell();
                };
    }

    /** The one guard that every refusal passes: it tells the client that a further try is harmless. */
    private static boolean canRefuse(Request r) {
        RequestClass c = r.strictest;
        return c.idempotency() == Idempotency.SAFE
                || r.firstPossiblyExecuted() == null
                || (c.idempotency() == Idempotency.KEYED && c.dedupScope() == DedupScope.ALL);
    }

    /** Requests that may go to a cold server now, by what a warm one was seen to bear. */
    private double slowStartTokens(Server s) {
        double gate = slowStartFactor(s);
        if (gate >= 1) {
            return 1;
        }
        double fleetRate = serverRate() * gatewayCount;
        double perNano = SLOW_START_SAFETY_FACTOR
                * parameters.overloadFactor()
                * gate
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
            // Guards against judging a server by the time that its answer lay here, unread.
            recordOutcome(a, e.outcome(), Math.max(0, e.elapsedNanos() - e.queueingDelayNanos()));
        }
        if (e.concluded() || r.concluded) {
            conclude(r);
        } else if (r.outstanding == 0) {
            retryOrFinish(r, e.outcome());
        }
        dispatchQueued();
    }

    /** A further try; one that may repeat work comes out of the budget. {@link #canSend} decides where to. */
    private void retryOrFinish(Request r, Outcome outcome) {
        boolean arrived = outcome == Outcome.FULL && parameters.totalRetryBudget() > 0;
        double cost = outcome.provesNotExecuted() && !arrived ? 0 : 1;
        Reason obstacle = retryDenialReason(r, cost);
        if (obstacle == null) {
            retryTokens -= cost;
            enqueue(r);
        } else {
            finish(r, obstacle);
        }
    }

    /** Why a request gets no further try that costs this much of the budget; null where it may have one. */
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

    /** Guards against a storm that all gateways make together: each saves up its part, and is safe when cut off. */
    private double maxRetryTokens() {
        return parameters.totalRetryBudget() > 0
                ? Math.max(1, parameters.totalRetryBudget() / gatewayCount)
                : MAX_RETRY_TOKENS;
    }

    private void finish(Request r, Reason reason) {
        if (canRefuse(r)) {
            tickRefusals++;
            actions.refuse(r.id, 0, reason); // without advice to wait: a try at once meets a coin, not a queue
        } else {
            actions.fail(r.id, reason);
        }
        conclude(r);
    }

    /** Calls off what is still out, once, and forgets the request when nothing is. */
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
        ClassState kind = a.request().classState;
        boolean served = outcome == Outcome.SERVED;
        // Guards against a mix of long and short classes passing for a slow or a fast server.
        s.tickLatencies.add(latencySample(kind, outcome, elapsedNanos) / kind.meanLatency, 1);
        if (served) {
            updateMeanLatency(kind, elapsedNanos);
        }
        boolean inTime = elapsedNanos <= kind.spec.targetNanos();
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
            ClassHealth h = s.classHealth.computeIfAbsent(kind, k -> new ClassHealth());
            double before = errorRate(h);
            h.errorRate = before + EWMA_WEIGHT * ((served ? 0 : 1) - before);
            h.errorRateAt = now;
            if (!served) {
                classesWithErrors.add(kind);
            }
        }
        if (served || outcome == Outcome.FULL || outcome == Outcome.TIMED_OUT || outcome == Outcome.CANCELLED) {
            updatePressure(kind, outcome, elapsedNanos);
            adjustLimit(s, outcome == Outcome.FULL ? 2 : elapsedNanos / latencyBudget(kind));
        }
    }

    /** Guards against fast failures, which would pass for fast answers and gain share. */
    private static double latencySample(ClassState kind, Outcome outcome, long elapsedNanos) {
        boolean whole = outcome == Outcome.SERVED || outcome == Outcome.CANCELLED;
        return whole ? elapsedNanos : Math.max(elapsedNanos, kind.spec.minFailureLatencyNanos());
    }

    /** The class's mean over about the last hundred answers, and the least it has been once known. */
    private void updateMeanLatency(ClassState kind, long nanos) {
        kind.served++;
        kind.meanLatency += (nanos - kind.meanLatency) * Math.max(1 / LATENCY_EWMA_SAMPLES, 1.0 / kind.served);
        kind.minMeanLatency =
                kind.served < MIN_SAMPLES ? kind.meanLatency : Math.min(kind.minMeanLatency, kind.meanLatency);
        maxValueDensity = Math.max(maxValueDensity, kind.spec.value() / kind.meanLatency);
    }

    /** Guards against aims that are short for the work: never below the mean answer at the calmest. */
    private static double latencyBudget(ClassState kind) {
        double aim = kind.spec.targetNanos();
        return Math.max(aim * LATENCY_BUDGET_OF_TARGET, Math.min(aim * LATE_OF_TARGET, kind.minMeanLatency));
    }

    private double failureRate(Server s) {
        return s.failureRate == 0 ? 0 : s.failureRate * Math.exp((s.failureRateAt - now) / FAILURE_DECAY_NANOS);
    }

    /**
     * Moves the in-flight limit by the lateness of answers; where they are rare, by the fleet's. Guards against limits
     * that rise unused in calm times and choke what is left when a zone is lost.
     */
    private void adjustLimit(Server s, double late) {
        s.lateness += EWMA_WEIGHT * (late - s.lateness);
        fleetLateness += EWMA_WEIGHT / 4 * (late - fleetLateness);
        double own = Math.min(1, s.limit);
        double seen = own * s.lateness + (1 - own) * fleetLateness;
        if (seen > 1) {
            double lower = s.limit - own * Math.min(1, seen - 1) / 2;
            s.limit = Math.max(MIN_CONCURRENCY_LIMIT / gatewayCount, lower);
        } else if (s.inFlight + 1 >= s.limit - 1 && inFlight + 1 >= totalLimit) {
            s.limit += own / Math.max(1, s.limit);
        }
    }

    /** Often while something is held, else so often that what is overdue is found in time. */
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
     * Guards against a silent server before time-outs tell: overdue attempts and no answer since. What came after
     * {@code heardUpTo} lies here unread: while this gateway was held up itself, no server was silent.
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
            // Guards against calling off long work, which would only begin anew elsewhere.
            double outOfAim = (processedUpTo - a.sentAt())
                    / (slowness
                            * parameters.overdueFactor()
                            * a.request().classState.spec.targetNanos());
            boolean atSilent = s.unresponsive && parameters.overdueFactor() > 1;
            if (outOfAim > LOST_OF_TARGET && (a.sentAt() < s.lastAnsweredSentAt || atSilent)) {
                releaseSlot(a);
                if (!canCancel(a.request())) {
                    i.remove();
                } else if (canRetryElsewhere(a.request())) {
                    i.remove();
                    a.request().cancelledAttempts |= 1L << a.number();
                    actions.cancel(a.request().id, a.number());
                }
            } else if (outOfAim > LATE_OF_TARGET && a.sentAt() >= s.lastResponseAt) {
                overdue++;
            }
        }
        if (overdue >= (isRarelyUsed() ? 1 : 2) && !s.unresponsive) {
            s.unresponsive = true;
            actions.log("server " + s.info.id() + " is silent: no answer to " + overdue + " attempts");
        }
    }

    /**
     * Guards against answers that never come, while later ones do: such an attempt would hold a place at its server
     * until its time-out, and two of them all places; equally against work that is stuck in a server. Where it may run
     * again it is called off once it can be tried again. It could do harm where work differs so much that long requests
     * are overtaken as a rule: they would be run twice, within the budget for tries.
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
     * Guards against breaking off what a server may be at work on only to answer here in its place; near its own end a
     * gateway breaks off nothing, as then there may be nobody to try again.
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

    /** Whether this gateway has under one request for a server in a tick, and so seldom two out at one. */
    private boolean isRarelyUsed() {
        return serverRate() * TICK_NANOS < NANOS_PER_SECOND;
    }

    /** Algorithm 1: D_j *= 1 + eta F_j |l_mean - l_j| / l_mean, where F_j |l_mean - l_j| = l_mean - l_j. */
    private void updateShares() {
        Map<String, LatencySum> pools = new LinkedHashMap<>();
        LatencySum fleet = new LatencySum();
        for (Server s : readyServers) {
            pools.computeIfAbsent(s.similarityKey, k -> new LatencySum())
                    .add(s.tickLatencies.sum, s.tickLatencies.samples);
            fleet.add(s.tickLatencies.sum, s.tickLatencies.samples);
        }
        // With fewer samples than make a mean of its own, a server without one moves as those like it do.
        boolean few = fleet.samples < PRIOR_SAMPLES * readyServers.size();
        double mean = 0;
        int counted = 0;
        for (Server s : readyServers) {
            LatencySum like = pools.get(s.similarityKey);
            s.sampled = s.tickLatencies.samples > 0 || (few && like.samples > 0);
            if (s.sampled) {
                s.latency = s.tickLatencies.shrunkMean(like.shrunkMean(fleet.mean(), PRIOR_SAMPLES), PRIOR_SAMPLES);
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
            actions.log("refused " + tickRefusals + " requests in this tick, " + tickArrivals + " came");
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
     * Guards against shutting out for good. What is refused teaches nothing, and a gateway of little traffic that
     * admits a twentieth of it would be minutes in learning that it need not: the fewer answers a tick brought, the
     * more of the pressure is no longer known to be there.
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
            // Guards against failing list calls: asks again, with jitter, before the list counts as told.
            double backoff = NANOS_PER_SECOND / 5 * (1 << Math.min(failedSubscriptions, 8));
            double wait = Math.min(parameters.resubscribeWithinNanos() / 2.0, backoff);
            actions.setTimer((long) (wait * (1 + random.nextDouble()) / 2), RESUBSCRIBE_TIMER);
            return;
        }
        if (e.kind() != ServerListKind.CHANGES) {
            servers.values().forEach(s -> s.ready = false);
        }
        double mean = readyServers.stream().mapToDouble(s -> s.share).average().orElse(1);
        // Guards against holding back the whole traffic when all servers are replaced one by one.
        double first = Math.max(
                INITIAL_CONCURRENCY_LIMIT / gatewayCount,
                readyServers.stream().mapToDouble(s -> s.limit).average().orElse(0));
        for (ServerInfo info : e.servers()) {
            Server s = servers.get(info.id());
            if (s == null || s.info.startedAtNanos() != info.startedAtNanos()) {
                TokenBucket cold = new TokenBucket(random.nextDouble(), now);
                s = new Server(cold, mean, first);
                servers.put(info.id(), s);
            }
            s.info = info;
            s.similarityKey = info.zone() + ' ' + info.machineType();
            s.ready = info.readiness() == Readiness.READY;
        }
        // Guards against remembering for ever each machine that was once in the list.
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
