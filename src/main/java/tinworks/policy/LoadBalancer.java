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
import tinworks.policy.State.Attempt;
import tinworks.policy.State.Bucket;
import tinworks.policy.State.ClassHealth;
import tinworks.policy.State.Heard;
import tinworks.policy.State.Kind;
import tinworks.policy.State.Pool;
import tinworks.policy.State.Quota;
import tinworks.policy.State.Request;
import tinworks.policy.State.Server;

/**
 * The decisions of one gateway. Its interface (settings, events, actions) is in Protocol.java, the plain holders of
 * what it remembers in State.java; every decision is here.
 *
 * <p>The ordinary path is the paper's load shifting (section 4.1, Algorithm 1), run by each gateway over its own
 * attempts: a share for each server, a random draw by share, a renormalised multiplicative step. Around it stands one
 * shape, draw weight = share x gates. A gate is 1 on the ordinary path and falls only under the condition written at
 * it. Every send passes {@link #maySend} and the conditions in {@link #draw}, every refusal {@link #mayRefuse}.
 * Single-threaded, without a clock of its own, all chance from one seed.
 */
public class LoadBalancer {
    /** The paper's learning rate, and a fifth of its interval: unlike machines are told apart in seconds. */
    private static final double ETA = 0.2;

    private static final long TICK_NANOS = 1_000_000_000L;
    /** One step at most halves a share, and no share falls so low that later steps can't bring it back. */
    private static final double LEAST_FACTOR = 0.5;

    private static final double LEAST_SHARE = 0.05;
    /** Latencies spread about as wide as their mean: so many samples of the mean are mixed into each. */
    private static final double SHRINK_SAMPLES = 5;
    /** Answers should take a fifth of the aim: the rest is for waiting here, a second try and long work. */
    private static final double BUDGET_OF_AIM = 0.2;
    /** At half the aim, a second try still fits into what is left. */
    private static final double PATIENCE_OF_AIM = 0.5;
    /** An attempt out for so much of its aim is lost if later ones were answered; a second try may be in time. */
    private static final double OVERTAKEN_OF_AIM = 0.6;
    /** The most of its aim that work is thought to need: a fresh request always has a hope. */
    private static final double MOST_OF_AIM = 0.9;
    /** In flight at one server from all gateways: one in work, one on its way, one waiting; one at first. */
    private static final double LEAST_IN_FLIGHT = 3;

    private static final double FIRST_IN_FLIGHT = 1;
    /** A Poisson count rarely lies so many of its deviations above its mean. */
    private static final double CHANCE_DEVIATIONS = 2;
    /** Weight of the newest answer in a server's health: about the last five count. */
    private static final double HEALTH_RATE = 0.2;
    /** Two failures among the last five are no chance; the memory outlasts some trials. */
    private static final double FAILING = 0.3;

    private static final double SURE = 0.85;
    private static final double FAILURE_MEMORY_NANOS = 20e9;
    /** A server that gave errors to more of a class's last requests than not can't serve this class. */
    private static final double FAILS_CLASS = 0.5;
    /** A doubtful server gets one request in so much time from all gateways, to notice its recovery. */
    private static final long TRIAL_NANOS = 1_000_000_000L;
    /** Part of what the cold rule allows that is used: other gateways and long work need the rest. */
    private static final double COLD_SAFETY = 0.5;
    /** Tries after a failure: one for ten requests, so that no storm can grow. */
    private static final double EXTRA_PER_REQUEST = 0.1;

    private static final double MOST_EXTRA = 10;
    /** A late answer adds so much pressure and one in time takes it off: it settles where half are late. */
    private static final double PRESSURE_STEP = 0.1;
    /** Up to 1 the zones share the load, from there on some is shed; chance alone must not shed. */
    private static final double ZONES_OPEN = 1;

    private static final double CALM = 0.9;
    /**
     * The least part of its share that another zone's server gets, and the least that is admitted, of the best and of
     * any.
     */
    private static final double LEAST_CROSSING = 1e-3;

    private static final double LEAST_ADMITTED = 0.05;
    private static final double LEAST_OF_ANY = 0.01;
    /**
     * The part of its share that a server of another gateway's portion gets: it is drawn on when none of the own is
     * free.
     */
    private static final double LEAST_REACH = 1e-3;
    /** With each request that others have out at a server, it is so much less likely to be drawn. */
    private static final double CROWDED = 0.25;
    /** Messages are so far apart at least, and what hasn't changed is said again after so long. */
    private static final long TELL_NANOS = 20_000_000L;

    private static final long REPEAT_NANOS = 250_000_000L;
    /** So much time has to be seen before arrivals tell a rate. */
    private static final long LEAST_SEEN_NANOS = 50_000_000L;
    /** How often held requests are looked at; short against any aim. */
    private static final long SWEEP_NANOS = 10_000_000L;
    /**
     * How often those that are out are looked at while none is held, in parts of the shortest aim and of its long work.
     */
    private static final double CALM_SWEEP_OF_AIM = 0.05;
    /** What pressure loses in a tick that brought no answer: what shuts all out is open again within two. */
    private static final double RELAX_PER_TICK = 0.6;
    /** Time-outs this near to each other, in parts of the deadline, are one: the way here takes some time. */
    private static final double SAME_TIME_OUT = 0.02;
    /** Votes for the usual time-out that count, and answers until a class's mean is known. */
    private static final int MOST_VOTES = 40;

    private static final int LEAST_SAMPLES = 20;
    /** What a tick leaves of the counts by which classes are compared: they are about the last minute's. */
    private static final double KEPT_OF_COUNTS = 0.98;

    private static final double MEAN_SAMPLES = 100;
    private static final double SECOND_NANOS = 1e9;
    private static final long STEP_TOKEN = 1;
    private static final long SWEEP_TOKEN = 2;
    private static final long ASK_TOKEN = 3;

    private final Settings settings;
    private final PolicyParameters rules;
    private final Actions actions;
    private final SplittableRandom random;
    private final long sweepNanos;
    private final Map<String, Kind> kinds = new LinkedHashMap<>();
    /** The classes that a server has failed at. */
    private final Set<Kind> erring = new LinkedHashSet<>();

    private final Map<String, Quota> quotas = new HashMap<>();
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final List<Server> ready = new ArrayList<>();
    private final Map<String, Request> open = new LinkedHashMap<>();
    private final LinkedHashSet<Request> held = new LinkedHashSet<>();
    private final Map<Integer, Server> byCode = new HashMap<>();
    private final Map<Integer, Heard> peers = new LinkedHashMap<>();
    private byte[] told = {};
    private long toldAt;
    private double total = 1;
    private double lateness;
    private double warmRate;
    private double extra;
    private double pressure;
    private double leastPressure;
    private double bestValue;
    private double asked;
    private double sent;
    private int gateways;
    private int inFlight;
    private int inDoubt;
    private int arrivals;
    private int answers;
    private int refusals;
    private int failedAsks;
    private long now;
    private long heardUpTo;
    private long tickStart;
    private long calmSweepNanos;
    private long sweepAt = Long.MAX_VALUE;
    private long endsAt = Long.MAX_VALUE;
    private List<RequestClass> classesTaken = List.of();
    private boolean started;

    /** A gateway that has just started and knows its settings alone. */
    public LoadBalancer(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        rules = settings.parameters();
        gateways = settings.gatewayCount();
        extra = mostExtra();
        random = new SplittableRandom(seed);
        sweepNanos = Math.max(settings.timerResolutionNanos(), SWEEP_NANOS);
        takeClasses(settings.classes());
        for (Tenant t : settings.tenants()) {
            double part = t.quotaPerSecond() / gateways;
            quotas.put(t.name(), new Quota(part, new Bucket(part, 0)));
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
            actions.setTimer((long) (TICK_NANOS * (1 - random.nextDouble())), STEP_TOKEN);
            if (settings.subscribe()) {
                actions.subscribe();
            }
        }
        if (event instanceof RequestArrived e) {
            arrived(e);
        } else if (event instanceof AttemptEnded e) {
            ended(e);
        } else if (event instanceof TimerFired e) {
            heardUpTo = now - e.queueingDelayNanos();
            timer(e.token());
        } else if (event instanceof ServerListReceived e) {
            list(e);
        } else if (event instanceof ClientDisconnected e && open.containsKey(e.id())) {
            conclude(open.get(e.id()));
        } else if (event instanceof StreamStarted e && open.containsKey(e.id())) {
            open.get(e.id()).streaming = true;
        } else if (event instanceof PeerMessageReceived e) {
            heard(e);
        } else if (event instanceof Reconfigured e) {
            reconfigured(e);
        } else if (event instanceof ShutdownStarted e) {
            endsAt = now + e.answerWithinNanos();
        }
    }

    private void takeClasses(List<RequestClass> classes) {
        if (classes == classesTaken) {
            return;
        }
        classesTaken = classes;
        Map<String, Kind> known = new HashMap<>(kinds);
        kinds.clear();
        for (RequestClass c : classes) {
            Kind kind = known.getOrDefault(c.name(), new Kind(c, c.targetNanos() * BUDGET_OF_AIM));
            kind.spec = c;
            kinds.put(c.name(), kind);
        }
        erring.retainAll(kinds.values());
        rankClasses();
        double aim = kinds.values().stream()
                .mapToLong(k -> k.spec.targetNanos())
                .min()
                .orElse(0);
        calmSweepNanos = settings.permissions().peerMessages()
                ? sweepNanos
                : Math.max(sweepNanos, (long) (aim * CALM_SWEEP_OF_AIM * rules.overdueFactor()));
    }

    /** What the best of the classes is worth for its work; with {@link #took} between, looked for once a tick. */
    private void rankClasses() {
        bestValue = 0;
        for (Kind k : kinds.values()) {
            bestValue = Math.max(bestValue, k.spec.value() / k.latency);
        }
    }

    /** A new version in the middle of a tick: shares, samples and limits stay as they are. */
    private void reconfigured(Reconfigured e) {
        takeClasses(e.classes());
        for (Request r : open.values()) {
            Kind kind = kinds.get(r.kind.spec.name());
            if (kind != null) {
                restrict(r, kind.spec);
            }
        }
        gateways = e.gatewayCount();
        cutPortions();
        dispatch();
        sweepLater();
    }

    /**
     * Guards against a version that comes amid a request allowing more than its route did when it came: a further host,
     * a second run of what must not run twice, or a promise that it never ran.
     */
    void restrict(Request r, RequestClass version) {
        r.tries = Math.min(r.tries, version.maxAttempts());
        if (version.idempotency().compareTo(r.strictest.idempotency()) > 0) {
            r.strictest = version;
        }
    }

    private void timer(long token) {
        if (token == STEP_TOKEN) {
            // Before the step: a fault in one must not be the last.
            actions.setTimer(TICK_NANOS, STEP_TOKEN);
            step();
        } else if (token == SWEEP_TOKEN) {
            sweepAt = now >= sweepAt ? Long.MAX_VALUE : sweepAt;
            try {
                sweep();
            } finally {
                sweepLater();
            }
        } else if (token == ASK_TOKEN) {
            actions.subscribe();
        }
    }

    private void arrived(RequestArrived e) {
        Kind kind = kinds.get(e.requestClass());
        if (kind == null) {
            throw new IllegalArgumentException("requestClass: unknown class " + e.requestClass());
        }
        // Guards against owing an answer past the gateway's end, where nobody could give it.
        long deadline = Math.min(now + e.expiresInNanos(), endsAt);
        Request r = new Request(e.id(), kind, overShare(e.tenant()), firstAsked(e, kind), deadline);
        // Guards against holding a request past its time-out by the time that it lay here, unread.
        r.waitsUntil = Math.min(now + e.expiresInNanos() - e.queueingDelayNanos(), endsAt);
        open.put(r.id, r);
        arrivals++;
        kind.asked++;
        asked++;
        extra = Math.min(mostExtra(), extra + EXTRA_PER_REQUEST);
        r.value = value(r);
        if (shed(r)) {
            finish(r, Reason.SHED);
        } else {
            place(r);
        }
        sweepLater();
    }

    /** Guards against answering all and nothing in time: least worth for its work is shed first. */
    private boolean shed(Request r) {
        if (starved(r.kind)) {
            return false;
        }
        double rank = bestValue / Math.max(r.value, Double.MIN_NORMAL);
        double admitted = 1 + ZONES_OPEN - pressure;
        // Guards against a class of which none is ever admitted, and so none teaches that there is room again.
        double least = sparse() ? leastAdmitted() : LEAST_OF_ANY;
        return admitted < 1 && random.nextDouble() >= Math.max(least, Math.pow(admitted, Math.max(1, rank)));
    }

    /**
     * Guards against a class of which nearly nothing is served while a burst of another, worth more for its work, takes
     * all that there is: of each goes out a part of what goes out of all.
     */
    private boolean starved(Kind kind) {
        return rules.minClassFraction() > 0 && kind.sent + 1 < rules.minClassFraction() * kind.asked * sent / asked;
    }

    /** Worth for work: less of it outside the tenant's share, or when it can only be answered late. */
    private double value(Request r) {
        RequestClass c = r.kind.spec;
        double part = hopeless(r) ? c.lateValue() : r.overShare ? settings.overQuotaValue() : 1;
        return part * c.value() / r.kind.latency;
    }

    /** Half the answers taking half their aim means more work than the servers drawn on can do in time. */
    private void feel(Kind kind, Outcome outcome, long elapsedNanos) {
        boolean late = outcome != Outcome.SERVED || elapsedNanos > kind.spec.targetNanos() * PATIENCE_OF_AIM;
        pressure = Math.max(
                leastPressure,
                Math.min(1 + ZONES_OPEN - leastAdmitted(), pressure + (late ? PRESSURE_STEP : -PRESSURE_STEP)));
    }

    /** Guards against a gateway of little traffic that sheds nearly all and so is long in learning that it need not. */
    private double leastAdmitted() {
        double perSecond = warmRate() * ready.size();
        return sparse()
                ? Math.max(LEAST_ADMITTED, Math.min(1, LEAST_SAMPLES / Math.max(1, perSecond)))
                : LEAST_ADMITTED;
    }

    /**
     * Guards against serving a client's repeat whose aim passed with its first try. Such a repeat has what is left of
     * the deadline; first tries have one time-out, which most requests share.
     */
    private long firstAsked(RequestArrived e, Kind kind) {
        long deadline = kind.spec.deadlineNanos();
        // A vote finds the time-out that more than a third agree on, in one pass and without a list of them.
        if (Math.abs(e.expiresInNanos() - kind.usualTimeOut) <= deadline * SAME_TIME_OUT) {
            kind.votes = Math.min(MOST_VOTES, kind.votes + 2);
            return now;
        } else if (--kind.votes < 0) {
            kind.usualTimeOut = e.expiresInNanos();
            kind.votes = 0;
        }
        return kind.votes > MOST_VOTES / 2 ? now + e.expiresInNanos() - deadline : now;
    }

    private boolean overShare(String tenant) {
        Quota q = quotas.get(tenant);
        return q != null && !q.bucket().take(now, q.perSecond() / SECOND_NANOS, q.perSecond());
    }

    /** Guards against losing a request that has less time left than the next sweep is away. */
    private void place(Request r) {
        held.add(r);
        dispatch();
        if (r.outstanding == 0 && !r.concluded && endsBeforeSweep(r)) {
            finish(r, Reason.NO_ROOM_IN_TIME);
        }
    }

    /**
     * The gateway's end counts too: guards against leaving what waits without an answer, where nobody could give it
     * later.
     */
    private boolean endsBeforeSweep(Request r) {
        return now + 2 * sweepNanos >= Math.min(r.waitsUntil, endsAt);
    }

    /**
     * Too late to be answered within the aim, even if it were sent now. Guards against giving up on a class for good
     * after a time in which its mean answer took longer than its aim: with all of its requests shed, no answer would
     * ever tell that this time is over.
     */
    private boolean hopeless(Request r) {
        double aim = r.kind.spec.targetNanos();
        double needs = Math.min(aim * MOST_OF_AIM, Math.max(r.kind.latency, aim * PATIENCE_OF_AIM));
        return now + needs > r.arrivedAt + aim;
    }

    /**
     * Sends what is held while a server has room: what is of a starved class, then best worth for its work first and,
     * guarding against sending in overload only what is about to miss its aim, the newest of these first.
     */
    private void dispatch() {
        boolean sends = true;
        while (sends && !held.isEmpty()) {
            Request starved = best(true);
            sends = (starved != null && sendWhereRoom(starved)) || sendWhereRoom(best(false));
        }
    }

    /** Of the requests that are held, or of those among them whose class is starved; null where there is none. */
    private Request best(boolean ofStarved) {
        Request best = null;
        for (Request r : held) {
            if ((best == null || r.value >= best.value) && (!ofStarved || starved(r.kind))) {
                best = r;
            }
        }
        return best;
    }

    private boolean sendWhereRoom(Request r) {
        Server s = draw(r);
        if (s != null) {
            held.remove(r);
            send(r, s);
        }
        return s != null;
    }

    /** A server at random in proportion to share x gates, or null where none may take the request now. */
    private Server draw(Request r) {
        Server drawn = null;
        double sum = 0;
        double limits = 0;
        boolean sparse = sparse();
        boolean may = maySend(r);
        for (Server s : ready) {
            double cold = coldGate(s);
            limits += s.limit * cold;
            double room = may ? roomGate(s, cold) : 0;
            if (room > 0 && s.ready && coldBudget(s) >= 1 && effectAllows(r, s) && !r.wasAt(s)) {
                double gates = room
                        * cold
                        * healthGate(s)
                        * classGate(r.kind, s)
                        * zoneGate(s)
                        * (sparse ? portionGate(s) * crowdGate(s) : 1);
                double weight = s.share * gates;
                sum += weight;
                drawn = weight > 0 && random.nextDouble() * sum < weight ? s : drawn;
            }
        }
        total = limits;
        // Guards against holding back chance crowding: a part of the traffic crowds more than the whole.
        double chance = CHANCE_DEVIATIONS * Math.sqrt(limits) * (1 - 1.0 / gateways);
        return inFlight > 0 && inFlight >= limits + chance ? null : drawn;
    }

    /** Guards against crossing zones for nothing: falls while own zone answers most within half their aim. */
    private double zoneGate(Server s) {
        return near(s) ? 1 : Math.max(LEAST_CROSSING, Math.min(1, pressure));
    }

    /**
     * Guards against sparse samples and blind crowding on a large fleet: where a gateway meets each server less often
     * than a step needs, every one of many gateways would spread thin over all, and none would know what a server
     * holds. Each then keeps to a portion of the fleet's capacity, and goes beyond while that has no room.
     */
    private double portionGate(Server s) {
        return Math.max(LEAST_REACH, s.portion);
    }

    /** Guards against sending where other gateways' requests already wait: falls with what they said is out there. */
    private double crowdGate(Server s) {
        return s.elsewhere == 0 ? 1 : s.elsewhere >= LEAST_IN_FLIGHT ? 0 : Math.pow(CROWDED, s.elsewhere);
    }

    /** Tells the other gateways what is out at which server, when that has changed, and anew after a while. */
    private void tellPeers() {
        if (!settings.permissions().peerMessages() || !sparse() || now < toldAt + TELL_NANOS) {
            return;
        }
        byte[] counts = InFlightReport.write(ready);
        if (now >= toldAt + REPEAT_NANOS || !Arrays.equals(counts, told)) {
            told = counts;
            toldAt = now;
            actions.sendToPeers(counts);
        }
    }

    private void heard(PeerMessageReceived e) {
        forget(peers.remove(e.gateway()));
        Heard heard = new Heard(now, InFlightReport.read(e.body(), byCode));
        heard.counts().forEach((s, n) -> s.elsewhere += n);
        peers.put(e.gateway(), heard);
    }

    private static void forget(Heard old) {
        if (old != null) {
            old.counts().forEach((s, n) -> s.elsewhere -= n);
        }
    }

    /** Guards against believing for ever what a gateway said that has died since. */
    private void forgetSilentPeers() {
        peers.values().removeIf(heard -> {
            boolean old = now - heard.at() > 2 * REPEAT_NANOS;
            if (old) {
                forget(heard);
            }
            return old;
        });
    }

    /**
     * What this gateway may take of what all together may send to the server: an equal part or, where samples are
     * sparse, half of it by portion. The other half guards against leaving out a server whose gateway is gone.
     */
    private double part(Server s) {
        double equal = 1.0 / gateways;
        return sparse() ? (s.portion + equal) / 2 : equal;
    }

    /**
     * Fewer samples of a server in a tick than make a mean of its own; before the first tick's end, by what has come.
     */
    private boolean sparse() {
        if (settings.gatewayIndex() < 0) {
            return false;
        }
        double seconds = Math.max(LEAST_SEEN_NANOS, now - tickStart) / SECOND_NANOS;
        double rate = warmRate > 0 ? warmRate : arrivals / (seconds * Math.max(1, ready.size()));
        return rate * TICK_NANOS < SHRINK_SAMPLES * SECOND_NANOS;
    }

    /**
     * Cuts the ready servers, in an order by chance that is the same at all gateways, into one stretch of equal
     * capacity for each gateway. A server on a border belongs to both sides in part.
     */
    private void cutPortions() {
        if (settings.gatewayIndex() < 0) {
            return;
        }
        List<Server> order = new ArrayList<>(ready);
        order.sort(Comparator.<Server>comparingLong(s -> mixed(s.info.id())).thenComparing(s -> s.info.id()));
        double capacity = order.stream().mapToDouble(s -> s.info.capacityHint()).sum();
        double from = capacity * settings.gatewayIndex() / gateways;
        double to = from + capacity / gateways;
        double at = 0;
        for (Server s : order) {
            double next = at + s.info.capacityHint();
            s.portion = Math.max(0, Math.min(to, next) - Math.max(from, at)) / Math.max(Double.MIN_NORMAL, next - at);
            at = next;
        }
    }

    /** A number by chance that only the id decides. */
    private static long mixed(String id) {
        return new SplittableRandom(id.hashCode()).nextLong();
    }

    private boolean near(Server s) {
        return s.info.zone().equals(settings.zone());
    }

    /** Guards against choking: falls where the attempts in flight reach the limit that adapt() sets. */
    private double roomGate(Server s, double cold) {
        return Math.min(1, s.inFlight == 0 ? s.limit * ready.size() / total : s.limit * cold - s.inFlight);
    }

    /** Guards against toppling a server after its start: rises as its capacity does, at the slowest. */
    private double coldGate(Server s) {
        long age = now - s.info.startedAtNanos();
        if (s.info.startedAtNanos() == 0 || age >= rules.slowStartNanos()) {
            return 1;
        }
        return rules.slowStartInitialFraction()
                + (1 - rules.slowStartInitialFraction()) * Math.max(0, age) / rules.slowStartNanos();
    }

    /**
     * Guards against silent servers, and fast errors, which would gain share: such a server gets one request a trial
     * time from all gateways, even if it alone has room. Where most are doubtful, only those stay so that fail nearly
     * always (a lost zone); where all are, none.
     */
    private double healthGate(Server s) {
        boolean serves = 2 * inDoubt > ready.size() && (inDoubt == ready.size() || failures(s) < SURE);
        return now >= s.trialAt || serves || !doubtful(s) ? 1 : 0;
    }

    /**
     * Guards against servers that fail one class and serve the others, which among all their answers hide it: a part of
     * them that is broken, a release that can't do it, a store behind them that is gone. Only errors count, a server's
     * own word, as slowness and crowding have other causes. It could do harm where the few that still serve a class
     * can't bear all of it; where none does, all are tried.
     */
    private double classGate(Kind kind, Server s) {
        ClassHealth h = s.classes.get(kind);
        return h == null || now >= h.trialAt || kind.failsEverywhere || !fails(s, kind) ? 1 : 0;
    }

    private double errors(ClassHealth h) {
        return h.errors == 0 ? 0 : h.errors * Math.exp((h.errorsAt - now) / FAILURE_MEMORY_NANOS);
    }

    /** This class and not all: what fails at every class is {@link #healthGate}'s. */
    private boolean fails(Server s, Kind kind) {
        ClassHealth h = s.classes.get(kind);
        return h != null
                && errors(h) >= FAILS_CLASS
                && s.classes.values().stream().anyMatch(o -> errors(o) < FAILING);
    }

    private boolean doubtful(Server s) {
        return s.silent || failures(s) >= FAILING;
    }

    /** The guard that every send passes, wherever it goes: further tries, and none past the end. */
    private boolean maySend(Request r) {
        return !r.concluded
                && !r.streaming
                && now < r.waitsUntil
                && r.attempts.size() < mostAttempts(r)
                && r.outstanding == 0;
    }

    private int mostAttempts(Request r) {
        return Math.min(Math.min(settings.permissions().maxAttempts(), r.tries), Long.SIZE - 1);
    }

    private boolean effectAllows(Request r, Server s) {
        RequestClass c = r.strictest;
        Attempt first = r.firstThatMayRun();
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
    private static boolean mayRefuse(Request r) {
        RequestClass c = r.strictest;
        return c.idempotency() == Idempotency.SAFE
                || r.firstThatMayRun() == null
                || (c.idempotency() == Idempotency.KEYED && c.dedupScope() == DedupScope.ALL);
    }

    /** Requests that may go to a cold server now, by what a warm one was seen to bear. */
    private double coldBudget(Server s) {
        double gate = coldGate(s);
        if (gate >= 1) {
            return 1;
        }
        double fleetRate = warmRate() * gateways;
        double perNano = COLD_SAFETY * rules.overloadFactor() * gate * fleetRate * part(s) / SECOND_NANOS;
        return s.cold.refill(now, perNano, Math.max(1, perNano * rules.overloadWindowNanos() / 2));
    }

    private double warmRate() {
        double seconds = Math.max(1, (now - tickStart) / SECOND_NANOS);
        return Math.max(warmRate, arrivals / (seconds * Math.max(1, ready.size())));
    }

    private void send(Request r, Server s) {
        Attempt a = new Attempt(r, s, r.attempts.size(), now);
        r.attempts.add(a);
        if (a.number() == 0) {
            r.kind.sent++;
            sent++;
        }
        r.outstanding++;
        s.waiting.add(a);
        s.inFlight++;
        inFlight++;
        s.cold.tokens--;
        s.trialAt = now + (long) Math.min(FAILURE_MEMORY_NANOS, TRIAL_NANOS / part(s));
        if (s.classes.containsKey(r.kind)) {
            s.classes.get(r.kind).trialAt = s.trialAt;
        }
        actions.send(r.id, s.info.id(), r.deadline - now);
    }

    private void ended(AttemptEnded e) {
        Request r = open.get(e.id());
        Attempt a = r == null || e.attempt() >= r.attempts.size() ? null : r.attempts.get(e.attempt());
        if (a == null || a.ended()) {
            return;
        }
        r.ended |= 1L << a.number();
        r.neverRan |= (e.outcome().provesNotExecuted() ? 1L : 0) << a.number();
        r.outstanding--;
        if ((r.lost >> a.number() & 1) == 0) {
            a.server().inFlight--;
            inFlight--;
        }
        if (e.outcome() != Outcome.NOT_SENT) {
            // Guards against judging a server by the time that its answer lay here, unread.
            learn(a, e.outcome(), Math.max(0, e.elapsedNanos() - e.queueingDelayNanos()));
        }
        if (e.concluded() || r.concluded) {
            conclude(r);
        } else if (r.outstanding == 0) {
            tryAgain(r, e.outcome());
        }
        dispatch();
    }

    /** A further try; one that may repeat work comes out of the budget. {@link #maySend} decides where to. */
    private void tryAgain(Request r, Outcome outcome) {
        boolean arrived = outcome == Outcome.FULL && rules.totalRetryBudget() > 0;
        double cost = outcome.provesNotExecuted() && !arrived ? 0 : 1;
        Reason obstacle = obstacle(r, cost);
        if (obstacle == null) {
            extra -= cost;
            place(r);
        } else {
            finish(r, obstacle);
        }
    }

    /** Why a request gets no further try that costs this much of the budget; null where it may have one. */
    private Reason obstacle(Request r, double cost) {
        if (r.strictest.idempotency() == Idempotency.UNSAFE && r.firstThatMayRun() != null) {
            return Reason.MAY_HAVE_RUN;
        } else if (now >= r.waitsUntil) {
            return Reason.OUT_OF_TIME;
        } else if (r.attempts.size() >= mostAttempts(r)) {
            return Reason.NO_TRIES_LEFT;
        }
        return extra < cost ? Reason.NO_RETRY_BUDGET : null;
    }

    /** Guards against a storm that all gateways make together: each saves up its part, and is safe when cut off. */
    private double mostExtra() {
        return rules.totalRetryBudget() > 0 ? Math.max(1, rules.totalRetryBudget() / gateways) : MOST_EXTRA;
    }

    private void finish(Request r, Reason reason) {
        if (mayRefuse(r)) {
            refusals++;
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
                    && (r.calledOff >> a.number() & 1) == 0
                    && settings.permissions().cancel()
                    && !r.streaming) {
                actions.cancel(r.id, a.number());
            }
        }
        r.concluded = true;
        held.remove(r);
        if (r.outstanding == 0) {
            open.remove(r.id);
        }
    }

    private void learn(Attempt a, Outcome outcome, long elapsedNanos) {
        answers++;
        Server s = a.server();
        Kind kind = a.request().kind;
        boolean served = outcome == Outcome.SERVED;
        // Guards against a mix of long and short classes passing for a slow or a fast server.
        s.tick.add(sample(kind, outcome, elapsedNanos) / kind.latency, 1);
        if (served) {
            took(kind, elapsedNanos);
        }
        boolean inTime = elapsedNanos <= kind.spec.targetNanos();
        if ((inTime || !rare()) && (served || outcome == Outcome.ERROR || outcome == Outcome.FULL)) {
            s.answeredAt = now;
            s.answeredSentAt = Math.max(s.answeredSentAt, a.sentAt());
            s.silent = false;
        }
        if (outcome != Outcome.CANCELLED && outcome != Outcome.FULL) {
            double before = failures(s);
            s.failures = before + HEALTH_RATE * ((served ? 0 : 1) - before);
            s.failuresAt = now;
        }
        if (served || outcome == Outcome.ERROR) {
            ClassHealth h = s.classes.computeIfAbsent(kind, k -> new ClassHealth());
            double before = errors(h);
            h.errors = before + HEALTH_RATE * ((served ? 0 : 1) - before);
            h.errorsAt = now;
            if (!served) {
                erring.add(kind);
            }
        }
        if (served || outcome == Outcome.FULL || outcome == Outcome.TIMED_OUT || outcome == Outcome.CANCELLED) {
            feel(kind, outcome, elapsedNanos);
            adapt(s, outcome == Outcome.FULL ? 2 : elapsedNanos / budget(kind));
        }
    }

    /** Guards against fast failures, which would pass for fast answers and gain share. */
    private static double sample(Kind kind, Outcome outcome, long elapsedNanos) {
        boolean whole = outcome == Outcome.SERVED || outcome == Outcome.CANCELLED;
        return whole ? elapsedNanos : Math.max(elapsedNanos, kind.spec.minFailureLatencyNanos());
    }

    /** The class's mean over about the last hundred answers, and the least it has been once known. */
    private void took(Kind kind, long nanos) {
        kind.served++;
        kind.latency += (nanos - kind.latency) * Math.max(1 / MEAN_SAMPLES, 1.0 / kind.served);
        kind.calmest = kind.served < LEAST_SAMPLES ? kind.latency : Math.min(kind.calmest, kind.latency);
        bestValue = Math.max(bestValue, kind.spec.value() / kind.latency);
    }

    /** Guards against aims that are short for the work: never below the mean answer at the calmest. */
    private static double budget(Kind kind) {
        double aim = kind.spec.targetNanos();
        return Math.max(aim * BUDGET_OF_AIM, Math.min(aim * PATIENCE_OF_AIM, kind.calmest));
    }

    private double failures(Server s) {
        return s.failures == 0 ? 0 : s.failures * Math.exp((s.failuresAt - now) / FAILURE_MEMORY_NANOS);
    }

    /**
     * Moves the in-flight limit by the lateness of answers; where they are rare, by the fleet's. Guards against limits
     * that rise unused in calm times and choke what is left when a zone is lost.
     */
    private void adapt(Server s, double late) {
        s.lateness += HEALTH_RATE * (late - s.lateness);
        lateness += HEALTH_RATE / 4 * (late - lateness);
        double own = Math.min(1, s.limit);
        double seen = own * s.lateness + (1 - own) * lateness;
        if (seen > 1) {
            double lower = s.limit - own * Math.min(1, seen - 1) / 2;
            s.limit = Math.max(LEAST_IN_FLIGHT / gateways, lower);
        } else if (s.inFlight + 1 >= s.limit - 1 && inFlight + 1 >= total) {
            s.limit += own / Math.max(1, s.limit);
        }
    }

    /** Often while something is held, else so often that what is overdue is found in time. */
    private void sweepLater() {
        long wait = held.isEmpty() ? calmSweepNanos : sweepNanos;
        if (!open.isEmpty() && now + wait < sweepAt) {
            sweepAt = now + wait;
            actions.setTimer(wait, SWEEP_TOKEN);
        }
    }

    private void sweep() {
        tellPeers();
        forgetSilentPeers();
        inDoubt = 0;
        for (Server s : ready) {
            listen(s);
            inDoubt += doubtful(s) ? 1 : 0;
        }
        erring.forEach(k -> k.failsEverywhere = ready.stream().allMatch(s -> fails(s, k)));
        for (Request r : List.copyOf(held)) {
            r.value = value(r);
            if (endsBeforeSweep(r)) {
                finish(r, Reason.NO_ROOM_IN_TIME);
            } else if (hopeless(r) && r.kind.spec.lateValue() == 0) {
                finish(r, Reason.TOO_LATE_TO_COUNT);
            }
        }
        dispatch();
    }

    /**
     * Guards against a silent server before time-outs tell: overdue attempts and no answer since. What came after
     * {@code heardUpTo} lies here unread: while this gateway was held up itself, no server was silent.
     */
    private void listen(Server s) {
        if (s.waiting.isEmpty()) {
            return;
        }
        int overdue = 0;
        double slowness = Math.max(1, lateness);
        for (Iterator<Attempt> i = s.waiting.iterator(); i.hasNext(); ) {
            Attempt a = i.next();
            if (a.ended()) {
                i.remove();
                continue;
            }
            // Guards against calling off long work, which would only begin anew elsewhere.
            double outOfAim = (heardUpTo - a.sentAt())
                    / (slowness * rules.overdueFactor() * a.request().kind.spec.targetNanos());
            boolean atSilent = s.silent && rules.overdueFactor() > 1;
            if (outOfAim > OVERTAKEN_OF_AIM && (a.sentAt() < s.answeredSentAt || atSilent)) {
                lose(a);
                if (!mayCallOff(a.request())) {
                    i.remove();
                } else if (canGoElsewhere(a.request())) {
                    i.remove();
                    a.request().calledOff |= 1L << a.number();
                    actions.cancel(a.request().id, a.number());
                }
            } else if (outOfAim > PATIENCE_OF_AIM && a.sentAt() >= s.answeredAt) {
                overdue++;
            }
        }
        if (overdue >= (rare() ? 1 : 2) && !s.silent) {
            s.silent = true;
            actions.log("server " + s.info.id() + " is silent: no answer to " + overdue + " attempts");
        }
    }

    /**
     * Guards against answers that never come, while later ones do: such an attempt would hold a place at its server
     * until its time-out, and two of them all places; equally against work that is stuck in a server. Where it may run
     * again it is called off once it can be tried again. It could do harm where work differs so much that long requests
     * are overtaken as a rule: they would be run twice, within the budget for tries.
     */
    private void lose(Attempt a) {
        Request r = a.request();
        if ((r.lost >> a.number() & 1) == 0) {
            r.lost |= 1L << a.number();
            a.server().inFlight--;
            inFlight--;
        }
    }

    private boolean mayCallOff(Request r) {
        return r.strictest.idempotency() == Idempotency.SAFE
                && settings.permissions().cancel()
                && !r.concluded
                && !r.streaming;
    }

    /**
     * Guards against breaking off what a server may be at work on only to answer here in its place; near its own end a
     * gateway breaks off nothing, as then there may be nobody to try again.
     */
    private boolean canGoElsewhere(Request r) {
        return endsAt == Long.MAX_VALUE
                && now < r.waitsUntil
                && r.attempts.size() < mostAttempts(r)
                && extra >= 1
                && ready.stream().anyMatch(s -> !r.wasAt(s) && healthGate(s) > 0 && roomGate(s, coldGate(s)) > 0);
    }

    /** Whether this gateway has under one request for a server in a tick, and so seldom two out at one. */
    private boolean rare() {
        return warmRate() * TICK_NANOS < SECOND_NANOS;
    }

    /** Algorithm 1: D_j *= 1 + eta F_j |l_mean - l_j| / l_mean, where F_j |l_mean - l_j| = l_mean - l_j. */
    private void step() {
        Map<String, Pool> pools = new LinkedHashMap<>();
        Pool fleet = new Pool();
        for (Server s : ready) {
            pools.computeIfAbsent(s.likes, k -> new Pool()).add(s.tick.sum, s.tick.samples);
            fleet.add(s.tick.sum, s.tick.samples);
        }
        // With fewer samples than make a mean of its own, a server without one moves as those like it do.
        boolean few = fleet.samples < SHRINK_SAMPLES * ready.size();
        double mean = 0;
        int counted = 0;
        for (Server s : ready) {
            Pool like = pools.get(s.likes);
            s.sampled = s.tick.samples > 0 || (few && like.samples > 0);
            if (s.sampled) {
                s.latency = s.tick.mixed(like.mixed(fleet.mean(), SHRINK_SAMPLES), SHRINK_SAMPLES);
                mean += s.latency;
                counted++;
            }
            s.tick = new Pool();
        }
        mean /= Math.max(1, counted);
        for (Server s : ready) {
            if (s.sampled && mean > 0) {
                s.share *= Math.max(LEAST_FACTOR, 1 + ETA * (mean - s.latency) / mean);
            }
        }
        normalise();
        if (refusals > 0) {
            actions.log("refused " + refusals + " requests in this tick, " + arrivals + " came");
        }
        warmRate = Math.max(warmRate * 0.95, warmRate());
        rankClasses();
        relax();
        fadeCounts();
        arrivals = 0;
        answers = 0;
        refusals = 0;
        tickStart = now;
    }

    /**
     * Guards against shutting out for good. What is refused teaches nothing, and a gateway of little traffic that
     * admits a twentieth of it would be minutes in learning that it need not: the fewer answers a tick brought, the
     * more of the pressure is no longer known to be there.
     */
    private void relax() {
        double known = Math.min(1, (double) answers / LEAST_SAMPLES);
        pressure = Math.max(leastPressure, pressure - RELAX_PER_TICK * (1 - known));
    }

    private void fadeCounts() {
        asked *= KEPT_OF_COUNTS;
        sent *= KEPT_OF_COUNTS;
        for (Kind k : kinds.values()) {
            k.asked *= KEPT_OF_COUNTS;
            k.sent *= KEPT_OF_COUNTS;
        }
    }

    private void normalise() {
        double sum = ready.stream().mapToDouble(s -> s.share).sum();
        for (Server s : ready) {
            s.share = sum > 0 ? Math.max(s.share / sum, LEAST_SHARE / ready.size()) : 1.0 / ready.size();
        }
    }

    private void list(ServerListReceived e) {
        failedAsks = e.kind() == ServerListKind.FAILED ? failedAsks + 1 : 0;
        if (e.kind() == ServerListKind.FAILED) {
            // Guards against failing list calls: asks again, with jitter, before the list counts as told.
            double backoff = SECOND_NANOS / 5 * (1 << Math.min(failedAsks, 8));
            double wait = Math.min(rules.resubscribeWithinNanos() / 2.0, backoff);
            actions.setTimer((long) (wait * (1 + random.nextDouble()) / 2), ASK_TOKEN);
            return;
        }
        if (e.kind() != ServerListKind.CHANGES) {
            servers.values().forEach(s -> s.ready = false);
        }
        double mean = ready.stream().mapToDouble(s -> s.share).average().orElse(1);
        // Guards against holding back the whole traffic when all servers are replaced one by one.
        double first = Math.max(
                FIRST_IN_FLIGHT / gateways,
                ready.stream().mapToDouble(s -> s.limit).average().orElse(0));
        for (ServerInfo info : e.servers()) {
            Server s = servers.get(info.id());
            if (s == null || s.info.startedAtNanos() != info.startedAtNanos()) {
                Bucket cold = new Bucket(random.nextDouble(), now);
                s = new Server(cold, mean, first);
                servers.put(info.id(), s);
            }
            s.info = info;
            s.likes = info.zone() + ' ' + info.machineType();
            s.ready = info.readiness() == Readiness.READY;
        }
        // Guards against remembering for ever each machine that was once in the list.
        servers.values().removeIf(s -> !s.ready);
        ready.clear();
        ready.addAll(servers.values());
        byCode.clear();
        ready.forEach(s -> byCode.put(InFlightReport.code(s.info.id()), s));
        cutPortions();
        leastPressure = ready.stream().allMatch(this::near) ? CALM : 0;
        normalise();
        dispatch();
        sweepLater();
    }
}
