package tinworks.control;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.function.Function;
import tinworks.channel.ConnectionManager;
import tinworks.channel.HostList;
import tinworks.channel.PeerMessage.Hello;
import tinworks.channel.PeerMessage.NodeRole;
import tinworks.channel.SimulatedNetwork;
import tinworks.config.Configuration;
import tinworks.edge.CoreFollower;
import tinworks.simulation.Machine;
import tinworks.simulation.Simulator;

/**
 * A simulated edge, limited to following the core: the production {@link CoreFollower} with the readiness rule of
 * EdgeNode.
 */
final class SimulatedEdge implements CoreFollower.Callbacks {
    private static final long TICK_MILLIS = 250;
    private static final long READY_WHEN_STALE_MILLIS = 3_000;

    final Machine machine;
    final String name;
    private final Simulator simulator;
    private final SimulatedNetwork network;
    private final Map<String, Machine> machines;
    private final Function<CoreFollower.Callbacks, CoreFollower> followerFactory;
    private final SplittableRandom random;
    private CoreFollower follower;
    private ConnectionManager connections;
    private List<String> seeds;
    private long startedAt;
    /** The simulator time in milliseconds at which its last fault ended. */
    long lastFaultAt;

    boolean partitioned;
    boolean partitionedSinceStart;
    /** Whether it was started with fewer seeds than there were nodes to list. */
    boolean fewerSeeds;

    SimulatedEdge(
            Simulator simulator,
            SimulatedNetwork network,
            Map<String, Machine> machines,
            String name,
            Function<CoreFollower.Callbacks, CoreFollower> followerFactory,
            Runnable observer) {
        this.simulator = simulator;
        this.network = network;
        this.machines = machines;
        this.name = name;
        this.followerFactory = followerFactory;
        random = simulator.random().split();
        machine = new Machine(simulator, name, observer);
    }

    void start(List<String> newSeeds) {
        seeds = newSeeds;
        machine.start();
        lastFaultAt = simulator.millis();
        startedAt = millis();
        partitionedSinceStart = partitioned;
        follower = followerFactory.apply(this);
        connections = network.connectionManager(
                machine,
                machines,
                new Hello(NodeRole.EDGE, random.nextLong() & Long.MAX_VALUE, "", name, "z"),
                follower);
        tick();
    }

    void kill() {
        machine.kill();
        network.processKilled(machine);
    }

    private void tick() {
        machine.schedule(TICK_MILLIS, this::tick);
        connections.setAddresses(follower.addressesToDial(seeds));
    }

    /** Returns whether the edge is ready, by the same rule as EdgeNode. */
    boolean ready() {
        boolean waited = millis() - startedAt > READY_WHEN_STALE_MILLIS;
        return follower.configuration() != null
                && !follower.hostList().hosts().isEmpty()
                && (follower.hasBeenUpToDate() || waited);
    }

    long rev() {
        return follower.rev();
    }

    /** Returns the addresses given at its start. */
    List<String> seeds() {
        return seeds;
    }

    /** Returns the number of the change that it serves, -1 for none. */
    int changeNumber() {
        return follower.configuration() == null
                ? -1
                : Integer.parseInt(follower.configuration().routes().stream()
                        .map(Configuration.Route::name)
                        .filter(n -> n.startsWith("o"))
                        .findFirst()
                        .orElseThrow()
                        .substring(1));
    }

    /** Returns the core nodes that it is connected to. */
    List<String> connections() {
        return connections.openConnections().stream().map(c -> c.peer().node()).toList();
    }

    HostList hostList() {
        return follower.hostList();
    }

    // ---- CoreFollower.Callbacks

    @Override
    public long millis() {
        return machine.millis();
    }

    @Override
    public void decode(long rev, Callable<Configuration> version) {
        long incarnation = machine.incarnation();
        simulator.schedule(
                1_000 + random.nextInt(20_000),
                () -> machine.deliver(incarnation, () -> {
                    try {
                        follower.apply(version.call());
                    } catch (Exception e) {
                        throw new HistoryChecker.RuleViolation("an edge cannot decode version " + rev + ": " + e);
                    }
                }));
    }

    @Override
    public void hostListChanged(HostList list) {
        // The checks read the list from the follower.
    }

    @Override
    public void edgeCountChanged(int edges) {
        // Only quotas depend on the number of edges.
    }

    @Override
    public void log(String line) {
        // The simulation does not use the log of edges.
    }
}
