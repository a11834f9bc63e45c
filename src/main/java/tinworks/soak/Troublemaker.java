package tinworks.soak;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.IntFunction;
import java.util.function.LongConsumer;
import java.util.stream.IntStream;
import tinworks.json.Json;
import tinworks.local.Machines;
import tinworks.local.Operator;
import tinworks.node.NodeProcess;
import tinworks.soak.SoakHost.Conduct;
import tinworks.soak.Trouble.Side;
import tinworks.standin.StandInPlatform;

/** Carries out the troubles of a day, each at its time whatever others do, and writes down when whom they struck. */
final class Troublemaker {
    private static final long DELAY_MILLIS = 150;
    private static final long RESET_EVERY_MILLIS = 400;

    private final SoakPlan plan;
    private final ProcessTroubles processes;
    private final SoakHosts hosts;
    private final Relays relays;
    private final EventLoop relayLoop;
    private final SoakOperators operators;
    private final RudeClients rude;
    private final LongConsumer burst;
    private final Books books;
    private final Timeline timeline;
    private final ScheduledExecutorService timers;
    private final ExecutorService workers;
    private final Operator status;
    private final SplittableRandom random;
    private final Coverage coverage = new Coverage();
    private final Map<Trouble, BiPredicate<String, String>> cuts = new HashMap<>();
    private final Map<Trouble, BiPredicate<String, String>> delays = new HashMap<>();
    private final List<String> lines = new ArrayList<>();

    Troublemaker(
            SoakPlan plan,
            Machines machines,
            SoakHosts hosts,
            Relays relays,
            EventLoop relayLoop,
            SoakOperators operators,
            List<EdgeProbe> probes,
            RudeClients rude,
            LongConsumer burst,
            Books books,
            Timeline timeline,
            ScheduledExecutorService timers,
            ExecutorService workers) {
        this.plan = plan;
        processes = new ProcessTroubles(plan, machines, probes, books, timeline, timers, this::note);
        this.hosts = hosts;
        this.relays = relays;
        this.relayLoop = relayLoop;
        this.operators = operators;
        this.rude = rude;
        this.burst = burst;
        this.books = books;
        this.timeline = timeline;
        this.timers = timers;
        this.workers = workers;
        status = new Operator(operators.cores());
        random = new SplittableRandom(plan.seed() ^ 0x5eed);
    }

    /** What it does to processes. */
    ProcessTroubles processes() {
        return processes;
    }

    /** What has struck so far. */
    Coverage coverage() {
        return coverage;
    }

    /** What was done when, a line each. */
    synchronized List<String> lines() {
        return List.copyOf(lines);
    }

    private synchronized void note(String line) {
        lines.add("trouble at " + books.now() + " ms: " + line);
    }

    /** Begins with a trouble; never takes long. */
    void begin(Trouble trouble) {
        try {
            workers.execute(() -> {
                try {
                    play(trouble);
                } catch (IOException | RuntimeException e) {
                    note(trouble + " could not be played: " + e);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        } catch (RejectedExecutionException e) {
            note(trouble + " came after the end");
        }
    }

    private void later(long millis, Runnable work) {
        timers.schedule(work, millis, TimeUnit.MILLISECONDS);
    }

    private String core(Trouble trouble) {
        return "core-" + trouble.target() % plan.cores();
    }

    private String edge(Trouble trouble) {
        return SoakDay.edge(trouble.target() % plan.edges());
    }

    private static List<String> inTurn(int first, int count, IntFunction<String> name) {
        return IntStream.range(0, count)
                .mapToObj(i -> name.apply((first + i) % count))
                .toList();
    }

    private String leader() throws InterruptedException, IOException {
        for (int i = 0; i < plan.cores(); i++) {
            String told = status.status(i).orElse("{}");
            if (Json.read(told).field("role").text().equals("LEADER")) {
                return "core-" + i;
            }
        }
        return "core-0";
    }

    private void play(Trouble trouble) throws IOException, InterruptedException {
        Side side = trouble.kind().side();
        coverage.struck(trouble.kind(), side == Side.EDGE ? processes.open(edge(trouble)) : books.open());
        switch (side) {
            case CORE -> strikeCore(trouble);
            case EDGE -> strikeEdge(trouble);
            case HOST -> strikeHost(trouble);
            default -> strikeOthers(trouble);
        }
        note(trouble + " was played");
    }

    private void strikeCore(Trouble trouble) throws IOException, InterruptedException {
        long millis = trouble.forMillis();
        switch (trouble.kind()) {
            case KILL_CORE -> processes.kill(core(trouble));
            case KILL_LEADER -> processes.kill(leader());
            case PAUSE_CORE -> processes.pause(core(trouble), millis);
            case PAUSE_LEADER -> processes.pause(leader(), millis);
            case STOP_CORE -> processes.stop(core(trouble));
            case KILL_CORE_SERIES -> processes.killInSeries(core(trouble), split());
            case SIGNAL_CORE -> processes.signalInSeries(core(trouble), split());
            case ROLL_CORES -> processes.stopInTurn(inTurn(trouble.target(), plan.cores(), i -> "core-" + i), split());
            case LOSE_DISK -> processes.loseDisk(core(trouble));
            case CUT_CORE -> cutOff(trouble, core(trouble));
            case CUT_LEADER -> {
                String cut = leader();
                cut(
                        trouble,
                        cut,
                        (from, to) -> ProcessTroubles.isCore(from)
                                && ProcessTroubles.isCore(to)
                                && (from.equals(cut) || to.equals(cut)));
            }
            case MUTE_CORE -> {
                String cut = core(trouble);
                cut(trouble, cut, (from, to) -> from.equals(cut));
            }
            case RESET_CORE -> reset(core(trouble), millis);
            case DELAY_CORE -> delay(trouble, core(trouble));
            case KILL_ALL_CORES -> processes.killCores();
            case KILL_ALL -> processes.killAll();
            default -> throw new IllegalStateException(trouble.toString());
        }
    }

    private void strikeEdge(Trouble trouble) throws IOException, InterruptedException {
        switch (trouble.kind()) {
            case KILL_EDGE -> processes.kill(edge(trouble));
            case KILL_EDGE_SERIES -> processes.killInSeries(edge(trouble), split());
            case SIGNAL_EDGE -> processes.signalInSeries(edge(trouble), split());
            case ROLL_EDGES -> processes.stopInTurn(inTurn(trouble.target(), plan.edges(), SoakDay::edge), split());
            case PAUSE_EDGE -> processes.pause(edge(trouble), trouble.forMillis());
            case STOP_EDGE -> processes.stop(edge(trouble));
            case CUT_EDGE -> cutOff(trouble, edge(trouble));
            case RELOAD_EDGE -> processes.reload(edge(trouble));
            default -> throw new IllegalStateException(trouble.toString());
        }
    }

    private void strikeHost(Trouble trouble) throws InterruptedException {
        switch (trouble.kind()) {
            case SLOW_HOST -> behave(trouble, Conduct.SLOW);
            case MUTE_HOST -> behave(trouble, Conduct.MUTE);
            case LOSE_ANSWERS -> behave(trouble, Conduct.LOSE_ANSWERS);
            case GARBLE -> behave(trouble, Conduct.GARBLE);
            case FAIL -> behave(trouble, Conduct.FAIL);
            case TURN_AWAY -> behave(trouble, Conduct.TURN_AWAY);
            case FORGET_IDLE -> behave(trouble, Conduct.FORGET_IDLE);
            case CRASH_HOST -> hosts.crash(trouble.target(), false, trouble.forMillis());
            case REUSE_ADDRESS -> hosts.crash(trouble.target(), true, trouble.forMillis());
            case REPLACE_HOST -> hosts.replace(trouble.target());
            default -> throw new IllegalStateException(trouble.toString());
        }
    }

    private void strikeOthers(Trouble trouble) throws InterruptedException {
        long millis = trouble.forMillis();
        switch (trouble.kind()) {
            case PLATFORM_DOWN -> platformDown(trouble);
            case BURST -> burst.accept(millis);
            case RACE -> order(SoakOperators.Conduct.RACE, millis);
            case ORDER_SERIES -> order(SoakOperators.Conduct.SERIES, millis);
            case LOSE_ACKS -> order(SoakOperators.Conduct.LOSE_ACKS, millis);
            case BAD_ORDERS -> order(SoakOperators.Conduct.BAD_ORDERS, millis);
            case LARGE_ORDERS -> order(SoakOperators.Conduct.LARGE_ORDERS, millis);
            case HUGE_ORDERS -> order(SoakOperators.Conduct.HUGE_ORDERS, millis);
            default -> rude.play(trouble, split());
        }
    }

    private synchronized SplittableRandom split() {
        return random.split();
    }

    private void reset(String machine, long millis) throws InterruptedException {
        processes.troubled(machine, millis);
        for (long at = 0; at < millis; at += RESET_EVERY_MILLIS) {
            NodeProcess.run(relayLoop, () -> relays.reset(machine));
            TimeUnit.MILLISECONDS.sleep(RESET_EVERY_MILLIS);
        }
    }

    private void cutOff(Trouble trouble, String machine) {
        cut(trouble, machine, (from, to) -> from.equals(machine) || to.equals(machine));
    }

    private void cut(Trouble trouble, String machine, BiPredicate<String, String> links) {
        note(trouble.kind().word() + " of " + machine + " for " + trouble.forMillis());
        processes.troubled(machine, trouble.forMillis());
        change(cuts, trouble, links);
    }

    private void delay(Trouble trouble, String machine) {
        processes.troubled(machine, trouble.forMillis());
        change(delays, trouble, (from, to) -> from.equals(machine) || to.equals(machine));
    }

    private void change(
            Map<Trouble, BiPredicate<String, String>> map, Trouble trouble, BiPredicate<String, String> links) {
        synchronized (this) {
            map.put(trouble, links);
        }
        applyLinks();
        later(trouble.forMillis(), () -> {
            synchronized (this) {
                map.remove(trouble);
            }
            applyLinks();
        });
    }

    private void applyLinks() {
        BiPredicate<String, String> cut = any(cuts);
        BiPredicate<String, String> slow = any(delays);
        relayLoop.execute(() -> {
            relays.delay(slow, DELAY_MILLIS);
            relays.cut(cut);
        });
    }

    private synchronized BiPredicate<String, String> any(Map<Trouble, BiPredicate<String, String>> map) {
        List<BiPredicate<String, String>> all = List.copyOf(map.values());
        return (from, to) -> all.stream().anyMatch(links -> links.test(from, to));
    }

    private void behave(Trouble trouble, Conduct conduct) {
        hosts.behave(conduct, trouble.target(), trouble.forMillis());
    }

    private void platformDown(Trouble trouble) {
        StandInPlatform.Conduct[] ways = {
            StandInPlatform.Conduct.BUSY, StandInPlatform.Conduct.MUTE, StandInPlatform.Conduct.GARBLED
        };
        hosts.platform(ways[trouble.target() % ways.length]);
        // No drain is due while the platform can't be asked.
        long now = books.now();
        timeline.lasts(SoakHost.PLATFORM_TROUBLE, now, now + trouble.forMillis());
        later(trouble.forMillis(), () -> hosts.platform(StandInPlatform.Conduct.SOUND));
    }

    private void order(SoakOperators.Conduct conduct, long millis) {
        operators.behave(conduct);
        later(millis, () -> operators.behave(SoakOperators.Conduct.USUAL));
    }

    /** All troubles are over. */
    void heal() {
        synchronized (this) {
            cuts.clear();
            delays.clear();
        }
        applyLinks();
        processes.resumeAll();
        hosts.platform(StandInPlatform.Conduct.SOUND);
        operators.behave(SoakOperators.Conduct.USUAL);
    }
}
