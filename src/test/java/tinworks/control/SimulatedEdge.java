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
 * An edge of the simulation, as far as it follows the core: the production {@link CoreFollower}, ready as EdgeNode
 * says.
 */
final class SimulatedEdge implements CoreFollower.Callbacks {
    private static final long TICK_MILLIS = 250;
    private static final long PLAIN_START_MILLIS = 3_000;

    final Machine machine;
    final String name;
    private final Simulator world;
    private final SimulatedNetwork network;
    private final Map<String, Machine> machines;
    private final Function<CoreFollower.Callbacks, CoreFollower> maker;
    private final SplittableRandom random;
    private CoreFollower follower;
    private ConnectionManager links;
    private List<String> seeds;
    private long startedAt;
    /** The world's milliseconds of its last trouble's end. */
    long troubledAt;

    boolean cut;
    boolean cutSinceStart;
    /** It was given fewer seeds than there were machines to give. */
    boolean fewerSeeds;

    SimulatedEdge(
            Simulator world,
            SimulatedNetwork network,
            Map<String, Machine> machines,
            String name,
            Function<CoreFollower.Callbacks, CoreFollower> maker,
            Runnable observer) {
        this.world = world;
        this.network = network;
        this.machines = machines;
        this.name = name;
        this.maker = maker;
        random = world.random().split();
        machine = new Machine(world, name, observer);
    }

    void start(List<String> itsSeeds) {
        seeds = itsSeeds;
        machine.start();
        troubledAt = world.millis();
        startedAt = millis();
        cutSinceStart = cut;
        follower = maker.apply(this);
        links = network.connectionManager(
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
        links.setAddresses(follower.addressesToDial(seeds));
    }

    /** As EdgeNode has it. */
    boolean ready() {
        boolean waited = millis() - startedAt > PLAIN_START_MILLIS;
        return follower.configuration() != null
                && !follower.hostList().hosts().isEmpty()
                && (follower.hasBeenUpToDate() || waited);
    }

    long rev() {
        return follower.rev();
    }

    /** The addresses that it was given at its start. */
    List<String> seeds() {
        return seeds;
    }

    /** Which order it serves by, -1 for none. */
    int order() {
        return follower.configuration() == null
                ? -1
                : Integer.parseInt(follower.configuration().routes().stream()
                        .map(Configuration.Route::name)
                        .filter(n -> n.startsWith("o"))
                        .findFirst()
                        .orElseThrow()
                        .substring(1));
    }

    /** The core machines that it is linked with. */
    List<String> links() {
        return links.openConnections().stream().map(c -> c.peer().node()).toList();
    }

    HostList list() {
        return follower.hostList();
    }

    // ---- CoreFollower.Owner

    @Override
    public long millis() {
        return machine.millis();
    }

    @Override
    public void decode(long rev, Callable<Configuration> version) {
        long life = machine.incarnation();
        world.schedule(
                1_000 + random.nextInt(20_000),
                () -> machine.deliver(life, () -> {
                    try {
                        follower.apply(version.call());
                    } catch (Exception e) {
                        throw new HistoryCheck.Broken("an edge can't read the version " + rev + ": " + e);
                    }
                }));
    }

    @Override
    public void hostListChanged(HostList list) {
        // Read from the follower when it is checked.
    }

    @Override
    public void edgeCountChanged(int edges) {
        // Only quotas go by it.
    }

    @Override
    public void log(String line) {
        // Nobody reads it.
    }
}
