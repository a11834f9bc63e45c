package tinworks.control;

import java.lang.reflect.Field;
import java.lang.reflect.RecordComponent;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import tinworks.channel.ConnectionManager;
import tinworks.channel.HostList;
import tinworks.channel.PeerConnection;
import tinworks.channel.PeerMessage;
import tinworks.channel.PeerMessage.CallResponse;
import tinworks.channel.PeerMessage.Hello;
import tinworks.channel.PeerMessage.NodeRole;
import tinworks.channel.SimulatedNetwork;
import tinworks.config.ShortDeduplicationWindow;
import tinworks.raft.HardState;
import tinworks.raft.Output;
import tinworks.raft.PersistentState;
import tinworks.raft.Raft;
import tinworks.simulation.Machine;
import tinworks.simulation.Simulator;

/** A simulated core node: the production {@link CoreMachine} on a simulated clock, network and disk. */
final class SimulatedCore implements CoreMachine.Environment {
    private static final long RETRY_MICROS = 200_000;
    private static final long RESTART_MICROS = 500_000;
    private static final long POLL_MILLIS = 1_000;

    /** The callbacks of a simulated core node to the day that it runs in. */
    interface Callbacks {
        /** Returns the current hosts of the platform. */
        List<HostList.Host> platformHosts();

        /** Called when a node has answered an operator's call. */
        void responseSent(SimulatedCore core, CallResponse response);

        /** Called after each task of the node. */
        void afterEvent(SimulatedCore core);
    }

    final Machine machine;
    final String name;
    private final Simulator simulator;
    private final SimulatedNetwork network;
    private final Map<String, Machine> machines;
    private final SimulatedStore store;
    private final SplittableRandom random;
    private final Callbacks callbacks;
    private final Mutation mutation;
    private final int losses;
    private final long syncMicros;
    private final Set<Consumer<CallResponse>> openCalls = new LinkedHashSet<>();
    private CoreMachine core;
    private ConnectionManager connections;
    private Writer writer;
    private List<String> seeds = List.of();
    private long knownId;
    private long stalledUntil;
    private boolean diskFull;
    private boolean fetching;
    private long fetches;
    /** Whether the node has been removed for good. */
    boolean removed;
    /** The simulator time in milliseconds until which the node counts as lost. */
    long countsAsLostUntil;
    /** The version in force that was last checked in this incarnation. */
    long lastCheckedRev;

    Raft.Role lastLoggedRole;

    SimulatedCore(
            Simulator simulator,
            SimulatedNetwork network,
            Map<String, Machine> machines,
            String name,
            String address,
            int losses,
            long syncMicros,
            boolean onFiles,
            Mutation mutation,
            Callbacks callbacks) {
        this.simulator = simulator;
        this.network = network;
        this.machines = machines;
        this.name = name;
        this.losses = losses;
        this.syncMicros = syncMicros;
        this.mutation = mutation;
        this.callbacks = callbacks;
        random = simulator.random().split();
        machine = new Machine(simulator, address, () -> callbacks.afterEvent(this));
        machines.put(address, machine);
        long seed = random.nextLong();
        store = onFiles
                ? new SimulatedStore.OnDisk(seed, mutation != Mutation.DIRECTORY_NOT_SYNCED)
                : new SimulatedStore.InMemory(seed);
    }

    // ---- lifecycle

    void start(boolean bootstrap, List<String> newSeeds) {
        machine.start();
        seeds = newSeeds;
        lastCheckedRev = 0;
        fetching = false;
        // The bit keeps it above all ids of a bootstrap.
        long newId = mutation == Mutation.IDENTITY_KEPT && knownId != 0
                ? knownId
                : (random.nextLong() | 1L << 62) & Long.MAX_VALUE;
        SimulatedStore.OpenedStore opened = store.open(machine.address(), bootstrap, seeds, newId);
        if (opened == null) {
            // As in production, the process exits and is restarted.
            machine.kill();
            simulator.schedule(RESTART_MICROS, () -> {
                if (machine.powered() && !machine.running() && !removed) {
                    start(false, newSeeds);
                }
            });
            return;
        }
        knownId = opened.id();
        PersistentState stored = opened.stored();
        if (mutation == Mutation.VOTE_FORGOTTEN) {
            stored = new PersistentState(HardState.NONE, stored.snapshot(), stored.entries());
        }
        writer = new Writer(machine.incarnation());
        core = new CoreMachine(new CoreMachine.Identity(opened.id(), machine.address(), losses), stored, writer, this);
        if (mutation == Mutation.RETRIES_NOT_RECOGNIZED) {
            forgetRetries();
        }
        Hello own = new Hello(NodeRole.CORE, opened.id(), machine.address(), name, "z");
        PeerConnection.Listener listener =
                mutation == Mutation.ALWAYS_FRESH ? new AlwaysFreshListener(core, new HashMap<>()) : core;
        connections = network.connectionManager(machine, machines, own, listener);
        network.listen(machine, own, listener);
        tick();
    }

    private void forgetRetries() {
        try {
            Field history = RaftDriver.class.getDeclaredField("history");
            history.setAccessible(true);
            history.set(core.raftDriver(), ShortDeduplicationWindow.newHistory());
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    private void tick() {
        machine.schedule(CoreMachine.TICK_MILLIS, this::tick);
        core.tick();
    }

    void kill() {
        if (machine.running()) {
            store.processKilled(writer.writeInProgress());
            machine.kill();
            network.processKilled(machine);
            breakOpenCalls();
        }
    }

    void powerOff() {
        if (machine.powered()) {
            store.powerLost(machine.running() ? writer.writeInProgress() : null);
            machine.powerOff();
            network.powerOff(machine);
            // A machine without power sends no reset, so callers get no response.
            openCalls.clear();
        }
    }

    /** Cuts the power and erases the disk. */
    void wipe() {
        powerOff();
        store.wipe();
    }

    /** Shuts the process down gracefully, as {@link Core} does on SIGTERM. */
    void terminate() {
        if (!machine.running()) {
            return;
        }
        long until = machine.millis() + Core.SHUTDOWN_PREPARATION_MILLIS;
        machine.deliver(machine.incarnation(), () -> retire(until));
    }

    private void retire(long until) {
        if (core.prepareShutdown() || machine.millis() >= until) {
            core.close();
            machine.schedule(0, this::kill);
        } else {
            machine.schedule(Core.SHUTDOWN_POLL_MILLIS, () -> retire(until));
        }
    }

    private void breakOpenCalls() {
        List<Consumer<CallResponse>> callers = List.copyOf(openCalls);
        openCalls.clear();
        callers.forEach(caller -> caller.accept(null));
    }

    /** Stalls all writes until this simulator time in milliseconds. */
    void stallDisk(long untilMillis) {
        stalledUntil = untilMillis * 1_000;
    }

    void fillDisk(boolean full) {
        diskFull = full;
        store.setFull(full);
    }

    boolean isDiskFaulty() {
        return diskFull || stalledUntil > simulator.micros();
    }

    void setSeeds(List<String> newSeeds) {
        seeds = newSeeds;
    }

    // ---- state

    boolean running() {
        return machine.running() && core != null;
    }

    CoreMachine core() {
        return core;
    }

    boolean leads() {
        return running() && core.raftDriver().raft().role() == Raft.Role.LEADER;
    }

    // ---- operator calls, on the machine's own thread

    /** Sends a change; the callback gets null where the connection breaks. */
    void replace(long base, byte[] body, Consumer<CallResponse> callback) {
        trackCall(callback, tracked -> {
            core.calls().replace(List.of(Long.toString(base)), body, tracked);
            if (mutation == Mutation.ACKNOWLEDGED_BEFORE_COMMIT
                    && leads()
                    && core.raftDriver().history().rev() == base
                    && openCalls.contains(callback)) {
                String text = new String(body, StandardCharsets.UTF_8);
                long rev = OperatorChange.revOf(text);
                tracked.accept(new CallResponse(
                        0, OperatorCalls.OK, ("{\"rev\":" + rev + "}\n").getBytes(StandardCharsets.UTF_8)));
            }
        });
    }

    void show(Consumer<CallResponse> callback) {
        trackCall(callback, tracked -> core.calls().show(tracked));
    }

    private void trackCall(Consumer<CallResponse> callback, Consumer<Consumer<CallResponse>> work) {
        openCalls.add(callback);
        work.accept(response -> {
            if (openCalls.remove(callback)) {
                callback.accept(response);
                callbacks.responseSent(this, response);
            }
        });
    }

    // ---- CoreMachine.Environment

    @Override
    public long millis() {
        return machine.millis();
    }

    @Override
    public ConnectionManager connectionManager() {
        return connections;
    }

    @Override
    public List<String> seeds() {
        return seeds;
    }

    @Override
    public void setHostPolling(boolean wanted) {
        if (wanted && !fetching) {
            fetch(++fetches);
        }
        fetching = wanted;
    }

    private void fetch(long run) {
        long durationMicros = 3_000L + random.nextInt(10_000);
        long incarnation = machine.incarnation();
        List<HostList.Host> list = callbacks.platformHosts();
        simulator.schedule(
                durationMicros,
                () -> machine.deliver(incarnation, () -> {
                    if (fetching && run == fetches) {
                        core.hostsFetched(list);
                        machine.schedule(POLL_MILLIS, () -> {
                            if (fetching && run == fetches) {
                                fetch(run);
                            }
                        });
                    }
                }));
    }

    @Override
    public void log(String line) {
        if (Boolean.getBoolean("tinworks.simulation.log")) {
            System.out.println(simulator.millis() + " " + name + ": " + line);
        }
    }

    /** Writes one output after the other, as {@link DiskThread} does. */
    private final class Writer implements Disk {
        private final long incarnation;
        private final ArrayDeque<Write> writes = new ArrayDeque<>();
        private boolean busy;

        private record Write(Output output, Runnable done) {}

        Writer(long incarnation) {
            this.incarnation = incarnation;
        }

        @Override
        public void write(Output output, Runnable done) {
            if (mutation == Mutation.SYNC_SKIPPED) {
                // Confirmed at once, but written 300 ms later.
                simulator.schedule(0, () -> machine.deliver(incarnation, done));
                writes.add(new Write(output, () -> {}));
            } else {
                writes.add(new Write(output, done));
            }
            writeNext();
        }

        private void writeNext() {
            if (!busy && !writes.isEmpty()) {
                busy = true;
                long durationMicros = syncMicros / 2
                        + random.nextLong(syncMicros)
                        + (mutation == Mutation.SYNC_SKIPPED ? 300_000 : 0);
                sync(durationMicros + Math.max(0, stalledUntil - simulator.micros()));
            }
        }

        private void sync(long micros) {
            simulator.schedule(micros, () -> {
                if (machine.incarnation() != incarnation || !machine.running()) {
                    return;
                }
                Write write = writes.peek();
                if (store.write(write.output)) {
                    writes.poll();
                    machine.deliver(incarnation, () -> {
                        write.done.run();
                        busy = false;
                        writeNext();
                    });
                } else {
                    sync(RETRY_MICROS);
                }
            });
        }

        Output writeInProgress() {
            return busy && !writes.isEmpty() && !diskFull ? writes.peek().output : null;
        }
    }

    /** Passes on all announcements of a node as up to date, whatever its state. */
    private record AlwaysFreshListener(CoreMachine core, Map<PeerConnection, PeerConnection> wrappers)
            implements PeerConnection.Listener {
        private PeerConnection wrapper(PeerConnection connection) {
            return wrappers.computeIfAbsent(connection, AlwaysFreshConnection::new);
        }

        @Override
        public void opened(PeerConnection connection) {
            core.opened(wrapper(connection));
        }

        @Override
        public void received(PeerConnection connection, PeerMessage message) {
            core.received(wrapper(connection), message);
        }

        @Override
        public void closed(PeerConnection connection) {
            core.closed(wrappers.remove(connection));
        }

        @Override
        public void log(String line) {
            core.log(line);
        }
    }

    private record AlwaysFreshConnection(PeerConnection inner) implements PeerConnection {
        @Override
        public Hello peer() {
            return inner.peer();
        }

        @Override
        public boolean isOutbound() {
            return inner.isOutbound();
        }

        @Override
        public boolean isOpen() {
            return inner.isOpen();
        }

        @Override
        public void send(PeerMessage message) {
            inner.send(message instanceof PeerMessage.Announce a ? withFreshFlag(a) : message);
        }

        /** Copies an announcement with its {@code fresh} flag set. */
        private static PeerMessage.Announce withFreshFlag(PeerMessage.Announce announcement) {
            RecordComponent[] components = PeerMessage.Announce.class.getRecordComponents();
            Class<?>[] types = new Class<?>[components.length];
            Object[] values = new Object[components.length];
            try {
                for (int i = 0; i < components.length; i++) {
                    types[i] = components[i].getType();
                    values[i] = components[i].getName().equals("fresh")
                            ? true
                            : components[i].getAccessor().invoke(announcement);
                }
                return PeerMessage.Announce.class.getConstructor(types).newInstance(values);
            } catch (ReflectiveOperationException e) {
                throw new IllegalStateException(e);
            }
        }

        @Override
        public void close(String reason) {
            inner.close(reason);
        }
    }
}
