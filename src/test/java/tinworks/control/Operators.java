package tinworks.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import tinworks.channel.PeerMessage.CallResponse;
import tinworks.config.ConfigurationHistory;
import tinworks.config.ConfigurationHistory.Verdict;

/**
 * Operators who send orders as the pages say: up to eight at once, to any machine, again as it was after a second
 * without a clear answer. Answers are lost on their way. What the core has said, whether or not it was heard, is
 * checked at the end.
 */
final class Operators {
    private static final Pattern REV = Pattern.compile("\"rev\":(\\d+)");
    private static final int MOST = 8;
    private static final int PATIENCE_MILLIS = 1_000;

    private final CoreNetwork network;
    private final List<Order> orders = new ArrayList<>();
    /** The newest version that anybody was told of, by the time from which that was so. */
    private final TreeMap<Long, Long> told = new TreeMap<>(Map.of(0L, 0L));

    private final double lost;
    /** The newest version that operators have heard of. */
    private long known;

    private int open;
    int acknowledged;
    int refused;

    /** One order: the answers that were given to it, heard or not. */
    private static final class Order {
        final long base;
        final long rev;
        final byte[] body;
        boolean taken;
        boolean refused;
        boolean clear;

        Order(long base, long rev, byte[] body) {
            this.base = base;
            this.rev = rev;
            this.body = body;
        }

        @Override
        public String toString() {
            return base + " -> " + rev + " " + new String(body, StandardCharsets.UTF_8);
        }
    }

    /** A share of the answers is lost. */
    Operators(CoreNetwork network, double lost) {
        this.network = network;
        this.lost = lost;
    }

    static byte[] configurationJson(long rev, String tag) {
        return ("{\"rev\":" + rev + ",\"routes\":[],\"svcs\":[{\"name\":\"" + tag + "\"}]}")
                .getBytes(StandardCharsets.UTF_8);
    }

    static long rev(CallResponse answer) {
        Matcher rev = REV.matcher(new String(answer.body(), StandardCharsets.UTF_8));
        return rev.find() ? Long.parseLong(rev.group(1)) : 0;
    }

    /**
     * Sends an order, unless eight are under way: on the newest known version, an older one, or one that is only
     * ordered yet.
     */
    void sendChange() {
        if (open < MOST) {
            open++;
            int chance = network.random.nextInt(10);
            Order last = orders.isEmpty() ? null : orders.get(orders.size() - 1);
            long base = chance == 0 && last != null ? last.rev : chance == 1 && last != null ? last.base : known;
            long rev = Math.max(1, base + 1 + network.random.nextInt(3) - (chance == 2 ? 3 : 0));
            Order order = new Order(base, rev, configurationJson(rev, "s" + orders.size()));
            orders.add(order);
            send(order);
        }
    }

    private CoreNetwork.Node any() {
        return network.nodes.get(network.random.nextInt(network.nodes.size()));
    }

    private void send(Order order) {
        CoreNetwork.Node node = any();
        boolean[] over = {false};
        node.scheduleInProcess(
                1 + network.random.nextInt(4),
                () -> node.machine.calls().replace(List.of(Long.toString(order.base)), order.body, answer -> {
                    judge(order, answer);
                    boolean heard = network.random.nextDouble() >= lost;
                    network.schedule(1 + network.random.nextInt(4), () -> {
                        if (heard && !over[0]) {
                            over[0] = true;
                            heard(order, answer);
                        }
                    });
                }));
        network.schedule(PATIENCE_MILLIS, () -> {
            if (!over[0]) {
                over[0] = true;
                again(order);
            }
        });
    }

    private void heard(Order order, CallResponse answer) {
        if (answer.status() == OperatorCalls.OUTCOME_UNKNOWN) {
            again(order);
        } else if (!order.clear) {
            order.clear = true;
            open--;
            known = Math.max(known, order.taken ? order.rev : 0);
        }
    }

    private void again(Order order) {
        network.schedule(50 + network.random.nextInt(300), () -> send(order));
    }

    private void judge(Order order, CallResponse answer) {
        if (answer.status() == OperatorCalls.OK) {
            order.taken = true;
            assertEquals(order.rev, rev(answer), "confirmed under another's number: " + order);
            tell(order.rev);
        } else if (answer.status() != OperatorCalls.OUTCOME_UNKNOWN) {
            order.refused = true;
        }
        assertFalse(order.taken && order.refused, "both taken and refused: " + order);
    }

    private void tell(long rev) {
        told.put(network.nowMillis, Math.max(rev, newestReported(network.nowMillis)));
    }

    /** The newest version that anybody was told of up to that time. */
    long newestReported(long at) {
        return told.floorEntry(at).getValue();
    }

    /** Reads what is newest; it is never older than what anybody was told before the call. */
    void show() {
        CoreNetwork.Node node = any();
        long before = newestReported(network.nowMillis);
        node.scheduleInProcess(
                1,
                () -> node.machine.calls().show(answer -> {
                    if (answer.status() != OperatorCalls.OUTCOME_UNKNOWN) {
                        long rev = answer.status() == OperatorCalls.OK ? rev(answer) : 0;
                        assertTrue(rev >= before, "shown " + rev + " after " + before);
                        tell(rev);
                        known = Math.max(known, rev);
                    }
                }));
    }

    /** All that was said against what is in the log of a machine that is up to date. */
    void checkAgainst(ConfigurationHistory history) {
        List<Long> bases = new ArrayList<>();
        for (Order order : orders) {
            byte[] command = ConfigurationHistory.command(order.base, order.rev, order.body);
            boolean isTaken =
                    order.rev <= history.rev() && history.evaluate(order.base, order.rev, command) == Verdict.ACCEPTED;
            assertTrue(isTaken || !order.taken, "acknowledged and gone: " + order);
            assertFalse(isTaken && order.refused, "in force though it was refused: " + order);
            assertFalse(isTaken && bases.contains(order.base), "two on one base: " + order);
            if (isTaken) {
                bases.add(order.base);
            }
            acknowledged += order.taken ? 1 : 0;
            refused += order.refused ? 1 : 0;
        }
    }
}
