package tinworks.control;

import java.io.ByteArrayInputStream;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tinworks.channel.PeerConnection;
import tinworks.channel.PeerMessage.Call;
import tinworks.channel.PeerMessage.CallResponse;
import tinworks.config.CompressedBytes;
import tinworks.config.ConfigurationHistory;
import tinworks.config.ConfigurationHistory.Verdict;
import tinworks.config.ConfigurationMemoryEstimate;
import tinworks.config.ConfigurationReader;
import tinworks.config.InvalidConfiguration;
import tinworks.invariant.Invariant;
import tinworks.raft.Raft;

/**
 * The operator's calls at a core machine. A machine that doesn't lead passes a call on to the leader, and while there
 * is none it waits a little; a caller gets an answer within a second, and a 503 says that it is open what becomes of a
 * change.
 */
class OperatorCalls {
    private static final Logger LOG = LoggerFactory.getLogger(OperatorCalls.class);
    /** The header that names the version which a change builds on. */
    static final String BASE_REV_HEADER = "Base-Rev";

    static final int OK = 200;
    static final int OUTCOME_UNKNOWN = 503;
    private static final int CONFLICT = 412;
    private static final int INVALID = 400;
    private static final int NOT_FOUND = 404;
    private static final int TOO_LARGE = 413;
    /**
     * What a command may take: eight times what 14,000 routes come to. Guards against a log, and frames, of any length.
     */
    static final int MAX_COMMAND_BYTES = 2 << 20;
    /** What a configuration may take in the memory of any machine. */
    private static final long MAX_WEIGHT_BYTES = ConfigurationMemoryEstimate.maxBytesForHeap();
    /** What calls without an answer may take at one machine, the first always. */
    static final int MAX_PENDING_BYTES = 4 << 20;
    /** Callers move on after a second of silence. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 850;

    private final CoreMachine machine;
    private final LongSupplier clock;
    private final Map<Long, PendingCall> pending = new HashMap<>();
    private long pendingBytes;
    /** The newest version that was acknowledged or shown here. */
    private long newestReportedRev;

    private long lastNumber;

    /** A call that has no answer yet; it has been passed on where {@code passedTo} is not null. */
    private static final class PendingCall {
        final boolean read;
        final byte[] command;
        final Consumer<CallResponse> callback;
        final long deadlineMillis;
        PeerConnection forwardedTo;
        boolean inProgress;

        PendingCall(boolean read, byte[] command, Consumer<CallResponse> told, long until) {
            this.read = read;
            this.command = command;
            this.callback = told;
            this.deadlineMillis = until;
        }
    }

    OperatorCalls(CoreMachine machine, LongSupplier clock) {
        this.machine = machine;
        this.clock = clock;
    }

    /** How many calls have no answer yet. */
    int pendingCount() {
        return pending.size();
    }

    /** A call that was checked: the command that it comes to, or else the answer why there is none. */
    record ValidatedChange(byte[] command, CallResponse rejection) {
        @Override
        public String toString() {
            return command == null
                    ? "that can't be taken"
                    : "of " + ConfigurationHistory.rev(command) + " on " + ConfigurationHistory.base(command) + ", "
                            + command.length + " bytes";
        }
    }

    /**
     * Checks a whole configuration, with what the header says that it builds on. Takes long and holds much memory;
     * needs nothing of the machine, so it may be done on another thread, one at a time.
     */
    static ValidatedChange validate(List<String> bases, InputStream json, ByteBuffer... body) {
        try {
            long base = parseBaseRev(bases);
            long rev = ConfigurationReader.read(json, MAX_WEIGHT_BYTES).rev();
            byte[] command = ConfigurationHistory.command(base, rev, body);
            return command.length <= MAX_COMMAND_BYTES
                    ? new ValidatedChange(command, null)
                    : new ValidatedChange(
                            null,
                            new CallResponse(
                                    0,
                                    TOO_LARGE,
                                    errorBody("", "over " + MAX_COMMAND_BYTES + " bytes when it is packed")));
        } catch (InvalidConfiguration e) {
            LOG.info("refused a configuration: {}", e.getMessage());
            int status = e.isTooLarge() ? TOO_LARGE : INVALID;
            return new ValidatedChange(null, new CallResponse(0, status, errorBody(e.fieldPath(), e.getMessage())));
        }
    }

    /** A whole configuration that was checked; the answer's number means nothing. */
    void replace(ValidatedChange call, Consumer<CallResponse> told) {
        if (call.rejection() != null) {
            told.accept(call.rejection());
        } else {
            submit(false, call.command(), told);
        }
    }

    /** A whole configuration, with what the header says that it builds on; the answer's number means nothing. */
    void replace(List<String> bases, byte[] body, Consumer<CallResponse> told) {
        replace(validate(bases, new ByteArrayInputStream(body), ByteBuffer.wrap(body)), told);
    }

    /** The newest configuration, {@link CompressedBytes} where the status is {@link #OK}. */
    void show(Consumer<CallResponse> told) {
        submit(true, new byte[0], told);
    }

    private static long parseBaseRev(List<String> values) throws InvalidConfiguration {
        try {
            long base = values.size() == 1 ? Long.parseLong(values.get(0).trim()) : -1;
            if (base >= 0) {
                return base;
            }
        } catch (NumberFormatException e) {
            LOG.debug("a {} that is no number", BASE_REV_HEADER, e);
        }
        throw new InvalidConfiguration(
                BASE_REV_HEADER, "wanted the header once, with the number of the version built on");
    }

    // ---- calls, from the operator or passed on by another machine

    /** A call that another machine has passed on. */
    void receivedCall(Call call, Consumer<CallResponse> told) {
        if (machine.raftDriver().raft().role() == Raft.Role.LEADER) {
            submit(call.read(), call.body(), a -> told.accept(new CallResponse(call.number(), a.status(), a.body())));
        } else {
            told.accept(new CallResponse(call.number(), OUTCOME_UNKNOWN, errorBody("", "not the leader")));
        }
    }

    /** The leader's answer to a call that was passed on. */
    void receivedResponse(PeerConnection from, CallResponse answer) {
        PendingCall call = pending.get(answer.number());
        if (call != null && !isExpectedResponder(call.forwardedTo, from)) {
            return;
        }
        if (call != null && answer.status() == OUTCOME_UNKNOWN) {
            // Perhaps another leads by now; until its time is over the call goes on.
            call.inProgress = false;
            call.forwardedTo = null;
        } else if (call != null) {
            remove(answer.number());
            call.callback.accept(answer);
        }
    }

    /** Guards against an answer to another call of the same number: numbers begin anew with each life of a process. */
    boolean isExpectedResponder(PeerConnection passedTo, PeerConnection from) {
        return passedTo == from;
    }

    /**
     * Guards against calls that together are more than the memory; each is told to come back, and nothing became of it.
     */
    private void submit(boolean read, byte[] command, Consumer<CallResponse> told) {
        if (!pending.isEmpty() && pendingBytes + command.length > MAX_PENDING_BYTES) {
            told.accept(new CallResponse(0, OUTCOME_UNKNOWN, errorBody("", "too many calls at once")));
            return;
        }
        pendingBytes += command.length;
        PendingCall call = new PendingCall(read, command, told, clock.getAsLong() + RESPONSE_TIMEOUT_MILLIS);
        long number = ++lastNumber;
        pending.put(number, call);
        process(number, call);
    }

    /** Gives up calls whose time is over, and takes on those that found no leader. */
    void tick() {
        if (pending.isEmpty()) {
            return;
        }
        long now = clock.getAsLong();
        for (Map.Entry<Long, PendingCall> entry : List.copyOf(pending.entrySet())) {
            PendingCall call = entry.getValue();
            if (now >= call.deadlineMillis) {
                remove(entry.getKey());
                call.callback.accept(new CallResponse(
                        entry.getKey(), OUTCOME_UNKNOWN, errorBody("", "no answer from a leader in time")));
            } else {
                call.inProgress &= call.forwardedTo == null || call.forwardedTo.isOpen();
                process(entry.getKey(), call);
            }
        }
    }

    private void remove(long number) {
        pendingBytes -= pending.remove(number).command.length;
    }

    private void process(long number, PendingCall call) {
        if (call.inProgress) {
            return;
        }
        RaftDriver agreement = machine.raftDriver();
        if (agreement.raft().role() == Raft.Role.LEADER) {
            call.inProgress = true;
            if (call.read) {
                confirmRead(agreement, may -> complete(number, may ? show() : null));
            } else {
                proposeChange(number, call, agreement);
            }
        } else if (machine.leaderConnection() != null) {
            call.inProgress = true;
            call.forwardedTo = machine.leaderConnection();
            call.forwardedTo.send(new Call(number, call.read, call.command));
        }
    }

    /**
     * Guards against showing what a later leader has gone beyond: told true once a majority has answered a round since.
     */
    void confirmRead(RaftDriver agreement, Consumer<Boolean> told) {
        agreement.read(told);
    }

    private void proposeChange(long number, PendingCall call, RaftDriver agreement) {
        ConfigurationHistory history = agreement.history();
        long base = ConfigurationHistory.base(call.command);
        long rev = ConfigurationHistory.rev(call.command);
        Verdict now = history.evaluate(base, rev, call.command);
        if (isFinal(now, base, rev, history.rev())) {
            complete(number, responseFor(now, rev));
        } else if (now == Verdict.OUTSIDE_WINDOW || isBaseUnknown(base, history.rev())) {
            complete(number, null);
        } else if (!agreement.raft().fitsUncommittedLimit(call.command.length)) {
            // Until what is written before it is committed, or its time is over.
            call.inProgress = false;
        } else {
            agreement.propose(
                    call.command, verdict -> complete(number, verdict == null ? null : responseFor(verdict, rev)));
        }
    }

    /** Whether a verdict is true for good, whoever leads: a version that was taken, or passed, stays so. */
    boolean isFinal(Verdict verdict, long base, long rev, long current) {
        return (verdict == Verdict.ACCEPTED && rev <= current)
                || verdict == Verdict.VERSION_NOT_INCREASED
                || (verdict == Verdict.CONFLICT && base < current && mayReject());
    }

    /** Guards against a leader that was cut off and refuses with an old version at hand; then the log has to say so. */
    boolean mayReject() {
        return machine.holdsLeaderLease();
    }

    /**
     * Guards against refusing an order that may yet be taken: what it builds on may still be under way, or not be known
     * here yet, and another copy of it may wait elsewhere. It waits for its base, and nothing is proposed meanwhile.
     */
    boolean isBaseUnknown(long base, long current) {
        return base > current;
    }

    /** Null where it is open: the call goes on until its time is over. */
    private void complete(long number, CallResponse answer) {
        PendingCall call = pending.get(number);
        if (call == null) {
            return;
        }
        if (answer == null) {
            call.inProgress = false;
        } else {
            remove(number);
            call.callback.accept(answer);
        }
    }

    /** Null where it is open. A repeat is confirmed under its own number, whatever has come on top of it since. */
    private CallResponse responseFor(Verdict verdict, long rev) {
        long current = machine.raftDriver().history().rev();
        if (verdict == Verdict.ACCEPTED) {
            Invariant.ACKNOWLEDGED_IS_APPLIED.check(rev <= current, () -> rev + " where " + current + " is applied");
            newestReportedRev = Math.max(newestReportedRev, rev);
        }
        return switch (verdict) {
            case ACCEPTED -> new CallResponse(0, OK, ("{\"rev\":" + rev + "}\n").getBytes(StandardCharsets.UTF_8));
            case CONFLICT ->
                new CallResponse(0, CONFLICT, errorBody(BASE_REV_HEADER, "the current version is " + current));
            case VERSION_NOT_INCREASED ->
                new CallResponse(0, INVALID, errorBody("rev", "not above the version that it builds on"));
            case OUTSIDE_WINDOW -> null;
        };
    }

    private CallResponse show() {
        ConfigurationHistory history = machine.raftDriver().history();
        Invariant.SHOWN_IS_NEWEST.check(
                history.rev() >= newestReportedRev, () -> history.rev() + " is shown after " + newestReportedRev);
        newestReportedRev = Math.max(newestReportedRev, history.rev());
        return history.rev() == 0
                ? new CallResponse(0, NOT_FOUND, errorBody("", "no configuration yet"))
                : new CallResponse(0, OK, history.compressedBody());
    }

    private static byte[] errorBody(String where, String what) {
        StringBuilder json =
                new StringBuilder("{\"err\":\"").append(escapeJson(what)).append('"');
        if (!where.isEmpty()) {
            json.append(",\"field\":\"").append(escapeJson(where)).append('"');
        }
        return json.append("}\n").toString().getBytes(StandardCharsets.UTF_8);
    }

    static String escapeJson(String text) {
        return text.replaceAll("[\\p{Cntrl}]", " ").replace("\\", "\\\\").replace("\"", "\\\"");
    }
}
