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
class CoreMachine implements PeerConnection.Listener, RaftDriver.Callbacks {
    /** The process round a core machine. */
    interface Environment {
        /** A steady clock's milliseconds. */
        long millis();

        /** The connections to other core machines. */
        ConnectionManager connectionManager();

        /** The addresses of core machines that the settings name at present. */
        List<String> seeds();

        /** Whether the platform's list is to be fetched; each list is told by {@link CoreMachine#hostsFetched}. */
        void setHostPolling(boolean wanted);

        /** A line for the operators. */
        void log(String line);
    }

    /**
     * Who a machine is.
     *
     * @param id for as long as its disk lives
     * @param address where other core machines and edges reach it
     * @param toleratedLosses how many voters may be lost at a time
     */
    record Identity(long id, String address, int toleratedLosses) {}

    /** Heartbeats are cheap; an election outlasts a slow disk's syncs and a process's first, uncompiled work. */
    private static final Timing TIMING = new Timing(120, 500);

    static final long TICK_MILLIS = 50;
    private static final long ANNOUNCE_INTERVAL_MILLIS = 1_000;
    private static final long JOIN_INTERVAL_MILLIS = 500;
    private static final long LEARNER_TIMEOUT_MILLIS = 3_000;
    private static final long LEAVE_EXPIRY_MILLIS = 3_000;
    private static final long PULL_RETRY_MILLIS = 400;
    private static final long PLAN_INTERVAL_MILLIS = 250;
    private static final long SEED_FALLBACK_MILLIS = 3_000;
    private static final long RECEIVED_RETENTION_MILLIS = 60_000;

    private final Identity self;
    private final long id;
    private final Environment environment;
    private final RaftDriver raftDriver;
    private final Raft raft;
    private final VoterPlan plan;
    private final OperatorCalls calls;
    private final Set<PeerConnection> connections = new LinkedHashSet<>();
    private final Map<Long, Long> joinReceivedAt = new HashMap<>();
    /** When each that is about to end said so. */
    private final Map<Long, Long> leaveReceivedAt = new HashMap<>();

    /** When this machine last heard each other core machine, whoever led. */
    private final Map<Long, Long> receivedAt = new HashMap<>();

    private final long startedAt;
    private final Set<String> announcedCores = new HashSet<>();
    /** The term of the leader that told of {@link #announcedCores}. */
    private long announcedTerm;

    private final HostListHistory hosts = new HostListHistory();
    private final ConfigurationFeed configurations = new ConfigurationFeed();
    private long announcedRev = -1;
    private boolean announcedLeadership;
    /** The platform's list, where it was fetched while this machine had no lease. */
    private List<HostList.Host> fetchedHosts;

    /** The role, term and leader that were last logged. */
    private Raft.Role loggedRole;

    private long loggedTerm;
    private long loggedLeader;
    private long announceAt;
    private long joinAt;
    private long planAt;
    private long pulledAt;
    private long lastFreshAt;

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
        this.environment = around;
        id = self.id();
        long now = around.millis();
        raft = new Raft(id, stored, TIMING, id ^ now, now);
        startedAt = now;
        lastFreshAt = now;
        plan = new VoterPlan(self.toleratedLosses());
        raftDriver = new RaftDriver(raft, disk, around::millis, this);
        calls = handled.apply(this, around::millis);
    }

    /**
     * Gets ready to end: hands the lead over, and where there is another machine that can vote asks to be replaced,
     * while all are there. True once nothing is left to do; else to be asked again until the caller's time is over.
     */
    boolean prepareShutdown() {
        environment.setHostPolling(false);
        // To all: whoever leads next has to know it too.
        PeerMessage leave = new Leave(id);
        connections.stream()
                .filter(c -> c.isOpen() && c.peer().role() == NodeRole.CORE)
                .toList()
                .forEach(c -> c.send(leave));
        if (raft.role() == Raft.Role.LEADER) {
            raft.transferLeadership();
            raftDriver.pump();
            return raft.voters().size() == 1;
        }
        return announcedCores.size() <= raft.voters().size() || !raft.isVoter(id);
    }

    /** Ends all conversations. */
    void close() {
        List.copyOf(connections).forEach(c -> c.close("this machine ends"));
    }

    OperatorCalls calls() {
        return calls;
    }

    RaftDriver raftDriver() {
        return raftDriver;
    }

    /**
     * Whether what is told here was the newest less than a lease ago: by the leader's lease, and only once what that
     * speaks of has been applied. Guards against a machine that was cut off or frozen, or has just begun to lead.
     */
    boolean isFresh() {
        return raft.fresh(environment.millis()) && raftDriver.appliedIndex() >= raft.freshIndex();
    }

    /** Whether this machine leads and, by its lease, nobody else can. */
    boolean holdsLeaderLease() {
        return raft.holdsLease(environment.millis()) && isFresh();
    }

    HostList hostList() {
        return hosts.newest();
    }

    /** How many edges are linked here. */
    int edgeCount() {
        int edges = 0;
        for (PeerConnection c : connections) {
            edges += c.isOpen() && c.peer().role() == NodeRole.EDGE ? 1 : 0;
        }
        return edges;
    }

    /** An open conversation with the leader, or null where none is known or this machine leads. */
    PeerConnection leaderConnection() {
        return raft.leader() == 0 || raft.leader() == id ? null : connectionTo(raft.leader());
    }

    /** The newest open one: an older one may lead to an earlier life of that machine, which ended without a word. */
    private PeerConnection connectionTo(long peer) {
        PeerConnection newest = null;
        for (PeerConnection c : connections) {
            if (c.peer().id() == peer && c.isOpen()) {
                newest = c;
            }
        }
        return newest;
    }

    // ---- time

    /** Lets time pass; to be called every {@link #TICK_MILLIS}. */
    void tick() {
        long now = environment.millis();
        raftDriver.tick();
        calls.tick();
        logRole();
        if (isFresh()) {
            lastFreshAt = now;
        }
        environment.setHostPolling(raft.hasCommittedInCurrentTerm());
        publishFetchedHosts();
        // One that was voted out while it was away doesn't know it, and nobody sends it the log.
        if (raft.shouldRequestJoin() && now >= joinAt) {
            joinAt = now + JOIN_INTERVAL_MILLIS;
            PeerMessage join = new Join(new Member(id, self.address()));
            environment.connectionManager().openConnections().forEach(c -> c.send(join));
        }
        if (now >= planAt) {
            planAt = now + PLAN_INTERVAL_MILLIS;
            planVoters(now);
            environment.connectionManager().setAddresses(desiredCores(now));
        }
        if (now >= announceAt || (holdsLeaderLease() && !announcedLeadership)) {
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
        environment.log("role " + role + " in term " + loggedTerm + ", leader "
                + (loggedLeader == 0 ? "unknown" : Long.toHexString(loggedLeader)) + ", commit " + raft.commitIndex());
    }

    /** The core machines that this one should be linked with. */
    private Set<String> desiredCores(long now) {
        Set<String> wanted = new TreeSet<>(announcedCores);
        raft.voters().forEach(m -> wanted.add(m.address()));
        raft.followers().forEach(p -> wanted.add(p.member().address()));
        if (wanted.size() <= 1 || now - lastFreshAt > SEED_FALLBACK_MILLIS) {
            wanted.addAll(environment.seeds());
        }
        wanted.remove(self.address());
        return wanted;
    }

    private void planVoters(long now) {
        leaveReceivedAt.values().removeIf(at -> now - at > LEAVE_EXPIRY_MILLIS);
        receivedAt.values().removeIf(at -> now - at > RECEIVED_RETENTION_MILLIS);
        if (raft.role() != Raft.Role.LEADER) {
            joinReceivedAt.clear();
            return;
        }
        List<VoterPlan.ObservedMember> seen = new ArrayList<>();
        for (Progress p : raft.followers()) {
            boolean learner = !raft.isVoter(p.member().id());
            if (learner && now - joinReceivedAt.getOrDefault(p.member().id(), 0L) > LEARNER_TIMEOUT_MILLIS) {
                raft.removeLearner(p.member().id());
                continue;
            }
            seen.add(new VoterPlan.ObservedMember(
                    p.member(),
                    p.caughtUp(),
                    unresponsiveMillis(p, now),
                    leaveReceivedAt.containsKey(p.member().id())));
        }
        if (raft.mayChangeMembers()) {
            List<Member> before = raft.voters();
            plan.next(now, id, before, seen).ifPresent(next -> {
                if (raft.changeMembers(next)) {
                    environment.log("voters change from " + before + " to " + next);
                }
            });
        }
        raftDriver.pump();
    }

    private long unresponsiveMillis(Progress p, long now) {
        // Of one that isn't remembered nothing was heard for longer than that, or since the start.
        long lastHeardAt = receivedAt.getOrDefault(p.member().id(), startedAt);
        return VoterPlan.unresponsiveMillis(now - p.lastReceivedMillis(), now - lastHeardAt);
    }

    // ---- what it tells

    @Override
    public void stateChanged() {
        environment.setHostPolling(raft.hasCommittedInCurrentTerm());
        if (announcedRev != raftDriver.history().rev()) {
            // First the news, so that the bytes are made while it travels.
            announce();
            if (edgeCount() > 0) {
                configurations.follow(raftDriver.history());
            }
        }
    }

    /** The platform's list was fetched. */
    void hostsFetched(List<HostList.Host> list) {
        fetchedHosts = list;
        publishFetchedHosts();
    }

    private void publishFetchedHosts() {
        if (!raft.hasCommittedInCurrentTerm()) {
            fetchedHosts = null;
        } else if (fetchedHosts != null && mayVersionHostList()) {
            HostListVersion old = hostList().version();
            if (old.term() != raft.term() || !hostList().hasSameHosts(fetchedHosts)) {
                hosts.advance(new HostList(
                        new HostListVersion(raft.term(), old.term() == raft.term() ? old.count() + 1 : 1),
                        fetchedHosts));
                announce();
            }
            fetchedHosts = null;
        }
    }

    /**
     * Guards against a list from before a later leader's under a version above it: a list gets its version only while
     * nobody else can lead, so of two versions the higher one was fetched later.
     */
    boolean mayVersionHostList() {
        return holdsLeaderLease();
    }

    /** Tells those who dialled what there is: at once when it is new, else once a second. */
    private void announce() {
        announceAt = environment.millis() + ANNOUNCE_INTERVAL_MILLIS;
        announcedRev = raftDriver.history().rev();
        Announce said = announcement();
        announcedLeadership = said.leader();
        connections.stream().filter(c -> !c.isOutbound()).toList().forEach(c -> c.send(said));
    }

    private Announce announcement() {
        boolean leads = holdsLeaderLease();
        Set<String> cores = new TreeSet<>(announcedCores);
        if (leads) {
            cores.clear();
            raft.followers().forEach(p -> cores.add(p.member().address()));
        }
        raft.voters().forEach(m -> cores.add(m.address()));
        cores.add(self.address());
        return new Announce(
                raft.term(),
                raftDriver.history().rev(),
                hostList().version(),
                isFresh(),
                leads,
                List.copyOf(cores),
                edgeCount());
    }

    // ---- what it hears

    @Override
    public void opened(PeerConnection conversation) {
        connections.add(conversation);
        if (!conversation.isOutbound()) {
            conversation.send(announcement());
        }
    }

    @Override
    public void closed(PeerConnection conversation) {
        connections.remove(conversation);
    }

    @Override
    public void received(PeerConnection from, PeerMessage signal) {
        if (from.peer().role() == NodeRole.CORE) {
            receivedAt.put(from.peer().id(), environment.millis());
        }
        if (signal instanceof PeerMessage.RaftMessage s) {
            if (s.to() == id) {
                raftDriver.receive(s.from(), s.message());
            }
        } else if (signal instanceof Join s) {
            if (raft.role() == Raft.Role.LEADER) {
                joinReceivedAt.put(s.member().id(), environment.millis());
                raft.addLearner(s.member());
                raftDriver.pump();
            }
        } else if (signal instanceof Leave s) {
            leaveReceivedAt.put(s.id(), environment.millis());
            planAt = environment.millis();
        } else if (signal instanceof PullConfiguration s) {
            configurations.follow(raftDriver.history());
            PeerMessage newer = configurations.since(s.heldRev());
            if (newer != null) {
                from.send(newer);
            }
        } else if (signal instanceof PullHosts s) {
            from.send(hosts.since(s.heldVersion()));
        } else if (signal instanceof Announce s) {
            receivedAnnounce(from, s);
        } else if (signal instanceof Hosts s) {
            adoptHostList(s.list());
        } else if (signal instanceof HostsChanged s) {
            if (s.change().base().isSameAs(hostList().version())) {
                adoptHostList(s.change().applyTo(hostList()));
            }
        } else if (signal instanceof Call s) {
            calls.receivedCall(s, answer -> from.send(answer));
        } else if (signal instanceof CallResponse s) {
            calls.receivedResponse(from, s);
        }
    }

    private void adoptHostList(HostList list) {
        pulledAt = 0;
        if (list.version().compareTo(hostList().version()) > 0) {
            hosts.advance(list);
            announce();
        }
    }

    private void receivedAnnounce(PeerConnection from, Announce s) {
        // Guards against what an old leader said before it knew of a later one.
        if (s.leader() && raft.role() != Raft.Role.LEADER && s.term() >= announcedTerm) {
            announcedTerm = s.term();
            announcedCores.clear();
            announcedCores.addAll(s.coreAddresses());
        } else if (s.fresh() && !isFresh() && s.term() >= announcedTerm) {
            // The way to the leader leads through those who hear it.
            announcedCores.addAll(s.coreAddresses());
        }
        long now = environment.millis();
        if (s.hostListVersion().compareTo(hostList().version()) > 0 && now - pulledAt > PULL_RETRY_MILLIS) {
            pulledAt = now;
            from.send(new PullHosts(hostList().version()));
        }
    }

    @Override
    public void send(long to, Message message) {
        PeerConnection conversation = connectionTo(to);
        if (conversation != null) {
            conversation.send(new PeerMessage.RaftMessage(id, to, message));
        }
    }

    @Override
    public void log(String line) {
        environment.log(line);
    }
}
