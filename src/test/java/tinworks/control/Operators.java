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
 * Simulated operators that follow the documented protocol: up to eight changes in flight, each sent to any node and
 * retried unchanged after a second without a definite response. Some responses are lost. All responses that nodes gave,
 * received or lost, are checked at the end.
 */
final class Operators {
    private static final Pattern REV = Pattern.compile("\"rev\":(\\d+)");
    private static final int MAX_IN_FLIGHT = 8;
    private static final int TIMEOUT_MILLIS = 1_000;

    private final CoreNetwork network;
    private final List<Change> changes = new ArrayList<>();
    /** The newest version reported in any response, by the time of that response. */
    private final TreeMap<Long, Long> reportedRevs = new TreeMap<>(Map.of(0L, 0L));

    private final double responseLossRate;
    /** The newest version that operators have received. */
    private long newestKnownRev;

    private int inFlight;
    int acknowledged;
    int refused;

    /** A configuration change and the responses given to it, received or lost. */
    private static final class Change {
        final long base;
        final long rev;
        final byte[] body;
        boolean acknowledged;
        boolean refused;
        boolean settled;

        Change(long base, long rev, byte[] body) {
            this.base = base;
            this.rev = rev;
            this.body = body;
        }

        @Override
        public String toString() {
            return base + " -> " + rev + " " + new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Creates operators that lose the given share of the responses. */
    Operators(CoreNetwork network, double responseLossRate) {
        this.network = network;
        this.responseLossRate = responseLossRate;
    }

    static byte[] configurationJson(long rev, String tag) {
        return ("{\"rev\":" + rev + ",\"routes\":[],\"svcs\":[{\"name\":\"" + tag + "\"}]}")
                .getBytes(StandardCharsets.UTF_8);
    }

    static long rev(CallResponse response) {
        Matcher rev = REV.matcher(new String(response.body(), StandardCharsets.UTF_8));
        return rev.find() ? Long.parseLong(rev.group(1)) : 0;
    }

    /**
     * Sends a change unless eight are in flight. It is based on the newest known version, an older one, or one that is
     * not yet confirmed.
     */
    void sendChange() {
        if (inFlight < MAX_IN_FLIGHT) {
            inFlight++;
            int choice = network.random.nextInt(10);
            Change last = changes.isEmpty() ? null : changes.get(changes.size() - 1);
            long base =
                    choice == 0 && last != null ? last.rev : choice == 1 && last != null ? last.base : newestKnownRev;
            long rev = Math.max(1, base + 1 + network.random.nextInt(3) - (choice == 2 ? 3 : 0));
            Change change = new Change(base, rev, configurationJson(rev, "s" + changes.size()));
            changes.add(change);
            send(change);
        }
    }

    private CoreNetwork.Node anyNode() {
        return network.nodes.get(network.random.nextInt(network.nodes.size()));
    }

    private void send(Change change) {
        CoreNetwork.Node node = anyNode();
        boolean[] done = {false};
        node.scheduleInProcess(
                1 + network.random.nextInt(4),
                () -> node.machine.calls().replace(List.of(Long.toString(change.base)), change.body, response -> {
                    recordResponse(change, response);
                    boolean delivered = network.random.nextDouble() >= responseLossRate;
                    network.schedule(1 + network.random.nextInt(4), () -> {
                        if (delivered && !done[0]) {
                            done[0] = true;
                            responseReceived(change, response);
                        }
                    });
                }));
        network.schedule(TIMEOUT_MILLIS, () -> {
            if (!done[0]) {
                done[0] = true;
                retryLater(change);
            }
        });
    }

    private void responseReceived(Change change, CallResponse response) {
        if (response.status() == OperatorCalls.OUTCOME_UNKNOWN) {
            retryLater(change);
        } else if (!change.settled) {
            change.settled = true;
            inFlight--;
            newestKnownRev = Math.max(newestKnownRev, change.acknowledged ? change.rev : 0);
        }
    }

    private void retryLater(Change change) {
        network.schedule(50 + network.random.nextInt(300), () -> send(change));
    }

    private void recordResponse(Change change, CallResponse response) {
        if (response.status() == OperatorCalls.OK) {
            change.acknowledged = true;
            assertEquals(change.rev, rev(response), "confirmed with the version of another change: " + change);
            recordReported(change.rev);
        } else if (response.status() != OperatorCalls.OUTCOME_UNKNOWN) {
            change.refused = true;
        }
        assertFalse(change.acknowledged && change.refused, "both acknowledged and refused: " + change);
    }

    private void recordReported(long rev) {
        reportedRevs.put(network.nowMillis, Math.max(rev, newestReported(network.nowMillis)));
    }

    /** Returns the newest version reported in any response up to a time. */
    long newestReported(long at) {
        return reportedRevs.floorEntry(at).getValue();
    }

    /** Reads the current version, and checks that it is not older than any version reported before the request. */
    void show() {
        CoreNetwork.Node node = anyNode();
        long before = newestReported(network.nowMillis);
        node.scheduleInProcess(
                1,
                () -> node.machine.calls().show(response -> {
                    if (response.status() != OperatorCalls.OUTCOME_UNKNOWN) {
                        long rev = response.status() == OperatorCalls.OK ? rev(response) : 0;
                        assertTrue(rev >= before, "shown " + rev + " after " + before);
                        recordReported(rev);
                        newestKnownRev = Math.max(newestKnownRev, rev);
                    }
                }));
    }

    /** Checks all responses against the log of a node that is up to date. */
    void checkAgainst(ConfigurationHistory history) {
        List<Long> bases = new ArrayList<>();
        for (Change change : changes) {
            byte[] command = ConfigurationHistory.command(change.base, change.rev, change.body);
            boolean inForce = change.rev <= history.rev()
                    && history.evaluate(change.base, change.rev, command) == Verdict.ACCEPTED;
            assertTrue(inForce || !change.acknowledged, "acknowledged but lost: " + change);
            assertFalse(inForce && change.refused, "refused but in force: " + change);
            assertFalse(inForce && bases.contains(change.base), "two changes in force on one base: " + change);
            if (inForce) {
                bases.add(change.base);
            }
            acknowledged += change.acknowledged ? 1 : 0;
            refused += change.refused ? 1 : 0;
        }
    }
}
