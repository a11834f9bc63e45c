package tinworks.control;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;
import tinworks.channel.PeerMessage.CallResponse;
import tinworks.simulation.Simulator;

/**
 * Those who call the core: they choose among the machines of a list that lags, go on to another after a failure, a 5xx
 * or a second of silence with a pause that grows, and send an order that has no clear answer again as it was.
 */
final class SimulatedOperators {
    private static final long SILENCE_MICROS = 1_000_000;
    private static final long FIRST_PAUSE = 100_000;
    private static final long LONGEST_PAUSE = 1_000_000;
    private static final int MOST_UNDER_WAY = 8;
    private static final int LOST_ANSWERS = 10;
    private static final int MOST_LOST = 2;
    private static final int CONFLICT = 412;
    private static final int INVALID = 400;
    private static final int NOT_FOUND = 404;

    private final Simulator world;
    private final SplittableRandom random;
    private final HistoryCheck check;
    private final Supplier<List<SimulatedCore>> listed;
    /** Told when an order is sent for the first time. */
    private final Runnable sent;

    private int underWay;
    private long meanPauseMillis;
    private boolean ordering;
    int tries;
    int repeats;
    int races;

    SimulatedOperators(Simulator world, HistoryCheck check, Supplier<List<SimulatedCore>> listed, Runnable sent) {
        this.world = world;
        this.check = check;
        this.listed = listed;
        this.sent = sent;
        random = world.random().split();
    }

    /** Begins with the first version, and goes on with one change after such a pause in the mean. */
    void begin(long pauseMillis) {
        meanPauseMillis = pauseMillis;
        ordering = true;
        order(null, 1, true);
        nextOrder();
        nextShow();
    }

    void stopOrdering() {
        ordering = false;
    }

    private void nextOrder() {
        world.schedule(1_000 * (1 + random.nextLong(2 * meanPauseMillis)), () -> {
            if (ordering) {
                change();
                nextOrder();
            }
        });
    }

    /** One more change, of whatever sort. */
    void change() {
        Order newest = check.newest();
        if (newest == null || underWay >= MOST_UNDER_WAY) {
            return;
        }
        int sort = random.nextInt(20);
        if (sort == 0) {
            order(newest, newest.rev + 1, false);
        } else if (sort == 1) {
            order(newest, newest.rev, true);
        } else if (sort <= 4) {
            race();
        } else if (sort <= 6) {
            // On one that is still under way.
            Order last = check.orders.get(check.orders.size() - 1);
            Order base = last.valid && last.rev > newest.rev ? last : newest;
            order(base, base.rev + 1, true);
        } else {
            order(newest, newest.rev + 1 + (random.nextInt(4) == 0 ? random.nextInt(3) : 0), true);
        }
    }

    /** Two at once on the newest version, with one number or two. */
    void race() {
        Order newest = check.newest();
        if (newest != null) {
            races++;
            order(newest, newest.rev + 1, true);
            order(newest, newest.rev + 1 + random.nextInt(2), true);
        }
    }

    /** A change that must be taken; null where there is nothing to build on. */
    Order proper() {
        Order newest = check.newest();
        return newest == null ? null : order(newest, newest.rev + 1, true);
    }

    private Order order(Order basedOn, long rev, boolean valid) {
        Order order = new Order(check.orders.size(), basedOn, rev, valid);
        check.orders.add(order);
        order.sentAt = world.millis();
        underWay++;
        sent.run();
        attempt(order, new Target(), FIRST_PAUSE, new int[1]);
        return order;
    }

    private void attempt(Order order, Target target, long pause, int[] lost) {
        tries++;
        long triedAt = world.millis();
        call(target, (core, told) -> core.replace(order.base, order.body, told), answer -> {
            boolean clear = answer != null && clear(answer.status());
            if (clear && lost[0] < MOST_LOST && random.nextInt(LOST_ANSWERS) == 0) {
                lost[0]++;
                clear = false;
                target.forget();
            }
            if (clear) {
                judge(order, answer, triedAt);
                underWay--;
                if (random.nextInt(4) == 0) {
                    world.schedule(random.nextLong(4_000_000), () -> repeat(order));
                }
            } else {
                world.schedule(
                        pause / 2 + random.nextLong(pause),
                        () -> attempt(order, target, Math.min(LONGEST_PAUSE, 2 * pause), lost));
            }
        });
    }

    /** Sends an order once more that has had its answer: the answer may have been lost on its way. */
    void repeat(Order order) {
        if (order.valid && order.rev > order.base && !order.early) {
            repeats++;
            long triedAt = world.millis();
            call(new Target(), (core, told) -> core.replace(order.base, order.body, told), answer -> {
                if (answer != null && clear(answer.status())) {
                    judge(order, answer, triedAt);
                }
            });
        }
    }

    private void judge(Order order, CallResponse answer, long triedAt) {
        if (answer.status() == OperatorCalls.OK) {
            check.acknowledged(order, Order.revOf(new String(answer.body(), StandardCharsets.UTF_8)), world.millis());
        } else {
            check.refused(order, answer.status(), triedAt, world.millis());
        }
    }

    private static boolean clear(int status) {
        return status == OperatorCalls.OK || status == CONFLICT || status == INVALID;
    }

    // ---- readers

    private void nextShow() {
        world.schedule(1_000 * (50 + random.nextLong(1_500)), () -> {
            show(answered -> {});
            nextShow();
        });
    }

    /** Asks for the version in force until there is an answer. */
    void show(Consumer<Order> told) {
        show(new Target(), told);
    }

    private void show(Target target, Consumer<Order> told) {
        long askedAt = world.millis();
        String[] where = new String[1];
        call(
                target,
                (core, answer) -> {
                    where[0] = core.name;
                    core.show(answer);
                },
                answer -> {
                    if (answer != null && (answer.status() == OperatorCalls.OK || answer.status() == NOT_FOUND)) {
                        Order shown = answer.status() == NOT_FOUND ? null : check.order(Order.numberOf(answer.body()));
                        check.shown(shown, askedAt, where[0], world.millis());
                        told.accept(shown);
                    } else {
                        world.schedule(200_000 + random.nextLong(300_000), () -> show(target, told));
                    }
                });
    }

    // ---- the wire

    private interface Asked {
        void of(SimulatedCore core, Consumer<CallResponse> told);
    }

    /** Which machine the tries of one call go to. */
    private final class Target {
        private SimulatedCore last;

        /**
         * One of the list, and after a failure another than the last, where there is another; null while none is
         * listed.
         */
        SimulatedCore next() {
            List<SimulatedCore> all = listed.get();
            List<SimulatedCore> others =
                    all.stream().filter(core -> core != last).toList();
            List<SimulatedCore> choice = others.isEmpty() ? all : others;
            last = choice.isEmpty() ? null : choice.get(random.nextInt(choice.size()));
            return last;
        }

        /** The machine didn't fail: it may be the next as well. */
        void forget() {
            last = null;
        }
    }

    /** One try at a machine; told null where there is no answer. */
    private void call(Target target, Asked asked, Consumer<CallResponse> told) {
        boolean[] over = new boolean[1];
        Consumer<CallResponse> once = answer -> {
            if (!over[0]) {
                over[0] = true;
                told.accept(answer);
            }
        };
        world.schedule(SILENCE_MICROS, () -> once.accept(null));
        SimulatedCore core = target.next();
        if (core == null) {
            return;
        }
        world.schedule(delay(), () -> {
            if (!core.machine.powered()) {
                return;
            }
            if (!core.running()) {
                world.schedule(delay(), () -> once.accept(null));
                return;
            }
            core.machine.deliver(
                    core.machine.incarnation(),
                    () -> asked.of(core, answer -> world.schedule(delay(), () -> once.accept(answer))));
        });
    }

    private long delay() {
        return 3_000L + random.nextInt(1_000);
    }
}
