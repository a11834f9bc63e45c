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

/** A core machine of the simulation: the production {@link CoreMachine} with a simulated clock, network and disk. */
final class SimulatedCore implements CoreMachine.Environment {
    private static final long RETRY_MICROS = 200_000;
    private static final long START_AGAIN_MICROS = 500_000;
    private static final long POLL_MILLIS = 1_000;

    /** What a simulated core machine needs of the day round it. */
    interface Around {
        /** The platform's list at present. */
        List<HostList.Host> platform();

        /** A core machine has said this on a call of the operator. */
        void answered(SimulatedCore core, CallResponse answer);

        /** Something may have changed at this machine. */
        void worked(SimulatedCore core);
    }

    final Machine machine;
    final String name;
    private final Simulator world;
    private final SimulatedNetwork network;
    private final Map<String, Machine> machines;
    private final SimulatedStore store;
    private final SplittableRandom random;
    private final Around around;
    private final Flaw flaw;
    private final int losses;
    private final long syncMicros;
    private final Set<Consumer<CallResponse>> open = new LinkedHashSet<>();
    private CoreMachine core;
    private ConnectionManager links;
    private Writer writer;
    private List<String> seeds = List.of();
    private long knownId;
    private long stalledUntil;
    private boolean full;
    private boolean fetching;
    private long fetches;
    /** Removed for good. */
    boolean gone;
    /** When it stops counting as lost, in the world's milliseconds. */
    long lostUntil;
    /** The version that the checker last saw in force here, in this life. */
    long seenRev;

    Raft.Role seenRole;

    SimulatedCore(
            Simulator world,
            SimulatedNetwork network,
            Map<String, Machine> machines,
            String name,
            String address,
            int losses,
            long syncMicros,
            boolean onFiles,
            Flaw flaw,
            Around around) {
        this.world = world;
        this.network = network;
        this.machines = machines;
        this.name = name;
        this.losses = losses;
        this.syncMicros = syncMicros;
        this.flaw = flaw;
        this.around = around;
        random = world.random().split();
        machine = new Machine(world, address, () -> around.worked(this));
        machines.put(address, machine);
        long seed = random.nextLong();
        store = onFiles
                ? new SimulatedStore.Files(seed, flaw != Flaw.FOLDER_NOT_SYNCED)
                : new SimulatedStore.Memory(seed);
    }

    // ---- its lives

    void start(boolean bootstrap, List<String> itsSeeds) {
        machine.start();
        seeds = itsSeeds;
        seenRev = 0;
        fetching = false;
        // Above all ids of a first start.
        long newId =
                flaw == Flaw.IDENTITY_KEPT && knownId != 0 ? knownId : (random.nextLong() | 1L << 62) & Long.MAX_VALUE;
        SimulatedStore.Found found = store.open(machine.address(), bootstrap, seeds, newId);
        if (found == null) {
            // The process ends and is started again.
            machine.kill();
            world.schedule(START_AGAIN_MICROS, () -> {
                if (machine.powered() && !machine.running() && !gone) {
                    start(false, itsSeeds);
                }
            });
            return;
        }
        knownId = found.id();
        PersistentState stored = found.stored();
        if (flaw == Flaw.VOTE_FORGOTTEN) {
            stored = new PersistentState(HardState.NONE, stored.snapshot(), stored.entries());
        }
        writer = new Writer(machine.incarnation());
        core = new CoreMachine(new CoreMachine.Identity(found.id(), machine.address(), losses), stored, writer, this);
        if (flaw == Flaw.REPEATS_FORGOTTEN) {
            forgetRepeats();
        }
        Hello own = new Hello(NodeRole.CORE, found.id(), machine.address(), name, "z");
        PeerConnection.Listener listener = flaw == Flaw.ALWAYS_FRESH ? new SaysFresh(core, new HashMap<>()) : core;
        links = network.connectionManager(machine, machines, own, listener);
        network.listen(machine, own, listener);
        tick();
    }

    private void forgetRepeats() {
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
            store.killed(writer.midway());
            machine.kill();
            network.processKilled(machine);
            hangUp();
        }
    }

    void powerOff() {
        if (machine.powered()) {
            store.powerLost(machine.running() ? writer.midway() : null);
            machine.powerOff();
            network.powerOff(machine);
            // Callers hear nothing.
            open.clear();
        }
    }

    /** The disk is lost; the machine is off. */
    void wipe() {
        powerOff();
        store.wipe();
    }

    /** SIGTERM, and then the end as {@link Core} does it. */
    void end() {
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

    private void hangUp() {
        List<Consumer<CallResponse>> callers = List.copyOf(open);
        open.clear();
        callers.forEach(caller -> caller.accept(null));
    }

    /** The disk takes its time with everything until then, in the world's milliseconds. */
    void stallDisk(long untilMillis) {
        stalledUntil = untilMillis * 1_000;
    }

    void fillDisk(boolean nowFull) {
        full = nowFull;
        store.full(nowFull);
    }

    boolean diskInTrouble() {
        return full || stalledUntil > world.micros();
    }

    void resettle(List<String> newSeeds) {
        seeds = newSeeds;
    }

    // ---- what is seen of it

    boolean running() {
        return machine.running() && core != null;
    }

    CoreMachine core() {
        return core;
    }

    boolean leads() {
        return running() && core.raftDriver().raft().role() == Raft.Role.LEADER;
    }

    // ---- the operator's calls, on the machine's own thread

    /** Told null where the connection breaks. */
    void replace(long base, byte[] body, Consumer<CallResponse> told) {
        take(told, answer -> {
            core.calls().replace(List.of(Long.toString(base)), body, answer);
            if (flaw == Flaw.EARLY_VERDICT
                    && leads()
                    && core.raftDriver().history().rev() == base
                    && open.contains(told)) {
                String text = new String(body, StandardCharsets.UTF_8);
                long rev = Order.revOf(text);
                answer.accept(new CallResponse(
                        0, OperatorCalls.OK, ("{\"rev\":" + rev + "}\n").getBytes(StandardCharsets.UTF_8)));
            }
        });
    }

    void show(Consumer<CallResponse> told) {
        take(told, answer -> core.calls().show(answer));
    }

    private void take(Consumer<CallResponse> told, Consumer<Consumer<CallResponse>> work) {
        open.add(told);
        work.accept(answer -> {
            if (open.remove(told)) {
                told.accept(answer);
                around.answered(this, answer);
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
        return links;
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
        long took = 3_000L + random.nextInt(10_000);
        long life = machine.incarnation();
        List<HostList.Host> list = around.platform();
        world.schedule(
                took,
                () -> machine.deliver(life, () -> {
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
            System.out.println(world.millis() + " " + name + ": " + line);
        }
    }

    /** Writes one output after the other, as {@link DiskThread} does. */
    private final class Writer implements Disk {
        private final long life;
        private final ArrayDeque<Write> writes = new ArrayDeque<>();
        private boolean busy;

        private record Write(Output output, Runnable done) {}

        Writer(long life) {
            this.life = life;
        }

        @Override
        public void write(Output output, Runnable done) {
            if (flaw == Flaw.SYNC_SKIPPED) {
                // Said to be on the disk at once, and there a good while later.
                world.schedule(0, () -> machine.deliver(life, done));
                writes.add(new Write(output, () -> {}));
            } else {
                writes.add(new Write(output, done));
            }
            next();
        }

        private void next() {
            if (!busy && !writes.isEmpty()) {
                busy = true;
                long takes = syncMicros / 2 + random.nextLong(syncMicros) + (flaw == Flaw.SYNC_SKIPPED ? 300_000 : 0);
                sync(takes + Math.max(0, stalledUntil - world.micros()));
            }
        }

        private void sync(long micros) {
            world.schedule(micros, () -> {
                if (machine.incarnation() != life || !machine.running()) {
                    return;
                }
                Write write = writes.peek();
                if (store.write(write.output)) {
                    writes.poll();
                    machine.deliver(life, () -> {
                        write.done.run();
                        busy = false;
                        next();
                    });
                } else {
                    sync(RETRY_MICROS);
                }
            });
        }

        Output midway() {
            return busy && !writes.isEmpty() && !full ? writes.peek().output : null;
        }
    }

    /** What a machine says that takes itself for up to date whatever happens. */
    private record SaysFresh(CoreMachine core, Map<PeerConnection, PeerConnection> said)
            implements PeerConnection.Listener {
        private PeerConnection fresh(PeerConnection conversation) {
            return said.computeIfAbsent(conversation, Fresh::new);
        }

        @Override
        public void opened(PeerConnection conversation) {
            core.opened(fresh(conversation));
        }

        @Override
        public void received(PeerConnection conversation, PeerMessage signal) {
            core.received(fresh(conversation), signal);
        }

        @Override
        public void closed(PeerConnection conversation) {
            core.closed(said.remove(conversation));
        }

        @Override
        public void log(String line) {
            core.log(line);
        }
    }

    private record Fresh(PeerConnection inner) implements PeerConnection {
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
        public void send(PeerMessage signal) {
            inner.send(signal instanceof PeerMessage.Announce a ? fresh(a) : signal);
        }

        /** The same, whatever else it says, but fresh. */
        private static PeerMessage.Announce fresh(PeerMessage.Announce said) {
            RecordComponent[] parts = PeerMessage.Announce.class.getRecordComponents();
            Class<?>[] types = new Class<?>[parts.length];
            Object[] values = new Object[parts.length];
            try {
                for (int i = 0; i < parts.length; i++) {
                    types[i] = parts[i].getType();
                    values[i] = parts[i].getName().equals("fresh")
                            ? true
                            : parts[i].getAccessor().invoke(said);
                }
                return PeerMessage.Announce.class.getConstructor(types).newInstance(values);
            } catch (ReflectiveOperationException e) {
                throw new IllegalStateException(e);
            }
        }

        @Override
        public void close(String why) {
            inner.close(why);
        }
    }
}
