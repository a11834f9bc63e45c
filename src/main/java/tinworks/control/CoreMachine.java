package tinworks.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiFunction;
import java.util.function.LongSupplier;
import tinworks.channel.ConnectionManager;
import tinworks.channel.HostList;
import tinworks.channel.HostListHistory;
import tinworks.channel.HostListVersion;
import tinworks.channel.PeerConnection;
import tinworks.channel.PeerMessage;
import tinworks.channel.PeerMessage.Announce;
import tinworks.channel.PeerMessage.Call;
import tinworks.channel.PeerMessage.CallResponse;
import tinworks.channel.PeerMessage.Hosts;
import tinworks.channel.PeerMessage.HostsChanged;
import tinworks.channel.PeerMessage.Join;
import tinworks.channel.PeerMessage.Leave;
import tinworks.channel.PeerMessage.NodeRole;
import tinworks.channel.PeerMessage.PullConfiguration;
import tinworks.channel.PeerMessage.PullHosts;
import tinworks.raft.Member;
import tinworks.raft.Message;
import tinworks.raft.PersistentState;
import tinworks.raft.Progress;
import tinworks.raft.Raft;
import tinworks.raft.Timing;

/**
 * A core machine without sockets, files, threads or a clock of its own: its part in the agreement, what it says to the
 * others, and what it tells the edges. The leader alone has the platform's list fetched; the others pull it from there
 * and pass it on. All methods belong to one thread.
 */
class CoreMachine implements PeerConnection.Listener, Agreement.Owner {
    /** The process round a core machine. */
    interface Environment {
        /** A steady clock's milliseconds. */
        long millis();

        /** The connections to other core machines. */
        ConnectionManager links();

        /** The addresses of core machines that the settings name at present. */
        List<String> seeds();

        /** Whether the platform's list is to be fetched; each list is told by {@link CoreMachine#listed}. */
        void fetchList(boolean wanted);

        /** A line for the operators. */
        void log(String line);
    }

    /**
     * Who a machine is.
     *
     * @param id for as long as its disk lives
     * @param address where other core machines and edges reach it
     * @param losses how many voters may be lost at a time
     */
    record Identity(long id, String address, int losses) {}

    /** Heartbeats are cheap; an election outlasts a slow disk's syncs and a process's first, uncompiled work. */
    private static final Timing TIMING = new Timing(120, 500);

    static final long TICK_MILLIS = 50;
    private static final long ANNOUNCE_MILLIS = 1_000;
    private static final long JOIN_MILLIS = 500;
    private static final long LEARNER_MILLIS = 3_000;
    private static final long LEAVE_MILLIS = 3_000;
    private static final long PULL_AGAIN_MILLIS = 400;
    private static final long PLAN_MILLIS = 250;
    private static final long LOST_MILLIS = 3_000;
    private static final long FORGET_MILLIS = 60_000;

    private final Identity self;
    private final long id;
    private final Environment around;
    private final Agreement agreement;
    private final Raft raft;
    private final VoterPlan plan;
    private final OperatorCalls calls;
    private final Set<PeerConnection> conversations = new LinkedHashSet<>();
    private final Map<Long, Long> joins = new HashMap<>();
    /** When each that is about to end said so. */
    private final Map<Long, Long> leaves = new HashMap<>();

    /** When this machine last heard each other core machine, whoever led. */
    private final Map<Long, Long> heardAt = new HashMap<>();

    private final long startedAt;
    private final Set<String> announced = new HashSet<>();
    /** The term of the leader that told of {@link #announced}. */
    private long announcedTerm;

    private final HostListHistory hosts = new HostListHistory();
    private final ConfigurationFeed configurations = new ConfigurationFeed();
    private long announcedRev = -1;
    private boolean announcedLead;
    /** The platform's list, where it was fetched while this machine had no lease. */
    private List<HostList.Host> fetched;

    /** The role, term and leader that were last logged. */
    private Raft.Role loggedRole;

    private long loggedTerm;
    private long loggedLeader;
    private long announceAt;
    private long joinAt;
    private long planAt;
    private long pulledAt;
    private long touchedAt;

    /** A machine with what its disk holds; it does nothing before its first {@link #tick}. */
    CoreMachine(Identity self, PersistentState stored, Disk disk, Environment around) {
        this(self, stored, disk, around, OperatorCalls::new);
    }

    /** One whose operator's calls are handled in this way. */
    CoreMachine(
            Identity self,
            PersistentState stored,
            Disk disk,
            Environment around,
            BiFunction<CoreMachine, LongSupplier, OperatorCalls> handled) {
        this.self = self;
        this.around = around;
        id = self.id();
        long now = around.millis();
        raft = new Raft(id, stored, TIMING, id ^ now, now);
        startedAt = now;
        touchedAt = now;
        plan = new VoterPlan(self.losses());
        agreement = new Agreement(raft, disk, around::millis, this);
        calls = handled.apply(this, around::millis);
    }

    /**
     * Gets ready to end: hands the lead over, and where there is another machine that can vote asks to be replaced,
     * while all are there. True once nothing is left to do; else to be asked again until the caller's time is over.
     */
    boolean retire() {
        around.fetchList(false);
        // To all: whoever leads next has to know it too.
        PeerMessage leave = new Leave(id);
        conversations.stream()
                .filter(c -> c.isOpen() && c.peer().role() == NodeRole.CORE)
                .toList()
                .forEach(c -> c.send(leave));
        if (raft.role() == Raft.Role.LEADER) {
            raft.transferLeadership();
            agreement.pump();
            return raft.voters().size() == 1;
        }
        return announced.size() <= raft.voters().size() || !raft.isVoter(id);
    }

    /** Ends all conversations. */
    void close() {
        List.copyOf(conversations).forEach(c -> c.close("this machine ends"));
    }

    OperatorCalls calls() {
        return calls;
    }

    Agreement agreement() {
        return agreement;
    }

    /**
     * Whether what is told here was the newest less than a lease ago: by the leader's lease, and only once what that
     * speaks of has been applied. Guards against a machine that was cut off or frozen, or has just begun to lead.
     */
    boolean fresh() {
        return raft.fresh(around.millis()) && agreement.appliedIndex() >= raft.freshIndex();
    }

    /** Whether this machine leads and, by its lease, nobody else can. */
    boolean leads() {
        return raft.holdsLease(around.millis()) && fresh();
    }

    HostList hosts() {
        return hosts.newest();
    }

    /** How many edges are linked here. */
    int edges() {
        int edges = 0;
        for (PeerConnection c : conversations) {
            edges += c.isOpen() && c.peer().role() == NodeRole.EDGE ? 1 : 0;
        }
        return edges;
    }

    /** An open conversation with the leader, or null where none is known or this machine leads. */
    PeerConnection leader() {
        return raft.leader() == 0 || raft.leader() == id ? null : conversation(raft.leader());
    }

    /** The newest open one: an older one may lead to an earlier life of that machine, which ended without a word. */
    private PeerConnection conversation(long peer) {
        PeerConnection newest = null;
        for (PeerConnection c : conversations) {
            if (c.peer().id() == peer && c.isOpen()) {
                newest = c;
            }
        }
        return newest;
    }

    // ---- time

    /** Lets time pass; to be called every {@link #TICK_MILLIS}. */
    void tick() {
        long now = around.millis();
        agreement.tick();
        calls.tick();
        logRole();
        if (fresh()) {
            touchedAt = now;
        }
        around.fetchList(raft.hasCommittedInCurrentTerm());
        takeFetched();
        // One that was voted out while it was away doesn't know it, and nobody sends it the log.
        if (raft.shouldRequestJoin() && now >= joinAt) {
            joinAt = now + JOIN_MILLIS;
            PeerMessage join = new Join(new Member(id, self.address()));
            around.links().openConnections().forEach(c -> c.send(join));
        }
        if (now >= planAt) {
            planAt = now + PLAN_MILLIS;
            planVoters(now);
            around.links().setAddresses(wantedCores(now));
        }
        if (now >= announceAt || (leads() && !announcedLead)) {
            announce();
        }
    }

    /** An acknowledgement that came late, or never, is explained by who led when. */
    private void logRole() {
        boolean candidate = raft.role() == Raft.Role.PRE_CANDIDATE || raft.role() == Raft.Role.CANDIDATE;
        Raft.Role role = candidate ? Raft.Role.CANDIDATE : raft.role();
        if (role == loggedRole && raft.term() == loggedTerm && raft.leader() == loggedLeader) {
            return;
        }
        loggedRole = role;
        loggedTerm = raft.term();
        loggedLeader = raft.leader();
        around.log("role " + role + " in term " + loggedTerm + ", leader "
                + (loggedLeader == 0 ? "unknown" : Long.toHexString(loggedLeader)) + ", commit " + raft.commitIndex());
    }

    /** The core machines that this one should be linked with. */
    private Set<String> wantedCores(long now) {
        Set<String> wanted = new TreeSet<>(announced);
        raft.voters().forEach(m -> wanted.add(m.address()));
        raft.followers().forEach(p -> wanted.add(p.member().address()));
        if (wanted.size() <= 1 || now - touchedAt > LOST_MILLIS) {
            wanted.addAll(around.seeds());
        }
        wanted.remove(self.address());
        return wanted;
    }

    private void planVoters(long now) {
        leaves.values().removeIf(at -> now - at > LEAVE_MILLIS);
        heardAt.values().removeIf(at -> now - at > FORGET_MILLIS);
        if (raft.role() != Raft.Role.LEADER) {
            joins.clear();
            return;
        }
        List<VoterPlan.Seen> seen = new ArrayList<>();
        for (Progress p : raft.followers()) {
            boolean learner = !raft.isVoter(p.member().id());
            if (learner && now - joins.getOrDefault(p.member().id(), 0L) > LEARNER_MILLIS) {
                raft.removeLearner(p.member().id());
                continue;
            }
            seen.add(new VoterPlan.Seen(
                    p.member(),
                    p.caughtUp(),
                    silentMillis(p, now),
                    leaves.containsKey(p.member().id())));
        }
        if (raft.mayChangeMembers()) {
            List<Member> before = raft.voters();
            plan.next(now, id, before, seen).ifPresent(next -> {
                if (raft.changeMembers(next)) {
                    around.log("voters change from " + before + " to " + next);
                }
            });
        }
        agreement.pump();
    }

    private long silentMillis(Progress p, long now) {
        // Of one that isn't remembered nothing was heard for longer than that, or since the start.
        long lastHeardAt = heardAt.getOrDefault(p.member().id(), startedAt);
        return VoterPlan.silentMillis(now - p.lastReceivedMillis(), now - lastHeardAt);
    }

    // ---- what it tells

    @Override
    public void changed() {
        around.fetchList(raft.hasCommittedInCurrentTerm());
        if (announcedRev != agreement.history().rev()) {
            // First the news, so that the bytes are made while it travels.
            announce();
            if (edges() > 0) {
                configurations.follow(agreement.history());
            }
        }
    }

    /** The platform's list was fetched. */
    void listed(List<HostList.Host> list) {
        fetched = list;
        takeFetched();
    }

    private void takeFetched() {
        if (!raft.hasCommittedInCurrentTerm()) {
            fetched = null;
        } else if (fetched != null && mayNumber()) {
            HostListVersion old = hosts().version();
            if (old.term() != raft.term() || !hosts().hasSameHosts(fetched)) {
                hosts.advance(new HostList(
                        new HostListVersion(raft.term(), old.term() == raft.term() ? old.count() + 1 : 1), fetched));
                announce();
            }
            fetched = null;
        }
    }

    /**
     * Guards against a list from before a later leader's under a version above it: a list gets its version only while
     * nobody else can lead, so of two versions the higher one was fetched later.
     */
    boolean mayNumber() {
        return leads();
    }

    /** Tells those who dialled what there is: at once when it is new, else once a second. */
    private void announce() {
        announceAt = around.millis() + ANNOUNCE_MILLIS;
        announcedRev = agreement.history().rev();
        Announce said = said();
        announcedLead = said.leader();
        conversations.stream().filter(c -> !c.isOutbound()).toList().forEach(c -> c.send(said));
    }

    private Announce said() {
        boolean leads = leads();
        Set<String> cores = new TreeSet<>(announced);
        if (leads) {
            cores.clear();
            raft.followers().forEach(p -> cores.add(p.member().address()));
        }
        raft.voters().forEach(m -> cores.add(m.address()));
        cores.add(self.address());
        return new Announce(
                raft.term(), agreement.history().rev(), hosts().version(), fresh(), leads, List.copyOf(cores), edges());
    }

    // ---- what it hears

    @Override
    public void opened(PeerConnection conversation) {
        conversations.add(conversation);
        if (!conversation.isOutbound()) {
            conversation.send(said());
        }
    }

    @Override
    public void closed(PeerConnection conversation) {
        conversations.remove(conversation);
    }

    @Override
    public void received(PeerConnection from, PeerMessage signal) {
        if (from.peer().role() == NodeRole.CORE) {
            heardAt.put(from.peer().id(), around.millis());
        }
        if (signal instanceof PeerMessage.RaftMessage s) {
            if (s.to() == id) {
                agreement.receive(s.from(), s.message());
            }
        } else if (signal instanceof Join s) {
            if (raft.role() == Raft.Role.LEADER) {
                joins.put(s.member().id(), around.millis());
                raft.addLearner(s.member());
                agreement.pump();
            }
        } else if (signal instanceof Leave s) {
            leaves.put(s.id(), around.millis());
            planAt = around.millis();
        } else if (signal instanceof PullConfiguration s) {
            configurations.follow(agreement.history());
            PeerMessage newer = configurations.since(s.heldRev());
            if (newer != null) {
                from.send(newer);
            }
        } else if (signal instanceof PullHosts s) {
            from.send(hosts.since(s.heldVersion()));
        } else if (signal instanceof Announce s) {
            heard(from, s);
        } else if (signal instanceof Hosts s) {
            took(s.list());
        } else if (signal instanceof HostsChanged s) {
            if (s.change().base().isSameAs(hosts().version())) {
                took(s.change().applyTo(hosts()));
            }
        } else if (signal instanceof Call s) {
            calls.called(s, answer -> from.send(answer));
        } else if (signal instanceof CallResponse s) {
            calls.answered(from, s);
        }
    }

    private void took(HostList list) {
        pulledAt = 0;
        if (list.version().compareTo(hosts().version()) > 0) {
            hosts.advance(list);
            announce();
        }
    }

    private void heard(PeerConnection from, Announce s) {
        // Guards against what an old leader said before it knew of a later one.
        if (s.leader() && raft.role() != Raft.Role.LEADER && s.term() >= announcedTerm) {
            announcedTerm = s.term();
            announced.clear();
            announced.addAll(s.coreAddresses());
        } else if (s.fresh() && !fresh() && s.term() >= announcedTerm) {
            // The way to the leader leads through those who hear it.
            announced.addAll(s.coreAddresses());
        }
        long now = around.millis();
        if (s.hostListVersion().compareTo(hosts().version()) > 0 && now - pulledAt > PULL_AGAIN_MILLIS) {
            pulledAt = now;
            from.send(new PullHosts(hosts().version()));
        }
    }

    @Override
    public void send(long to, Message message) {
        PeerConnection conversation = conversation(to);
        if (conversation != null) {
            conversation.send(new PeerMessage.RaftMessage(id, to, message));
        }
    }

    @Override
    public void log(String line) {
        around.log(line);
    }
}
