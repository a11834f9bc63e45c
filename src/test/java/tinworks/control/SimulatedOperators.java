package tinworks.control;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;
import tinworks.channel.PeerMessage.CallResponse;
import tinworks.simulation.Simulator;

/**
 * Simulated operators. They pick nodes from a list that lags, and after a failure, a 5xx or a second without a response
 * try another node with exponential backoff. A change without a definite response is retried unchanged.
 */
final class SimulatedOperators {
    private static final long TIMEOUT_MICROS = 1_000_000;
    private static final long INITIAL_BACKOFF_MICROS = 100_000;
    private static final long MAX_BACKOFF_MICROS = 1_000_000;
    private static final int MAX_IN_FLIGHT = 8;
    private static final int LOST_RESPONSE_ONE_IN = 10;
    private static final int MAX_LOST_RESPONSES = 2;
    private static final int CONFLICT = 412;
    private static final int INVALID = 400;
    private static final int NOT_FOUND = 404;

    private final Simulator simulator;
    private final SplittableRandom random;
    private final HistoryChecker history;
    private final Supplier<List<SimulatedCore>> listedCores;
    /** Called when a change is sent for the first time. */
    private final Runnable changeSent;

    private int inFlight;
    private long meanPauseMillis;
    private boolean sending;
    int attempts;
    int resends;
    int races;

    SimulatedOperators(
            Simulator simulator,
            HistoryChecker history,
            Supplier<List<SimulatedCore>> listedCores,
            Runnable changeSent) {
        this.simulator = simulator;
        this.history = history;
        this.listedCores = listedCores;
        this.changeSent = changeSent;
        random = simulator.random().split();
    }

    /** Sends the first version, and then changes at random intervals with this mean. */
    void begin(long pauseMillis) {
        meanPauseMillis = pauseMillis;
        sending = true;
        send(null, 1, true);
        scheduleNextChange();
        scheduleNextRead();
    }

    void stopSending() {
        sending = false;
    }

    private void scheduleNextChange() {
        simulator.schedule(1_000 * (1 + random.nextLong(2 * meanPauseMillis)), () -> {
            if (sending) {
                sendRandomChange();
                scheduleNextChange();
            }
        });
    }

    /** Sends a change of a random kind: valid, invalid, conflicting, or based on one still in flight. */
    void sendRandomChange() {
        OperatorChange newest = history.newest();
        if (newest == null || inFlight >= MAX_IN_FLIGHT) {
            return;
        }
        int kind = random.nextInt(20);
        if (kind == 0) {
            send(newest, newest.rev + 1, false);
        } else if (kind == 1) {
            send(newest, newest.rev, true);
        } else if (kind <= 4) {
            sendRace();
        } else if (kind <= 6) {
            // Based on a change that is still in flight.
            OperatorChange last = history.changes.get(history.changes.size() - 1);
            OperatorChange base = last.valid && last.rev > newest.rev ? last : newest;
            send(base, base.rev + 1, true);
        } else {
            send(newest, newest.rev + 1 + (random.nextInt(4) == 0 ? random.nextInt(3) : 0), true);
        }
    }

    /** Sends two changes at once on the newest version, with the same or different versions. */
    void sendRace() {
        OperatorChange newest = history.newest();
        if (newest != null) {
            races++;
            send(newest, newest.rev + 1, true);
            send(newest, newest.rev + 1 + random.nextInt(2), true);
        }
    }

    /** Sends a change that must be accepted; returns null where there is no version to base it on. */
    OperatorChange sendValidChange() {
        OperatorChange newest = history.newest();
        return newest == null ? null : send(newest, newest.rev + 1, true);
    }

    private OperatorChange send(OperatorChange basedOn, long rev, boolean valid) {
        OperatorChange change = new OperatorChange(history.changes.size(), basedOn, rev, valid);
        history.changes.add(change);
        change.sentAt = simulator.millis();
        inFlight++;
        changeSent.run();
        attempt(change, new Target(), INITIAL_BACKOFF_MICROS, new int[1]);
        return change;
    }

    private void attempt(OperatorChange change, Target target, long backoffMicros, int[] lostResponses) {
        attempts++;
        long attemptedAt = simulator.millis();
        call(target, (core, callback) -> core.replace(change.base, change.body, callback), response -> {
            boolean definite = response != null && isDefinite(response.status());
            if (definite && lostResponses[0] < MAX_LOST_RESPONSES && random.nextInt(LOST_RESPONSE_ONE_IN) == 0) {
                lostResponses[0]++;
                definite = false;
                target.forgetLast();
            }
            if (definite) {
                recordOutcome(change, response, attemptedAt);
                inFlight--;
                if (random.nextInt(4) == 0) {
                    simulator.schedule(random.nextLong(4_000_000), () -> resend(change));
                }
            } else {
                simulator.schedule(
                        backoffMicros / 2 + random.nextLong(backoffMicros),
                        () -> attempt(change, target, Math.min(MAX_BACKOFF_MICROS, 2 * backoffMicros), lostResponses));
            }
        });
    }

    /** Sends a completed change once more, as an operator does whose response was lost. */
    void resend(OperatorChange change) {
        if (change.valid && change.rev > change.base && !change.refusedBeforeBase) {
            resends++;
            long attemptedAt = simulator.millis();
            call(new Target(), (core, callback) -> core.replace(change.base, change.body, callback), response -> {
                if (response != null && isDefinite(response.status())) {
                    recordOutcome(change, response, attemptedAt);
                }
            });
        }
    }

    private void recordOutcome(OperatorChange change, CallResponse response, long attemptedAt) {
        if (response.status() == OperatorCalls.OK) {
            history.recordAcknowledged(
                    change,
                    OperatorChange.revOf(new String(response.body(), StandardCharsets.UTF_8)),
                    simulator.millis());
        } else {
            history.recordRefused(change, response.status(), attemptedAt, simulator.millis());
        }
    }

    private static boolean isDefinite(int status) {
        return status == OperatorCalls.OK || status == CONFLICT || status == INVALID;
    }

    // ---- readers

    private void scheduleNextRead() {
        simulator.schedule(1_000 * (50 + random.nextLong(1_500)), () -> {
            read(shown -> {});
            scheduleNextRead();
        });
    }

    /** Reads the version in force, and retries until there is a response. */
    void read(Consumer<OperatorChange> callback) {
        read(new Target(), callback);
    }

    private void read(Target target, Consumer<OperatorChange> callback) {
        long requestedAt = simulator.millis();
        String[] respondingNode = new String[1];
        call(
                target,
                (core, responseCallback) -> {
                    respondingNode[0] = core.name;
                    core.show(responseCallback);
                },
                response -> {
                    if (response != null && (response.status() == OperatorCalls.OK || response.status() == NOT_FOUND)) {
                        OperatorChange shown = response.status() == NOT_FOUND
                                ? null
                                : history.change(OperatorChange.numberOf(response.body()));
                        history.recordShown(shown, requestedAt, respondingNode[0], simulator.millis());
                        callback.accept(shown);
                    } else {
                        simulator.schedule(200_000 + random.nextLong(300_000), () -> read(target, callback));
                    }
                });
    }

    // ---- calls

    private interface Call {
        void sendTo(SimulatedCore core, Consumer<CallResponse> callback);
    }

    /** Chooses the node for each attempt of one call. */
    private final class Target {
        private SimulatedCore last;

        /** Returns a random listed node other than the last one where there is another, null while none is listed. */
        SimulatedCore next() {
            List<SimulatedCore> all = listedCores.get();
            List<SimulatedCore> others =
                    all.stream().filter(core -> core != last).toList();
            List<SimulatedCore> choice = others.isEmpty() ? all : others;
            last = choice.isEmpty() ? null : choice.get(random.nextInt(choice.size()));
            return last;
        }

        /** Allows the last node again, as it did not fail. */
        void forgetLast() {
            last = null;
        }
    }

    /** Makes one attempt at a node; the callback gets null where there is no response. */
    private void call(Target target, Call request, Consumer<CallResponse> callback) {
        boolean[] done = new boolean[1];
        Consumer<CallResponse> firstOnly = response -> {
            if (!done[0]) {
                done[0] = true;
                callback.accept(response);
            }
        };
        simulator.schedule(TIMEOUT_MICROS, () -> firstOnly.accept(null));
        SimulatedCore core = target.next();
        if (core == null) {
            return;
        }
        simulator.schedule(networkDelayMicros(), () -> {
            if (!core.machine.powered()) {
                return;
            }
            if (!core.running()) {
                simulator.schedule(networkDelayMicros(), () -> firstOnly.accept(null));
                return;
            }
            core.machine.deliver(
                    core.machine.incarnation(),
                    () -> request.sendTo(
                            core,
                            response -> simulator.schedule(networkDelayMicros(), () -> firstOnly.accept(response))));
        });
    }

    private long networkDelayMicros() {
        return 3_000L + random.nextInt(1_000);
    }
}
