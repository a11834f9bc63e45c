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
 * The logic of a core node (control plane) without sockets, files, threads or a clock: Raft membership, the messages to
 * other core nodes, and the configuration and host list for edges. Only the leader polls the platform for hosts; the
 * other core nodes pull the list from it and pass it on. All methods must be called on one thread.
 */
class CoreMachine implements PeerConnection.Listener, RaftDriver.Callbacks {
    /** What the logic needs of the process or simulation that runs it. */
    interface Environment {
        /** The time of a monotonic clock, in milliseconds. */
        long millis();

        /** Manages the outbound connections to other core nodes. */
        ConnectionManager connectionManager();

        /** The addresses of core nodes in the current settings. */
        List<String> seeds();

        /** Turns the polling of the platform on or off; {@link CoreMachine#hostsFetched} gets each list. */
        void setHostPolling(boolean enabled);

        /** Logs a line for operators. */
        void log(String line);
    }

    /**
     * The identity of a core node.
     *
     * @param id the member id, which lasts as long as the data on the disk
     * @param address the address for other core nodes and edges
     * @param toleratedLosses the number of voters that may fail at the same time
     */
    record Identity(long id, String address, int toleratedLosses) {}

    /**
     * Heartbeat interval and election timeout, in milliseconds. Heartbeats are cheap. The election timeout is longer
     * than the syncs of a slow disk and the first work of a process, which is not compiled yet.
     */
    private static final Timing TIMING = new Timing(120, 500);

    static final long TICK_MILLIS = 50;
    private static final long ANNOUNCE_INTERVAL_MILLIS = 1_000;
    private static final long JOIN_INTERVAL_MILLIS = 500;
    /** The leader removes a learner that has not sent a join request for this long. */
    private static final long LEARNER_TIMEOUT_MILLIS = 3_000;

    private static final long LEAVE_EXPIRY_MILLIS = 3_000;
    private static final long PULL_RETRY_MILLIS = 400;
    private static final long PLAN_INTERVAL_MILLIS = 250;
    /** Without fresh state for this long, the node connects to the seeds as well. */
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
    /** When each node that is shutting down last announced it, by member id. */
    private final Map<Long, Long> leaveReceivedAt = new HashMap<>();

    /** When this node last received a message from each other core node, under any leader; by member id. */
    private final Map<Long, Long> receivedAt = new HashMap<>();

    private final long startedAt;
    private final Set<String> announcedCores = new HashSet<>();
    /** The term of the leader that announced {@link #announcedCores}. */
    private long announcedTerm;

    private final HostListHistory hosts = new HostListHistory();
    private final ConfigurationFeed configurations = new ConfigurationFeed();
    private long announcedRev = -1;
    private boolean announcedLeadership;
    /** A host list that was fetched without a leader lease and is not published yet. */
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

    /** Creates a node from its stored state. It does nothing before the first {@link #tick}. */
    CoreMachine(Identity self, PersistentState stored, Disk disk, Environment environment) {
        this(self, stored, disk, environment, OperatorCalls::new);
    }

    /** Creates a node with a custom handler of operator calls. */
    CoreMachine(
            Identity self,
            PersistentState stored,
            Disk disk,
            Environment environment,
            BiFunction<CoreMachine, LongSupplier, OperatorCalls> callHandler) {
        this.self = self;
        this.environment = environment;
        id = self.id();
        long now = environment.millis();
        raft = new Raft(id, stored, TIMING, id ^ now, now);
        startedAt = now;
        lastFreshAt = now;
        plan = new VoterPlan(self.toleratedLosses());
        raftDriver = new RaftDriver(raft, disk, environment::millis, this);
        calls = callHandler.apply(this, environment::millis);
    }

    /**
     * Prepares a graceful shutdown: transfers the leadership, and asks to be replaced as a voter if another node can
     * take its place. Replacing it while all voters are up keeps the tolerance of one more loss. Returns true once
     * nothing is left to do; until then the caller repeats the call up to its own deadline.
     */
    boolean prepareShutdown() {
        environment.setHostPolling(false);
        // Sent to all core nodes, because the next leader needs to know it too.
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

    /** Closes all connections. */
    void close() {
        List.copyOf(connections).forEach(c -> c.close("core node is shutting down"));
    }

    OperatorCalls calls() {
        return calls;
    }

    RaftDriver raftDriver() {
        return raftDriver;
    }

    /**
     * Whether the state of this node is fresh (bounded staleness): by the leader lease it was the newest less than one
     * lease duration ago, and all entries that the lease covers have been applied. False on a node that was partitioned
     * or frozen, or has only just become leader. Operator reads need more, see {@link OperatorCalls#confirmRead}.
     */
    boolean isFresh() {
        return raft.fresh(environment.millis()) && raftDriver.appliedIndex() >= raft.freshIndex();
    }

    /** Whether this node leads and its leader lease excludes any other leader. */
    boolean holdsLeaderLease() {
        return raft.holdsLease(environment.millis()) && isFresh();
    }

    HostList hostList() {
        return hosts.newest();
    }

    /** The number of connected edges. */
    int edgeCount() {
        int edges = 0;
        for (PeerConnection c : connections) {
            edges += c.isOpen() && c.peer().role() == NodeRole.EDGE ? 1 : 0;
        }
        return edges;
    }

    /** An open connection to the leader, or null if none is known or this node leads. */
    PeerConnection leaderConnection() {
        return raft.leader() == 0 || raft.leader() == id ? null : connectionTo(raft.leader());
    }

    /** The newest open connection. An older one may lead to a previous process of that node, which crashed. */
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

    /** Runs the periodic work. Must be called every {@link #TICK_MILLIS}. */
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
        // A voter that was removed while unreachable does not know of it, and no leader replicates the log to it.
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

    /** Logs changes of role, term and leader, which explain acknowledgements that are late or missing. */
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

    /** The addresses of the core nodes that this node connects to. */
    private Set<String> desiredCores(long now) {
        Set<String> desired = new TreeSet<>(announcedCores);
        raft.voters().forEach(m -> desired.add(m.address()));
        raft.followers().forEach(p -> desired.add(p.member().address()));
        if (desired.size() <= 1 || now - lastFreshAt > SEED_FALLBACK_MILLIS) {
            desired.addAll(environment.seeds());
        }
        desired.remove(self.address());
        return desired;
    }

    private void planVoters(long now) {
        leaveReceivedAt.values().removeIf(at -> now - at > LEAVE_EXPIRY_MILLIS);
        receivedAt.values().removeIf(at -> now - at > RECEIVED_RETENTION_MILLIS);
        if (raft.role() != Raft.Role.LEADER) {
            joinReceivedAt.clear();
            return;
        }
        List<VoterPlan.ObservedMember> observed = new ArrayList<>();
        for (Progress p : raft.followers()) {
            boolean learner = !raft.isVoter(p.member().id());
            if (learner && now - joinReceivedAt.getOrDefault(p.member().id(), 0L) > LEARNER_TIMEOUT_MILLIS) {
                raft.removeLearner(p.member().id());
                continue;
            }
            observed.add(new VoterPlan.ObservedMember(
                    p.member(),
                    p.caughtUp(),
                    unresponsiveMillis(p, now),
                    leaveReceivedAt.containsKey(p.member().id())));
        }
        if (raft.mayChangeMembers()) {
            List<Member> before = raft.voters();
            plan.next(now, id, before, observed).ifPresent(next -> {
                if (raft.changeMembers(next)) {
                    environment.log("changing voters from " + before + " to " + next);
                }
            });
        }
        raftDriver.pump();
    }

    private long unresponsiveMillis(Progress p, long now) {
        // A node without an entry has sent nothing for longer than the retention period, or since this process started.
        long lastReceivedAt = receivedAt.getOrDefault(p.member().id(), startedAt);
        return VoterPlan.unresponsiveMillis(now - p.lastReceivedMillis(), now - lastReceivedAt);
    }

    // ---- outgoing announcements and host lists

    @Override
    public void stateChanged() {
        environment.setHostPolling(raft.hasCommittedInCurrentTerm());
        if (announcedRev != raftDriver.history().rev()) {
            // Announces first, so that the message for edges is encoded while the announcement is on its way.
            announce();
            if (edgeCount() > 0) {
                configurations.follow(raftDriver.history());
            }
        }
    }

    /** Takes a host list that was fetched from the platform. */
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
     * Whether a fetched host list may get a version: only while the leader lease excludes any other leader. Of two
     * versions the higher one was therefore fetched later: an earlier leader's list cannot outrank a later leader's.
     */
    boolean mayVersionHostList() {
        return holdsLeaderLease();
    }

    /** Sends the current state to all inbound connections: immediately after a change, otherwise once a second. */
    private void announce() {
        announceAt = environment.millis() + ANNOUNCE_INTERVAL_MILLIS;
        announcedRev = raftDriver.history().rev();
        Announce announcement = announcement();
        announcedLeadership = announcement.leader();
        connections.stream().filter(c -> !c.isOutbound()).toList().forEach(c -> c.send(announcement));
    }

    private Announce announcement() {
        boolean leader = holdsLeaderLease();
        Set<String> cores = new TreeSet<>(announcedCores);
        if (leader) {
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
                leader,
                List.copyOf(cores),
                edgeCount());
    }

    // ---- incoming messages

    @Override
    public void opened(PeerConnection connection) {
        connections.add(connection);
        if (!connection.isOutbound()) {
            connection.send(announcement());
        }
    }

    @Override
    public void closed(PeerConnection connection) {
        connections.remove(connection);
    }

    @Override
    public void received(PeerConnection from, PeerMessage message) {
        if (from.peer().role() == NodeRole.CORE) {
            receivedAt.put(from.peer().id(), environment.millis());
        }
        if (message instanceof PeerMessage.RaftMessage m) {
            if (m.to() == id) {
                raftDriver.receive(m.from(), m.message());
            }
        } else if (message instanceof Join m) {
            if (raft.role() == Raft.Role.LEADER) {
                joinReceivedAt.put(m.member().id(), environment.millis());
                raft.addLearner(m.member());
                raftDriver.pump();
            }
        } else if (message instanceof Leave m) {
            leaveReceivedAt.put(m.id(), environment.millis());
            planAt = environment.millis();
        } else if (message instanceof PullConfiguration m) {
            configurations.follow(raftDriver.history());
            PeerMessage newer = configurations.since(m.heldRev());
            if (newer != null) {
                from.send(newer);
            }
        } else if (message instanceof PullHosts m) {
            from.send(hosts.since(m.heldVersion()));
        } else if (message instanceof Announce m) {
            receivedAnnounce(from, m);
        } else if (message instanceof Hosts m) {
            adoptHostList(m.list());
        } else if (message instanceof HostsChanged m) {
            if (m.change().base().isSameAs(hostList().version())) {
                adoptHostList(m.change().applyTo(hostList()));
            }
        } else if (message instanceof Call m) {
            calls.receivedCall(m, response -> from.send(response));
        } else if (message instanceof CallResponse m) {
            calls.receivedResponse(from, m);
        }
    }

    private void adoptHostList(HostList list) {
        pulledAt = 0;
        if (list.version().compareTo(hostList().version()) > 0) {
            hosts.advance(list);
            announce();
        }
    }

    private void receivedAnnounce(PeerConnection from, Announce announcement) {
        // The term guards against announcements of a deposed leader that does not know of its successor yet.
        if (announcement.leader() && raft.role() != Raft.Role.LEADER && announcement.term() >= announcedTerm) {
            announcedTerm = announcement.term();
            announcedCores.clear();
            announcedCores.addAll(announcement.coreAddresses());
        } else if (announcement.fresh() && !isFresh() && announcement.term() >= announcedTerm) {
            // A node with fresh state is in contact with the leader, so its addresses help to find the leader.
            announcedCores.addAll(announcement.coreAddresses());
        }
        long now = environment.millis();
        if (announcement.hostListVersion().compareTo(hostList().version()) > 0 && now - pulledAt > PULL_RETRY_MILLIS) {
            pulledAt = now;
            from.send(new PullHosts(hostList().version()));
        }
    }

    @Override
    public void send(long to, Message message) {
        PeerConnection connection = connectionTo(to);
        if (connection != null) {
            connection.send(new PeerMessage.RaftMessage(id, to, message));
        }
    }

    @Override
    public void log(String line) {
        environment.log(line);
    }
}
