package tinworks.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;
import tinworks.channel.HostList;
import tinworks.channel.PeerMessage.CallResponse;
import tinworks.channel.SimulatedNetwork;
import tinworks.edge.CoreFollower;
import tinworks.edge.StaleVersionFollower;
import tinworks.raft.Raft;
import tinworks.simulation.Machine;
import tinworks.simulation.Simulator;

/**
 * A simulated day of the control plane: core nodes, edges and operators on one simulated network, with faults injected
 * at given times and rules checked throughout. Equal settings give equal days.
 */
final class SimulatedDay implements SimulatedCore.Callbacks {
    /** The closing fault, which is injected right after one more change was acknowledged. */
    enum Closing {
        NONE,
        POWER_ALL,
        KILL_ALL,
        WIPE_SOME,
        WIPE_SOME_POWER_ALL
    }

    /**
     * The settings that determine a day.
     *
     * @param losses the number of core nodes that may be lost at once
     * @param applyMillis the time within which edges must apply an acknowledged change
     * @param onFiles whether nodes use the production store on a simulated disk
     * @param pauseMillis the mean pause between two changes
     * @param millis the time at which faults and changes end
     */
    record Settings(
            long seed,
            int machines,
            int losses,
            int edges,
            long applyMillis,
            boolean onFiles,
            long syncMicros,
            long pauseMillis,
            long millis,
            List<InjectedFault> faults,
            Closing closing,
            Mutation mutation) {
        /** Draws the settings of a day from a seed. */
        static Settings of(long seed) {
            SplittableRandom random = new SplittableRandom(seed);
            int kind = random.nextInt(20);
            int machines = kind < 10 ? 3 : kind < 17 ? 4 : 5;
            int edges = 2 + random.nextInt(2);
            long millis = 14_000 + random.nextLong(14_000);
            long pause = random.nextInt(8) == 0 ? 60 : 200 + random.nextLong(1_500);
            Closing closing = random.nextInt(3) == 0 ? Closing.NONE : Closing.values()[1 + random.nextInt(4)];
            return new Settings(
                    seed,
                    machines,
                    machines == 5 ? 2 : 1,
                    edges,
                    random.nextBoolean() ? 3_000 : 2_000,
                    random.nextInt(10) == 0,
                    random.nextBoolean() ? 1_000 : 5_000,
                    pause,
                    millis,
                    InjectedFault.drawFaults(random, FIRST_FAULT_MILLIS, millis, machines, edges),
                    closing,
                    Mutation.NONE);
        }

        /** Creates the settings of a scripted day; the seed determines everything else. */
        static Settings scripted(long seed, int machines, boolean onFiles, long pause, String script, Closing closing) {
            List<InjectedFault> faults = InjectedFault.parseScript(script);
            long millis = faults.stream()
                            .mapToLong(fault -> fault.atMillis() + fault.durationMillis())
                            .max()
                            .orElse(FIRST_FAULT_MILLIS)
                    + 6_000;
            return new Settings(
                    seed,
                    machines,
                    machines == 5 ? 2 : 1,
                    3,
                    3_000,
                    onFiles,
                    1_000,
                    pause,
                    millis,
                    faults,
                    closing,
                    Mutation.NONE);
        }

        Settings with(List<InjectedFault> others) {
            return new Settings(
                    seed,
                    machines,
                    losses,
                    edges,
                    applyMillis,
                    onFiles,
                    syncMicros,
                    pauseMillis,
                    millis,
                    others,
                    closing,
                    mutation);
        }

        Settings with(Closing other) {
            return new Settings(
                    seed,
                    machines,
                    losses,
                    edges,
                    applyMillis,
                    onFiles,
                    syncMicros,
                    pauseMillis,
                    millis,
                    faults,
                    other,
                    mutation);
        }

        Settings with(Mutation other) {
            Settings day = other == Mutation.DIRECTORY_NOT_SYNCED ? onFiles(true) : this;
            return new Settings(
                    seed,
                    machines,
                    losses,
                    edges,
                    applyMillis,
                    day.onFiles,
                    syncMicros,
                    pauseMillis,
                    millis,
                    faults,
                    closing,
                    other);
        }

        Settings onFiles(boolean other) {
            return new Settings(
                    seed,
                    machines,
                    losses,
                    edges,
                    applyMillis,
                    other,
                    syncMicros,
                    pauseMillis,
                    millis,
                    faults,
                    closing,
                    mutation);
        }
    }

    /** The counts of a day. */
    record Result(
            long events,
            Map<InjectedFault.Kind, Integer> faults,
            int changes,
            int acknowledged,
            int refused,
            int attempts,
            int resends,
            int races,
            int reads) {}

    static final long FIRST_FAULT_MILLIS = 4_000;
    static final long SETTLE_MILLIS = 4_000;
    static final long ACKNOWLEDGE_MILLIS = 5_000;
    static final long CATCH_UP_MILLIS = 4_000;
    static final long RECOVERY_MILLIS = 15_000;
    private static final long LISTING_LAG_MILLIS = 3_000;
    private static final long LISTING_INTERVAL_MILLIS = 500;
    private static final long CHECK_INTERVAL_MILLIS = 100;
    private static final long FAULT_RETRY_MILLIS = 300;
    private static final long MAX_WAIT_MILLIS = 60_000;
    private static final long FIRST_CHANGE_MILLIS = 1_000;
    private static final long SHUTDOWN_MICROS = 3_000_000;
    private static final int MAX_SEEDS = 3;
    private static final int SLOW_BYTES_PER_MILLI = 40;

    private final Settings settings;
    private final Simulator simulator;
    private final SplittableRandom random;
    private final SimulatedNetwork network;
    private final Map<String, Machine> machines = new HashMap<>();
    private final Map<String, SimulatedCore> cores = new LinkedHashMap<>();
    private final Map<String, SimulatedEdge> edges = new LinkedHashMap<>();
    private final Map<SimulatedEdge, Long> servedRevs = new HashMap<>();
    private final Map<SimulatedCore, Integer> activeFaults = new HashMap<>();
    private final Map<Long, SimulatedCore> leaders = new HashMap<>();
    private final ArrayDeque<List<SimulatedCore>> recentListings = new ArrayDeque<>();
    private final List<InjectedFault> faultsAfterAck = new ArrayList<>();
    private final List<InjectedFault> faultsAfterSend = new ArrayList<>();
    private final Map<InjectedFault.Kind, Integer> faultCounts = new EnumMap<>(InjectedFault.Kind.class);
    private final List<OperatorChange> openChanges = new ArrayList<>();
    private final HistoryChecker history = new HistoryChecker();
    private final SimulatedOperators operators;
    private List<HostList.Host> platform = List.of();
    private long platformChanges;
    private long lastFaultEventMillis;
    private long settleMillis = SETTLE_MILLIS;
    private int slowedCores;
    private boolean closingFaultArmed;
    private boolean ending;
    private boolean closingFaultInjected;

    private SimulatedDay(Settings settings) {
        this.settings = settings;
        simulator = new Simulator(settings.seed);
        random = simulator.random().split();
        network = new SimulatedNetwork(simulator);
        operators = new SimulatedOperators(simulator, history, this::listed, this::changeSent);
    }

    /** Simulates a day; a broken rule is thrown as a {@link HistoryChecker.RuleViolation}. */
    static Result simulate(Settings settings) {
        SimulatedDay day = new SimulatedDay(settings);
        try {
            day.run();
        } catch (RuntimeException e) {
            HistoryChecker.RuleViolation broken =
                    new HistoryChecker.RuleViolation("CRASH: " + e + " at " + day.simulator.millis() + " ms");
            broken.initCause(e);
            throw broken;
        }
        return new Result(
                day.simulator.events(),
                day.faultCounts,
                day.history.changes.size(),
                day.history.acknowledged,
                day.history.refused,
                day.operators.attempts,
                day.operators.resends,
                day.operators.races,
                day.history.reads);
    }

    private void run() {
        startAll();
        simulator.runUntil(settings.millis);
        operators.stopSending();
        // Later acknowledgements must not trigger a fault: the final read does not wait for a node
        // to restart.
        faultsAfterAck.clear();
        if (settings.closing != Closing.NONE) {
            runClosingFault();
        }
        runUntil(() -> hasNoActiveFault(), "faults are still active");
        simulator.runUntil(simulator.millis() + 2 * SETTLE_MILLIS + 1_000);
        verifyAtEnd();
    }

    // ---- start

    private void startAll() {
        List<String> first = new ArrayList<>();
        for (int i = 1; i <= settings.machines; i++) {
            first.add(add("m" + i).machine.address());
        }
        List<String> seeds = List.copyOf(first.subList(0, Math.min(MAX_SEEDS, first.size())));
        recentListings.add(List.copyOf(cores.values()));
        for (SimulatedCore core : List.copyOf(cores.values())) {
            simulator.schedule(1_000L * random.nextInt(300), () -> core.start(true, seeds));
        }
        for (int i = 1; i <= settings.edges; i++) {
            SimulatedEdge edge = new SimulatedEdge(simulator, network, machines, "e" + i, follower(), this::checkEdges);
            edges.put(edge.name, edge);
            simulator.schedule(1_000L * random.nextInt(300), () -> edge.start(seeds));
        }
        changePlatform();
        updateListing();
        simulator.schedule(CHECK_INTERVAL_MILLIS * 1_000, this::checkPeriodically);
        simulator.schedule(FIRST_CHANGE_MILLIS * 1_000, () -> operators.begin(settings.pauseMillis));
        settings.faults.forEach(fault -> simulator.schedule(fault.atMillis() * 1_000, () -> inject(fault)));
    }

    private Function<CoreFollower.Callbacks, CoreFollower> follower() {
        return settings.mutation == Mutation.VERSIONS_NOT_COMPARED ? StaleVersionFollower::new : CoreFollower::new;
    }

    private SimulatedCore add(String name) {
        String address = "10.0.0." + name.substring(1) + ":7000";
        SimulatedCore core = new SimulatedCore(
                simulator,
                network,
                machines,
                name,
                address,
                settings.losses,
                settings.syncMicros,
                settings.onFiles,
                settings.mutation,
                this);
        cores.put(name, core);
        return core;
    }

    private void changePlatform() {
        platformChanges++;
        platform = List.of(
                new HostList.Host("h" + platformChanges, "s", "10.1.0.1:80", "z", 3, false, 0),
                new HostList.Host("same", "s", "10.1.0.2:80", "z", 3, platformChanges % 2 == 0, 0));
        simulator.schedule(1_000 * (1_000 + random.nextLong(4_000)), this::changePlatform);
    }

    private void updateListing() {
        List<SimulatedCore> running =
                cores.values().stream().filter(c -> c.running() && !c.removed).toList();
        // While no node runs, the last listing that had nodes stays in use.
        recentListings.add(running.isEmpty() ? recentListings.peekLast() : running);
        if (recentListings.size() > LISTING_LAG_MILLIS / LISTING_INTERVAL_MILLIS) {
            recentListings.poll();
        }
        simulator.schedule(LISTING_INTERVAL_MILLIS * 1_000, this::updateListing);
    }

    private List<SimulatedCore> listed() {
        return recentListings.peek();
    }

    private List<String> seeds() {
        List<String> seeds = new ArrayList<>();
        listed().forEach(c -> seeds.add(c.machine.address()));
        for (int i = seeds.size(); i > 1; i--) {
            Collections.swap(seeds, i - 1, random.nextInt(i));
        }
        return List.copyOf(seeds.subList(0, Math.min(MAX_SEEDS, seeds.size())));
    }

    private void log(String line) {
        if (Boolean.getBoolean("tinworks.simulation.log")) {
            System.out.println(simulator.millis() + " " + line);
        }
    }

    // ---- fault injection

    private boolean countsAsLost(SimulatedCore core) {
        return activeFaults.getOrDefault(core, 0) > 0 || simulator.millis() < core.countsAsLostUntil;
    }

    private boolean mayBeLost(SimulatedCore core) {
        return cores.values().stream().filter(c -> c != core && countsAsLost(c)).count() < settings.losses;
    }

    private void beginFault(SimulatedCore core) {
        activeFaults.merge(core, 1, Integer::sum);
        lastFaultEventMillis = simulator.millis();
    }

    private void endFault(SimulatedCore core) {
        activeFaults.merge(core, -1, Integer::sum);
        core.countsAsLostUntil = Math.max(core.countsAsLostUntil, simulator.millis() + CATCH_UP_MILLIS);
        lastFaultEventMillis = simulator.millis();
    }

    private void restartAfter(SimulatedCore core, long millis) {
        simulator.schedule(millis * 1_000, () -> {
            if (!core.removed && !core.running()) {
                core.start(false, seeds());
            }
            log(core.name + " restarted");
            endFault(core);
        });
    }

    private SimulatedCore findTarget(String target) {
        List<SimulatedCore> candidates = cores.values().stream()
                .filter(c -> c.running() && !c.removed && activeFaults.getOrDefault(c, 0) == 0)
                .toList();
        SimulatedCore leader = null;
        for (SimulatedCore core : candidates) {
            if (core.leads()
                    && (leader == null
                            || core.core().raftDriver().raft().term()
                                    > leader.core().raftDriver().raft().term())) {
                leader = core;
            }
        }
        if (target.equals("leader")) {
            return leader;
        }
        if (target.startsWith("m")) {
            return candidates.contains(cores.get(target)) ? cores.get(target) : null;
        }
        SimulatedCore excluded = target.equals("other") ? leader : null;
        List<SimulatedCore> others =
                candidates.stream().filter(c -> c != excluded).toList();
        return others.isEmpty() ? null : others.get(random.nextInt(others.size()));
    }

    private void postpone(InjectedFault fault) {
        if (simulator.millis() < settings.millis) {
            simulator.schedule(FAULT_RETRY_MILLIS * 1_000, () -> inject(fault));
        }
    }

    private void inject(InjectedFault fault) {
        if (ending || !injectClusterFault(fault)) {
            SimulatedCore core = ending ? null : findTarget(fault.target());
            if (core == null || !mayBeLost(core)) {
                postpone(fault);
                return;
            }
            injectCoreFault(core, fault);
        }
    }

    private void countFault(InjectedFault fault, String target) {
        log(target + ": " + fault);
        faultCounts.merge(fault.kind(), 1, Integer::sum);
    }

    /** Injects a fault that affects several core nodes or none; returns false for a fault of one core node. */
    private boolean injectClusterFault(InjectedFault fault) {
        switch (fault.kind()) {
            case ALL -> stopAllCores(fault.argument() == 1, fault.durationMillis());
            case RESET -> resetConnections((int) fault.argument());
            case AFTER_ACK -> faultsAfterAck.add(fault);
            case AFTER_SEND, WIPE_AFTER_SEND -> faultsAfterSend.add(fault);
            case EDGE_START -> startEdge(edges.get(fault.target()), fault.durationMillis() / 4);
            case EDGE_CUT -> partitionEdge(edges.get(fault.target()), fault.durationMillis());
            case RACES -> sendRaces(fault.argument());
            case CHANGES -> sendChanges(fault.argument());
            default -> {
                return false;
            }
        }
        countFault(fault, "all");
        return true;
    }

    private void injectCoreFault(SimulatedCore core, InjectedFault fault) {
        countFault(fault, core.name);
        switch (fault.kind()) {
            case KILL -> {
                beginFault(core);
                core.kill();
                restartAfter(core, fault.durationMillis());
            }
            case POWER -> powerDown(core, fault.durationMillis(), false);
            case WIPE -> powerDown(core, fault.durationMillis(), true);
            case FREEZE -> freeze(core, fault.durationMillis());
            case SLOW -> slow(core, fault.durationMillis(), fault.argument());
            case CUT -> partition(core, fault.durationMillis(), (int) fault.argument());
            case CUT_BOTH -> {
                partition(core, fault.durationMillis(), 0);
                restartDuringPartition(core, fault.durationMillis());
            }
            case CUT_SEEDS -> {
                partition(core, fault.durationMillis(), (int) fault.argument());
                simulator.schedule(
                        fault.durationMillis() * 750,
                        () -> edges.values().forEach(e -> startEdge(e, 100, List.of(core.machine.address()))));
            }
            case REPLACE -> replace(core, fault.argument());
            case LOSE -> lose(core, fault.argument());
            case STALL -> stall(core, fault.durationMillis());
            case FULL -> fill(core, fault.durationMillis());
            default -> throw new IllegalArgumentException("not a fault of one core node: " + fault);
        }
    }

    private void powerDown(SimulatedCore core, long millis, boolean wiped) {
        beginFault(core);
        if (wiped) {
            core.wipe();
        } else {
            core.powerOff();
        }
        restartAfter(core, millis);
    }

    private void stopAllCores(boolean power, long millis) {
        for (SimulatedCore core : cores.values()) {
            if (!core.removed && core.running()) {
                beginFault(core);
                if (power) {
                    core.powerOff();
                } else {
                    core.kill();
                }
                restartAfter(core, millis + random.nextLong(300));
            }
        }
    }

    private void freeze(SimulatedCore core, long millis) {
        beginFault(core);
        core.machine.freeze();
        long life = core.machine.incarnation();
        simulator.schedule(millis * 1_000, () -> {
            if (core.machine.incarnation() == life) {
                core.machine.thaw();
            }
            endFault(core);
        });
    }

    private void slow(SimulatedCore core, long millis, long micros) {
        beginFault(core);
        slowedCores++;
        core.machine.setProcessingMicros(micros);
        network.throttle(core.machine, SLOW_BYTES_PER_MILLI);
        simulator.schedule(millis * 1_000, () -> {
            core.machine.setProcessingMicros(0);
            network.unthrottle(core.machine);
            slowedCores--;
            endFault(core);
        });
    }

    private void partition(SimulatedCore core, long millis, int way) {
        beginFault(core);
        List<SimulatedCore> others =
                cores.values().stream().filter(c -> c != core && !c.removed).toList();
        for (SimulatedCore other : others) {
            if (way != 2) {
                network.partition(other.machine, core.machine);
            }
            if (way != 1) {
                network.partition(core.machine, other.machine);
            }
        }
        simulator.schedule(millis * 1_000, () -> {
            for (SimulatedCore other : others) {
                network.heal(other.machine, core.machine);
                network.heal(core.machine, other.machine);
            }
            endFault(core);
        });
    }

    private void restartDuringPartition(SimulatedCore core, long millis) {
        restartLater(core, millis / 4);
        int after = 1;
        for (SimulatedCore other : List.copyOf(cores.values())) {
            if (other != core) {
                // Restarted one after the other, each only where one more node may be lost.
                simulator.schedule(millis * 1_000 + 1_000 * CATCH_UP_MILLIS * after++, () -> {
                    if (other.running() && activeFaults.getOrDefault(other, 0) == 0 && mayBeLost(other)) {
                        beginFault(other);
                        other.kill();
                        restartAfter(other, 300);
                    }
                });
            }
        }
    }

    private void restartLater(SimulatedCore core, long inMillis) {
        simulator.schedule(inMillis * 1_000, () -> {
            if (core.running() && !core.removed) {
                core.kill();
                lastFaultEventMillis = simulator.millis();
                simulator.schedule(300_000, () -> {
                    if (!core.running() && !core.removed) {
                        core.start(false, seeds());
                        lastFaultEventMillis = simulator.millis();
                    }
                });
            }
        });
    }

    private void resetConnections(int count) {
        List<SimulatedCore> all =
                cores.values().stream().filter(c -> !c.removed).toList();
        for (int i = 0; i < count; i++) {
            SimulatedCore one = all.get(random.nextInt(all.size()));
            all.forEach(other -> network.resetConnections(one.machine, other.machine));
        }
        lastFaultEventMillis = simulator.millis();
    }

    private void replace(SimulatedCore core, long millis) {
        SimulatedCore successor = add("m" + (cores.size() + 1));
        log(successor.name + " starts as a replacement");
        successor.start(false, seeds());
        beginFault(core);
        simulator.schedule(millis * 1_000, () -> {
            log(core.name + " shuts down");
            lastFaultEventMillis = simulator.millis();
            core.removed = true;
            core.terminate();
            simulator.schedule(SHUTDOWN_MICROS, () -> {
                core.powerOff();
                lastFaultEventMillis = simulator.millis();
            });
            simulator.schedule(
                    Math.max(1_000, CATCH_UP_MILLIS - millis) * 1_000,
                    () -> activeFaults.merge(core, -1, Integer::sum));
        });
    }

    private void lose(SimulatedCore core, long millis) {
        beginFault(core);
        core.removed = true;
        core.wipe();
        simulator.schedule(millis * 1_000, () -> {
            SimulatedCore successor = add("m" + (cores.size() + 1));
            successor.start(false, seeds());
            lastFaultEventMillis = simulator.millis();
            simulator.schedule(CATCH_UP_MILLIS * 1_000, () -> activeFaults.merge(core, -1, Integer::sum));
        });
    }

    private void stall(SimulatedCore core, long millis) {
        activeFaults.merge(core, 1, Integer::sum);
        core.stallDisk(simulator.millis() + millis);
        simulator.schedule(millis * 1_000, () -> activeFaults.merge(core, -1, Integer::sum));
    }

    private void fill(SimulatedCore core, long millis) {
        activeFaults.merge(core, 1, Integer::sum);
        core.fillDisk(true);
        simulator.schedule(millis * 1_000, () -> {
            core.fillDisk(false);
            activeFaults.merge(core, -1, Integer::sum);
        });
    }

    // ---- edges and changes

    private void startEdge(SimulatedEdge edge, long downMillis) {
        startEdge(edge, downMillis, seeds());
    }

    private void startEdge(SimulatedEdge edge, long downMillis, List<String> first) {
        if (!edge.machine.running()) {
            return;
        }
        edge.kill();
        simulator.schedule(downMillis * 1_000, () -> {
            List<String> seeds = new ArrayList<>(first);
            List<String> others = seeds.size() < MAX_SEEDS && random.nextBoolean() ? List.of() : seeds();
            others.stream()
                    .filter(s -> !seeds.contains(s) && seeds.size() < MAX_SEEDS)
                    .forEach(seeds::add);
            edge.start(seeds);
            edge.fewerSeeds = seeds.size() < Math.min(MAX_SEEDS, listed().size());
        });
    }

    /**
     * Returns whether an edge cannot find any core node: it has fewer seeds than documented for users (three, or all
     * where fewer nodes serve), which is harder than a real start, and none of them is up.
     */
    private boolean hasNoReachableSeed(SimulatedEdge edge) {
        return edge.fewerSeeds
                && cores.values().stream()
                        .filter(core -> edge.seeds().contains(core.machine.address()))
                        .noneMatch(core -> core.running() && !core.removed && !core.machine.frozen());
    }

    private void partitionEdge(SimulatedEdge edge, long millis) {
        if (edge.partitioned) {
            return;
        }
        edge.partitioned = true;
        edge.partitionedSinceStart = true;
        List<SimulatedCore> all = List.copyOf(cores.values());
        all.forEach(c -> {
            network.partition(edge.machine, c.machine);
            network.partition(c.machine, edge.machine);
        });
        simulator.schedule(millis * 1_000, () -> {
            all.forEach(c -> {
                network.heal(edge.machine, c.machine);
                network.heal(c.machine, edge.machine);
            });
            edge.partitioned = false;
            edge.lastFaultAt = simulator.millis();
        });
    }

    private void sendRaces(long left) {
        if (left > 0 && !ending) {
            operators.sendRace();
            simulator.schedule(100_000 + random.nextLong(400_000), () -> sendRaces(left - 1));
        }
    }

    private void sendChanges(long left) {
        if (left > 0 && !ending) {
            operators.sendRandomChange();
            simulator.schedule(10_000 + random.nextLong(80_000), () -> sendChanges(left - 1));
        }
    }

    private void changeSent() {
        OperatorChange change = history.changes.get(history.changes.size() - 1);
        if (change.valid && change.rev > change.base) {
            openChanges.add(change);
        }
        if (!faultsAfterSend.isEmpty()) {
            InjectedFault fault = faultsAfterSend.remove(0);
            simulator.schedule(fault.argument() * 1_000, () -> {
                SimulatedCore core = ending ? null : findTarget(fault.target());
                if (core != null && mayBeLost(core)) {
                    powerDown(core, fault.durationMillis(), fault.kind() == InjectedFault.Kind.WIPE_AFTER_SEND);
                } else {
                    faultsAfterSend.add(fault);
                }
            });
        }
    }

    // ---- SimulatedCore.Callbacks

    @Override
    public List<HostList.Host> platformHosts() {
        return platform;
    }

    @Override
    public void responseSent(SimulatedCore core, CallResponse response) {
        boolean acknowledges = response.status() == OperatorCalls.OK && response.body().length < 64;
        if (acknowledges
                && !faultsAfterAck.isEmpty()
                && !core.removed
                && activeFaults.getOrDefault(core, 0) == 0
                && mayBeLost(core)) {
            InjectedFault fault = faultsAfterAck.remove(0);
            beginFault(core);
            simulator.schedule(random.nextInt(4_000), () -> {
                if (fault.argument() == 0) {
                    core.kill();
                } else if (fault.argument() == 1) {
                    core.powerOff();
                } else {
                    core.wipe();
                }
                restartAfter(core, fault.durationMillis());
            });
        }
        if (acknowledges && closingFaultArmed) {
            closingFaultArmed = false;
            simulator.schedule(random.nextInt(4_000), () -> injectClosingFault(core));
        }
    }

    @Override
    public void afterEvent(SimulatedCore core) {
        Raft raft = core.core().raftDriver().raft();
        if (raft.role() != core.lastLoggedRole) {
            core.lastLoggedRole = raft.role();
            log(core.name + " is " + raft.role() + " in term " + raft.term());
        }
        if (raft.role() == Raft.Role.LEADER) {
            SimulatedCore before = leaders.putIfAbsent(raft.term(), core);
            if (before != null && before != core) {
                throw new HistoryChecker.RuleViolation(
                        "TWO LEADERS: " + before.name + " and " + core.name + " in term " + raft.term());
            }
        }
        long rev = core.core().raftDriver().history().rev();
        if (rev != core.lastCheckedRev) {
            if (rev < core.lastCheckedRev) {
                throw new HistoryChecker.RuleViolation(
                        "WENT BACK: " + core.name + " from " + core.lastCheckedRev + " to " + rev);
            }
            core.lastCheckedRev = rev;
            history.recordInForce(
                    history.change(OperatorChange.numberOf(
                            core.core().raftDriver().history().body())),
                    core.name,
                    simulator.millis());
        }
    }

    // ---- checks

    private void checkEdges() {
        long dueRev = isSettled() ? history.acknowledgedBy(simulator.millis() - settings.applyMillis) : 0;
        for (SimulatedEdge edge : edges.values()) {
            checkReady(edge, dueRev);
            long before = servedRevs.getOrDefault(edge, 0L);
            long rev = edge.machine.running() ? edge.rev() : 0;
            if (rev != before) {
                servedRevs.put(edge, rev);
                if (rev != 0) {
                    if (rev < before) {
                        throw new HistoryChecker.RuleViolation(
                                "EDGE WENT BACK: " + edge.name + " from " + before + " to " + rev);
                    }
                    history.recordInForce(history.change(edge.changeNumber()), edge.name, simulator.millis());
                }
            }
        }
    }

    private void checkReady(SimulatedEdge edge, long dueRev) {
        if (edge.machine.running() && !edge.partitionedSinceStart && edge.ready() && edge.rev() < dueRev) {
            throw new HistoryChecker.RuleViolation("READY BUT OLD: " + edge.name + " serves " + edge.rev() + " at "
                    + simulator.millis() + " though " + dueRev + " was acknowledged");
        }
    }

    /**
     * Returns whether the core is settled: no fault for the documented time, and no more nodes down than may be lost.
     */
    private boolean isSettled() {
        long now = simulator.millis();
        long down = cores.values().stream()
                .filter(c -> !c.removed && (activeFaults.getOrDefault(c, 0) > 0 || !c.running()))
                .count();
        return slowedCores == 0 && now - lastFaultEventMillis >= settleMillis && down <= settings.losses;
    }

    private void checkPeriodically() {
        simulator.schedule(CHECK_INTERVAL_MILLIS * 1_000, this::checkPeriodically);
        long now = simulator.millis();
        boolean settled = isSettled();
        for (SimulatedEdge edge : edges.values()) {
            if (!edge.machine.running()) {
                servedRevs.put(edge, 0L);
            } else if (settled && !edge.partitioned) {
                long dueRev = history.acknowledgedBy(now - settings.applyMillis);
                boolean inContact = now - edge.lastFaultAt >= SETTLE_MILLIS && !hasNoReachableSeed(edge);
                checkReady(edge, dueRev);
                if (edge.rev() < dueRev && inContact) {
                    throw new HistoryChecker.RuleViolation("EDGE BEHIND: " + edge.name + " serves " + edge.rev()
                            + " at " + now + " though " + dueRev + " was acknowledged");
                }
                if (inContact
                        && now > 3 * SETTLE_MILLIS
                        && edge.hostList().hosts().isEmpty()) {
                    throw new HistoryChecker.RuleViolation("NO LIST: " + edge.name + " at " + now);
                }
            }
        }
        openChanges.removeIf(OperatorChange::isSettled);
        OperatorChange newest = history.newest();
        for (OperatorChange change : openChanges) {
            boolean due = settled && (change == newest || change.base == (newest == null ? 0 : newest.rev));
            if (!due) {
                change.dueSince = -1;
            } else if (change.dueSince < 0) {
                change.dueSince = now;
            } else if (now - change.dueSince > ACKNOWLEDGE_MILLIS) {
                throw new HistoryChecker.RuleViolation(
                        "NOT ACKNOWLEDGED: " + change + " of " + change.sentAt + " is not acknowledged by " + now);
            }
        }
    }

    // ---- end of the day

    private interface Condition {
        boolean holds();
    }

    private void runUntil(Condition condition, String otherwise) {
        long until = simulator.millis() + MAX_WAIT_MILLIS;
        while (!condition.holds()) {
            if (simulator.millis() >= until) {
                throw new HistoryChecker.RuleViolation("NO END: " + otherwise + " by " + simulator.millis());
            }
            simulator.runUntil(simulator.millis() + CHECK_INTERVAL_MILLIS);
        }
    }

    private boolean hasNoActiveFault() {
        return cores.values().stream().noneMatch(c -> activeFaults.getOrDefault(c, 0) > 0)
                && edges.values().stream().noneMatch(e -> e.partitioned);
    }

    /** Injects the closing fault once no node counts as lost, so that as many as are tolerated may be lost. */
    private void runClosingFault() {
        ending = true;
        runUntil(() -> cores.values().stream().noneMatch(this::countsAsLost), "core nodes still count as lost");
        closingFaultArmed = true;
        operators.sendValidChange();
        runUntil(() -> closingFaultInjected, "the last change is not acknowledged");
    }

    private void injectClosingFault(SimulatedCore acknowledger) {
        closingFaultInjected = true;
        settleMillis = 2 * SETTLE_MILLIS;
        List<SimulatedCore> all =
                cores.values().stream().filter(c -> !c.removed).toList();
        List<SimulatedCore> wiped = new ArrayList<>();
        if (settings.closing == Closing.WIPE_SOME || settings.closing == Closing.WIPE_SOME_POWER_ALL) {
            wiped.add(acknowledger);
            all.stream()
                    .filter(c -> c != acknowledger)
                    .limit(settings.losses - 1)
                    .forEach(wiped::add);
        }
        for (SimulatedCore core : all) {
            if (wiped.contains(core)) {
                beginFault(core);
                core.wipe();
            } else if (settings.closing == Closing.KILL_ALL) {
                beginFault(core);
                core.kill();
            } else if (settings.closing != Closing.WIPE_SOME) {
                beginFault(core);
                core.powerOff();
            } else {
                continue;
            }
            restartAfter(core, 1_500 + random.nextLong(500));
        }
        long back = simulator.millis() + 2_000;
        simulator.schedule(2_000_000, () -> {
            sendUntilAcknowledged(back);
            OperatorChange[] shown = new OperatorChange[1];
            operators.read(read -> shown[0] = read);
            simulator.schedule(RECOVERY_MILLIS * 1_000, () -> {
                if (!acknowledgedSince(back) || shown[0] == null) {
                    throw new HistoryChecker.RuleViolation("NOT RECOVERED: " + RECOVERY_MILLIS + " ms after " + back);
                }
            });
        });
    }

    private boolean acknowledgedSince(long millis) {
        return history.changes.stream().anyMatch(o -> o.sentAt >= millis && o.acknowledgedAt >= 0);
    }

    /**
     * Sends changes until one sent after this time is acknowledged; one still in flight may have been accepted before
     * it.
     */
    private void sendUntilAcknowledged(long since) {
        if (!acknowledgedSince(since)) {
            operators.sendValidChange();
            simulator.schedule(1_000_000, () -> sendUntilAcknowledged(since));
        }
    }

    /** Sends all acknowledged changes once more, and checks that the newest version is read back. */
    private void verifyAtEnd() {
        // Pending faults would be triggered by the changes sent here, and the read below relies on a
        // settled core.
        faultsAfterAck.clear();
        faultsAfterSend.clear();
        history.changes.stream().filter(o -> o.acknowledgedAt >= 0).forEach(operators::resend);
        OperatorChange[] shown = new OperatorChange[1];
        operators.read(read -> shown[0] = read);
        simulator.runUntil(simulator.millis() + (settings.closing == Closing.NONE ? SETTLE_MILLIS : RECOVERY_MILLIS));
        if (shown[0] == null || shown[0] != history.newest()) {
            throw new HistoryChecker.RuleViolation(
                    "LOST: " + shown[0] + " is shown at the end, but " + history.newest() + " was in force");
        }
        for (OperatorChange change : history.changes) {
            if (change.acknowledgedAt >= 0 && change.inForceAt < 0) {
                throw new HistoryChecker.RuleViolation("LOST: " + change);
            }
        }
    }
}
