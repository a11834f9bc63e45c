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
import tinworks.config.ConfigurationReader;
import tinworks.config.ConfigurationWeight;
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
    static final String BASE = "Base-Rev";

    static final int OK = 200;
    static final int UNCLEAR = 503;
    private static final int CONFLICT = 412;
    private static final int INVALID = 400;
    private static final int NOT_FOUND = 404;
    private static final int TOO_LONG = 413;
    /**
     * What a command may take: eight times what 14,000 routes come to. Guards against a log, and frames, of any length.
     */
    static final int LONGEST_COMMAND = 2 << 20;
    /** What a configuration may take in the memory of any machine. */
    private static final long MOST_WEIGHT = ConfigurationWeight.mostByHeap();
    /** What calls without an answer may take at one machine, the first always. */
    static final int MOST_HELD = 4 << 20;
    /** Callers move on after a second of silence. */
    private static final long ANSWER_MILLIS = 850;

    private final CoreMachine machine;
    private final LongSupplier clock;
    private final Map<Long, Waiting> waiting = new HashMap<>();
    private long held;
    /** The newest version that was acknowledged or shown here. */
    private long newestTold;

    private long calls;

    /** A call that has no answer yet; it has been passed on where {@code passedTo} is not null. */
    private static final class Waiting {
        final boolean read;
        final byte[] command;
        final Consumer<CallResponse> told;
        final long until;
        PeerConnection passedTo;
        boolean atWork;

        Waiting(boolean read, byte[] command, Consumer<CallResponse> told, long until) {
            this.read = read;
            this.command = command;
            this.told = told;
            this.until = until;
        }
    }

    OperatorCalls(CoreMachine machine, LongSupplier clock) {
        this.machine = machine;
        this.clock = clock;
    }

    /** How many calls have no answer yet. */
    int waiting() {
        return waiting.size();
    }

    /** A call that was checked: the command that it comes to, or else the answer why there is none. */
    record Checked(byte[] command, CallResponse refusal) {
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
    static Checked check(List<String> bases, InputStream json, ByteBuffer... body) {
        try {
            long base = base(bases);
            long rev = ConfigurationReader.read(json, MOST_WEIGHT).rev();
            byte[] command = ConfigurationHistory.command(base, rev, body);
            return command.length <= LONGEST_COMMAND
                    ? new Checked(command, null)
                    : new Checked(
                            null,
                            new CallResponse(
                                    0, TOO_LONG, error("", "over " + LONGEST_COMMAND + " bytes when it is packed")));
        } catch (InvalidConfiguration e) {
            LOG.info("refused a configuration: {}", e.getMessage());
            int status = e.isTooLarge() ? TOO_LONG : INVALID;
            return new Checked(null, new CallResponse(0, status, error(e.where(), e.getMessage())));
        }
    }

    /** A whole configuration that was checked; the answer's number means nothing. */
    void replace(Checked call, Consumer<CallResponse> told) {
        if (call.refusal() != null) {
            told.accept(call.refusal());
        } else {
            submit(false, call.command(), told);
        }
    }

    /** A whole configuration, with what the header says that it builds on; the answer's number means nothing. */
    void replace(List<String> bases, byte[] body, Consumer<CallResponse> told) {
        replace(check(bases, new ByteArrayInputStream(body), ByteBuffer.wrap(body)), told);
    }

    /** The newest configuration, {@link CompressedBytes} where the status is {@link #OK}. */
    void show(Consumer<CallResponse> told) {
        submit(true, new byte[0], told);
    }

    private static long base(List<String> values) throws InvalidConfiguration {
        try {
            long base = values.size() == 1 ? Long.parseLong(values.get(0).trim()) : -1;
            if (base >= 0) {
                return base;
            }
        } catch (NumberFormatException e) {
            LOG.debug("a {} that is no number", BASE, e);
        }
        throw new InvalidConfiguration(BASE, "wanted the header once, with the number of the version built on");
    }

    // ---- calls, from the operator or passed on by another machine

    /** A call that another machine has passed on. */
    void called(Call call, Consumer<CallResponse> told) {
        if (machine.agreement().raft().role() == Raft.Role.LEADER) {
            submit(call.read(), call.body(), a -> told.accept(new CallResponse(call.number(), a.status(), a.body())));
        } else {
            told.accept(new CallResponse(call.number(), UNCLEAR, error("", "not the leader")));
        }
    }

    /** The leader's answer to a call that was passed on. */
    void answered(PeerConnection from, CallResponse answer) {
        Waiting call = waiting.get(answer.number());
        if (call != null && !isAsked(call.passedTo, from)) {
            return;
        }
        if (call != null && answer.status() == UNCLEAR) {
            // Perhaps another leads by now; until its time is over the call goes on.
            call.atWork = false;
            call.passedTo = null;
        } else if (call != null) {
            remove(answer.number());
            call.told.accept(answer);
        }
    }

    /** Guards against an answer to another call of the same number: numbers begin anew with each life of a process. */
    boolean isAsked(PeerConnection passedTo, PeerConnection from) {
        return passedTo == from;
    }

    /**
     * Guards against calls that together are more than the memory; each is told to come back, and nothing became of it.
     */
    private void submit(boolean read, byte[] command, Consumer<CallResponse> told) {
        if (!waiting.isEmpty() && held + command.length > MOST_HELD) {
            told.accept(new CallResponse(0, UNCLEAR, error("", "too many calls at once")));
            return;
        }
        held += command.length;
        Waiting call = new Waiting(read, command, told, clock.getAsLong() + ANSWER_MILLIS);
        long number = ++calls;
        waiting.put(number, call);
        work(number, call);
    }

    /** Gives up calls whose time is over, and takes on those that found no leader. */
    void tick() {
        if (waiting.isEmpty()) {
            return;
        }
        long now = clock.getAsLong();
        for (Map.Entry<Long, Waiting> entry : List.copyOf(waiting.entrySet())) {
            Waiting call = entry.getValue();
            if (now >= call.until) {
                remove(entry.getKey());
                call.told.accept(
                        new CallResponse(entry.getKey(), UNCLEAR, error("", "no answer from a leader in time")));
            } else {
                call.atWork &= call.passedTo == null || call.passedTo.isOpen();
                work(entry.getKey(), call);
            }
        }
    }

    private void remove(long number) {
        held -= waiting.remove(number).command.length;
    }

    private void work(long number, Waiting call) {
        if (call.atWork) {
            return;
        }
        Agreement agreement = machine.agreement();
        if (agreement.raft().role() == Raft.Role.LEADER) {
            call.atWork = true;
            if (call.read) {
                confirm(agreement, may -> done(number, may ? show() : null));
            } else {
                change(number, call, agreement);
            }
        } else if (machine.leader() != null) {
            call.atWork = true;
            call.passedTo = machine.leader();
            call.passedTo.send(new Call(number, call.read, call.command));
        }
    }

    /**
     * Guards against showing what a later leader has gone beyond: told true once a majority has answered a round since.
     */
    void confirm(Agreement agreement, Consumer<Boolean> told) {
        agreement.read(told);
    }

    private void change(long number, Waiting call, Agreement agreement) {
        ConfigurationHistory history = agreement.history();
        long base = ConfigurationHistory.base(call.command);
        long rev = ConfigurationHistory.rev(call.command);
        Verdict now = history.judge(base, rev, call.command);
        if (isSettled(now, base, rev, history.rev())) {
            done(number, verdict(now, rev));
        } else if (now == Verdict.FORGOTTEN || isAhead(base, history.rev())) {
            done(number, null);
        } else if (!agreement.raft().fitsUncommittedLimit(call.command.length)) {
            // Until what is written before it is committed, or its time is over.
            call.atWork = false;
        } else {
            agreement.propose(call.command, verdict -> done(number, verdict == null ? null : verdict(verdict, rev)));
        }
    }

    /** Whether a verdict is true for good, whoever leads: a version that was taken, or passed, stays so. */
    boolean isSettled(Verdict verdict, long base, long rev, long current) {
        return (verdict == Verdict.TAKEN && rev <= current)
                || verdict == Verdict.NOT_ABOVE
                || (verdict == Verdict.CONFLICT && base < current && mayRefuse());
    }

    /** Guards against a leader that was cut off and refuses with an old version at hand; then the log has to say so. */
    boolean mayRefuse() {
        return machine.leads();
    }

    /**
     * Guards against refusing an order that may yet be taken: what it builds on may still be under way, or not be known
     * here yet, and another copy of it may wait elsewhere. It waits for its base, and nothing is proposed meanwhile.
     */
    boolean isAhead(long base, long current) {
        return base > current;
    }

    /** Null where it is open: the call goes on until its time is over. */
    private void done(long number, CallResponse answer) {
        Waiting call = waiting.get(number);
        if (call == null) {
            return;
        }
        if (answer == null) {
            call.atWork = false;
        } else {
            remove(number);
            call.told.accept(answer);
        }
    }

    /** Null where it is open. A repeat is confirmed under its own number, whatever has come on top of it since. */
    private CallResponse verdict(Verdict verdict, long rev) {
        long current = machine.agreement().history().rev();
        if (verdict == Verdict.TAKEN) {
            Invariant.ACKNOWLEDGED_IS_APPLIED.check(rev <= current, () -> rev + " where " + current + " is applied");
            newestTold = Math.max(newestTold, rev);
        }
        return switch (verdict) {
            case TAKEN -> new CallResponse(0, OK, ("{\"rev\":" + rev + "}\n").getBytes(StandardCharsets.UTF_8));
            case CONFLICT -> new CallResponse(0, CONFLICT, error(BASE, "the current version is " + current));
            case NOT_ABOVE -> new CallResponse(0, INVALID, error("rev", "not above the version that it builds on"));
            case FORGOTTEN -> null;
        };
    }

    private CallResponse show() {
        ConfigurationHistory history = machine.agreement().history();
        Invariant.SHOWN_IS_NEWEST.check(
                history.rev() >= newestTold, () -> history.rev() + " is shown after " + newestTold);
        newestTold = Math.max(newestTold, history.rev());
        return history.rev() == 0
                ? new CallResponse(0, NOT_FOUND, error("", "no configuration yet"))
                : new CallResponse(0, OK, history.packed());
    }

    private static byte[] error(String where, String what) {
        StringBuilder json =
                new StringBuilder("{\"err\":\"").append(escaped(what)).append('"');
        if (!where.isEmpty()) {
            json.append(",\"field\":\"").append(escaped(where)).append('"');
        }
        return json.append("}\n").toString().getBytes(StandardCharsets.UTF_8);
    }

    static String escaped(String text) {
        return text.replaceAll("[\\p{Cntrl}]", " ").replace("\\", "\\\\").replace("\"", "\\\"");
    }
}
