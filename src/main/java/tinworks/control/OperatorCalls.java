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
 * Handles operator calls at a core node. A node that does not lead forwards calls to the leader, and holds them for a
 * short time while there is none. A caller gets a response within a second; a 503 says that the outcome of a
 * configuration change is unknown. HTTP is handled by {@link OperatorServer}.
 */
class OperatorCalls {
    private static final Logger LOG = LoggerFactory.getLogger(OperatorCalls.class);
    /** The header with the configuration version that a change is based on. */
    static final String BASE_REV_HEADER = "Base-Rev";

    static final int OK = 200;
    /** The change may or may not be accepted; the caller has to retry the call. */
    static final int OUTCOME_UNKNOWN = 503;

    private static final int CONFLICT = 412;
    private static final int INVALID = 400;
    private static final int NOT_FOUND = 404;
    private static final int TOO_LARGE = 413;
    /** Eight times the size of a command with 14,000 routes. Bounds the log and the frames between core nodes. */
    static final int MAX_COMMAND_BYTES = 2 << 20;
    /** Limit on the memory that a configuration takes on any node. */
    private static final long MAX_WEIGHT_BYTES = ConfigurationMemoryEstimate.maxBytesForHeap();
    /** Limit on the total command size of the pending calls at one node; a single call is always admitted. */
    static final int MAX_PENDING_BYTES = 4 << 20;
    /** Shorter than the second after which callers give up. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 850;

    private final CoreMachine machine;
    private final LongSupplier clock;
    private final Map<Long, PendingCall> pending = new HashMap<>();
    private long pendingBytes;
    /** The newest version that this node has acknowledged or shown. */
    private long newestReportedRev;

    private long lastNumber;

    /** A call without a response yet; it has been forwarded if {@code forwardedTo} is not null. */
    private static final class PendingCall {
        final boolean read;
        final byte[] command;
        final Consumer<CallResponse> callback;
        final long deadlineMillis;
        PeerConnection forwardedTo;
        boolean inProgress;

        PendingCall(boolean read, byte[] command, Consumer<CallResponse> callback, long deadlineMillis) {
            this.read = read;
            this.command = command;
            this.callback = callback;
            this.deadlineMillis = deadlineMillis;
        }
    }

    OperatorCalls(CoreMachine machine, LongSupplier clock) {
        this.machine = machine;
        this.clock = clock;
    }

    /** The number of calls without a response yet. */
    int pendingCount() {
        return pending.size();
    }

    /** The result of a validation: the command to propose, or else the response that rejects the change. */
    record ValidatedChange(byte[] command, CallResponse rejection) {
        @Override
        public String toString() {
            return command == null
                    ? "with an invalid change"
                    : "with version " + ConfigurationHistory.rev(command) + " based on "
                            + ConfigurationHistory.base(command) + ", "
                            + command.length + " bytes";
        }
    }

    /**
     * Validates a full configuration with the values of its {@link #BASE_REV_HEADER}. This is slow and takes much
     * memory. It uses no state of the node, so it may run on another thread, one call at a time.
     */
    static ValidatedChange validate(List<String> baseRevs, InputStream json, ByteBuffer... body) {
        try {
            long base = parseBaseRev(baseRevs);
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
            LOG.info("rejected a configuration: {}", e.getMessage());
            int status = e.isTooLarge() ? TOO_LARGE : INVALID;
            return new ValidatedChange(null, new CallResponse(0, status, errorBody(e.fieldPath(), e.getMessage())));
        }
    }

    /** Replaces the configuration by a validated one. The number of the response is not set. */
    void replace(ValidatedChange change, Consumer<CallResponse> callback) {
        if (change.rejection() != null) {
            callback.accept(change.rejection());
        } else {
            submit(false, change.command(), callback);
        }
    }

    /** Validates a full configuration and replaces the current one by it. The number of the response is not set. */
    void replace(List<String> baseRevs, byte[] body, Consumer<CallResponse> callback) {
        replace(validate(baseRevs, new ByteArrayInputStream(body), ByteBuffer.wrap(body)), callback);
    }

    /** Reads the newest configuration; the body is {@link CompressedBytes} if the status is {@link #OK}. */
    void show(Consumer<CallResponse> callback) {
        submit(true, new byte[0], callback);
    }

    private static long parseBaseRev(List<String> values) throws InvalidConfiguration {
        try {
            long base = values.size() == 1 ? Long.parseLong(values.get(0).trim()) : -1;
            if (base >= 0) {
                return base;
            }
        } catch (NumberFormatException e) {
            LOG.debug("{} is not a number", BASE_REV_HEADER, e);
        }
        throw new InvalidConfiguration(
                BASE_REV_HEADER, "wanted the header once, with the number of the version built on");
    }

    // ---- calls from operators and calls forwarded by other core nodes

    /** Handles a call that another core node has forwarded. */
    void receivedCall(Call call, Consumer<CallResponse> callback) {
        if (machine.raftDriver().raft().role() == Raft.Role.LEADER) {
            submit(
                    call.read(),
                    call.body(),
                    response -> callback.accept(new CallResponse(call.number(), response.status(), response.body())));
        } else {
            callback.accept(new CallResponse(call.number(), OUTCOME_UNKNOWN, errorBody("", "not the leader")));
        }
    }

    /** Handles the leader's response to a forwarded call. */
    void receivedResponse(PeerConnection from, CallResponse response) {
        PendingCall call = pending.get(response.number());
        if (call != null && !isExpectedResponder(call.forwardedTo, from)) {
            return;
        }
        if (call != null && response.status() == OUTCOME_UNKNOWN) {
            // Another node may lead by now: the call is retried until its deadline.
            call.inProgress = false;
            call.forwardedTo = null;
        } else if (call != null) {
            remove(response.number());
            call.callback.accept(response);
        }
    }

    /**
     * Whether a response came over the connection that the call was forwarded to. Numbers restart with each process, so
     * a response over another connection may belong to a different call.
     */
    boolean isExpectedResponder(PeerConnection forwardedTo, PeerConnection from) {
        return forwardedTo == from;
    }

    /**
     * Admission control: admits a call within {@link #MAX_PENDING_BYTES}, which bounds memory. A rejected call has had
     * no effect and may be retried.
     */
    private void submit(boolean read, byte[] command, Consumer<CallResponse> callback) {
        if (!pending.isEmpty() && pendingBytes + command.length > MAX_PENDING_BYTES) {
            callback.accept(new CallResponse(0, OUTCOME_UNKNOWN, errorBody("", "too many calls at once")));
            return;
        }
        pendingBytes += command.length;
        PendingCall call = new PendingCall(read, command, callback, clock.getAsLong() + RESPONSE_TIMEOUT_MILLIS);
        long number = ++lastNumber;
        pending.put(number, call);
        process(number, call);
    }

    /** Fails calls whose deadline has passed, and retries those that found no leader. */
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
        RaftDriver raftDriver = machine.raftDriver();
        if (raftDriver.raft().role() == Raft.Role.LEADER) {
            call.inProgress = true;
            if (call.read) {
                confirmRead(raftDriver, confirmed -> complete(number, confirmed ? show() : null));
            } else {
                proposeChange(number, call, raftDriver);
            }
        } else if (machine.leaderConnection() != null) {
            call.inProgress = true;
            call.forwardedTo = machine.leaderConnection();
            call.forwardedTo.send(new Call(number, call.read, call.command));
        }
    }

    /**
     * Confirms a linearizable read by a read index request: the callback gets true once a majority has answered a round
     * of heartbeats sent after the call, so no later leader has superseded the state of this one. This is not a lease
     * read: it does not rely on clocks.
     */
    void confirmRead(RaftDriver raftDriver, Consumer<Boolean> callback) {
        raftDriver.read(callback);
    }

    private void proposeChange(long number, PendingCall call, RaftDriver raftDriver) {
        ConfigurationHistory history = raftDriver.history();
        long base = ConfigurationHistory.base(call.command);
        long rev = ConfigurationHistory.rev(call.command);
        Verdict verdict = history.evaluate(base, rev, call.command);
        if (isFinal(verdict, base, rev, history.rev())) {
            complete(number, responseFor(verdict, rev));
        } else if (verdict == Verdict.OUTSIDE_WINDOW || isBaseUnknown(base, history.rev())) {
            complete(number, null);
        } else if (!raftDriver.raft().fitsUncommittedLimit(call.command.length)) {
            // Retried once earlier entries are committed, until the deadline.
            call.inProgress = false;
        } else {
            raftDriver.propose(
                    call.command, applied -> complete(number, applied == null ? null : responseFor(applied, rev)));
        }
    }

    /** Whether a verdict holds under any leader: a version that was accepted or superseded stays so. */
    boolean isFinal(Verdict verdict, long base, long rev, long current) {
        return (verdict == Verdict.ACCEPTED && rev <= current)
                || verdict == Verdict.VERSION_NOT_INCREASED
                || (verdict == Verdict.CONFLICT && base < current && mayReject());
    }

    /**
     * Whether this leader may reject a change by its own state. Without a leader lease the log decides: a partitioned
     * leader must not reject a change because its own version is outdated.
     */
    boolean mayReject() {
        return machine.holdsLeaderLease();
    }

    /**
     * Whether the base version is not known here yet. It may still be in flight, and a copy of the change may be
     * pending at another node, so rejecting the change would be wrong if it is accepted later. The call waits for its
     * base and proposes nothing meanwhile.
     */
    boolean isBaseUnknown(long base, long current) {
        return base > current;
    }

    /** Completes a call. With a null response the outcome is unknown, and the call is retried until its deadline. */
    private void complete(long number, CallResponse response) {
        PendingCall call = pending.get(number);
        if (call == null) {
            return;
        }
        if (response == null) {
            call.inProgress = false;
        } else {
            remove(number);
            call.callback.accept(response);
        }
    }

    /**
     * The response for a verdict, or null if the outcome is unknown. A retried change is acknowledged with its own
     * version, even after later ones.
     */
    private CallResponse responseFor(Verdict verdict, long rev) {
        long current = machine.raftDriver().history().rev();
        if (verdict == Verdict.ACCEPTED) {
            Invariant.ACKNOWLEDGED_IS_APPLIED.check(
                    rev <= current, () -> "version " + rev + " acknowledged while " + current + " is applied");
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
                history.rev() >= newestReportedRev,
                () -> "version " + history.rev() + " shown after " + newestReportedRev);
        newestReportedRev = Math.max(newestReportedRev, history.rev());
        return history.rev() == 0
                ? new CallResponse(0, NOT_FOUND, errorBody("", "no configuration yet"))
                : new CallResponse(0, OK, history.compressedBody());
    }

    private static byte[] errorBody(String field, String message) {
        StringBuilder json =
                new StringBuilder("{\"err\":\"").append(escapeJson(message)).append('"');
        if (!field.isEmpty()) {
            json.append(",\"field\":\"").append(escapeJson(field)).append('"');
        }
        return json.append("}\n").toString().getBytes(StandardCharsets.UTF_8);
    }

    static String escapeJson(String text) {
        return text.replaceAll("[\\p{Cntrl}]", " ").replace("\\", "\\\\").replace("\"", "\\\"");
    }
}
