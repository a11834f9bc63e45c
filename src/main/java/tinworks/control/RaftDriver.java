package tinworks.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import tinworks.config.ConfigurationHistory;
import tinworks.config.ConfigurationHistory.Verdict;
import tinworks.invariant.Invariant;
import tinworks.raft.Entry;
import tinworks.raft.Message;
import tinworks.raft.Output;
import tinworks.raft.Raft;

/**
 * Drives one {@link Raft}: feeds it time and messages, persists its output, and then sends messages and applies
 * committed commands in the order that {@link Output} requires. It uses no sockets, files or threads itself; all
 * methods must be called on one thread.
 */
final class RaftDriver {
    /** Implemented by the core node that owns the driver. */
    interface Callbacks {
        /** Sends a message to the member with this id; delivery is best effort. */
        void send(long to, Message message);

        /** Called after entries or a snapshot have been applied, and after a role change. */
        void stateChanged();

        /** Logs a line for operators. */
        void log(String line);
    }

    /**
     * The log is compacted once it holds more entries or more bytes than this beyond the snapshot. This bounds what a
     * restart replays and the memory that the log takes.
     */
    static final int MAX_LOG_ENTRIES = 64;

    static final int MAX_LOG_BYTES = 1 << 20;

    private final Raft raft;
    private final Disk disk;
    private final LongSupplier clock;
    private final Callbacks callbacks;
    private final ConfigurationHistory history = new ConfigurationHistory();
    /** Proposals whose outcome is not known yet, by log index. */
    private final Map<Long, Proposal> proposals = new HashMap<>();
    /** Reads that are not confirmed yet, by ticket. */
    private final Map<Long, Consumer<Boolean>> reads = new HashMap<>();

    private long appliedIndex;
    private long appliedTerm;
    private int pendingWrites;
    private Raft.Role lastRole = Raft.Role.FOLLOWER;

    private record Proposal(long term, Consumer<Verdict> callback) {}

    /** Uses a monotonic clock in milliseconds. Nothing is written or sent before the first {@link #pump}. */
    RaftDriver(Raft raft, Disk disk, LongSupplier clock, Callbacks callbacks) {
        this.raft = raft;
        this.disk = disk;
        this.clock = clock;
        this.callbacks = callbacks;
    }

    Raft raft() {
        return raft;
    }

    ConfigurationHistory history() {
        return history;
    }

    /** The index of the last entry that was applied to the history. */
    long appliedIndex() {
        return appliedIndex;
    }

    void tick() {
        raft.tick(clock.getAsLong());
        pump();
    }

    void receive(long from, Message message) {
        raft.receive(clock.getAsLong(), from, message);
        pump();
    }

    /** Proposes a command. The callback gets the verdict, or null if the outcome is unknown. */
    void propose(byte[] command, Consumer<Verdict> callback) {
        long index = raft.propose(command);
        if (index == 0) {
            callback.accept(null);
            return;
        }
        proposals.put(index, new Proposal(raft.term(), callback));
        pump();
    }

    /**
     * Requests a linearizable read (read index). The callback gets true once the applied state covers every change that
     * was acknowledged before the call, or false if this node does not lead or loses the leadership.
     */
    void read(Consumer<Boolean> callback) {
        long ticket = raft.read();
        if (ticket == 0) {
            callback.accept(false);
            return;
        }
        reads.put(ticket, callback);
        pump();
    }

    /** Processes the output that Raft has produced since the last call, and reports a role change. */
    void pump() {
        Output output = raft.drain();
        if (!output.isEmpty()) {
            if (output.mustSync() || pendingWrites > 0) {
                pendingWrites++;
                disk.write(output, () -> {
                    pendingWrites--;
                    completeOutput(output);
                });
            } else {
                completeOutput(output);
            }
        }
        if (raft.role() != lastRole) {
            onRoleChange();
        }
    }

    private void completeOutput(Output output) {
        raft.persisted(output);
        for (Output.Envelope envelope : output.messages()) {
            callbacks.send(envelope.to(), envelope.message());
        }
        if (output.restored() != null) {
            history.load(output.restored().state());
            Invariant.APPLIED_IN_ORDER.check(
                    output.restored().index() >= appliedIndex,
                    () -> "snapshot up to index " + output.restored().index() + " restored after index "
                            + appliedIndex);
            appliedIndex = output.restored().index();
            appliedTerm = output.restored().term();
        }
        output.committed().forEach(this::apply);
        output.reads().forEach(ticket -> {
            Consumer<Boolean> callback = reads.remove(ticket);
            if (callback != null) {
                callback.accept(true);
            }
        });
        if (appliedIndex - raft.snapshotIndex() > MAX_LOG_ENTRIES || raft.logBytes(appliedIndex) > MAX_LOG_BYTES) {
            raft.compact(appliedIndex, history.save());
        }
        if (output.restored() != null || !output.committed().isEmpty()) {
            callbacks.stateChanged();
        }
        pump();
    }

    private void apply(Entry entry) {
        checkOrder(entry);
        appliedIndex = entry.index();
        appliedTerm = entry.term();
        long before = history.rev();
        Verdict verdict = entry.kind() == Entry.Kind.COMMAND ? history.apply(entry.body()) : null;
        Invariant.VERSION_RISES.check(
                history.rev() >= before, () -> "version " + history.rev() + " applied after " + before);
        Proposal proposal = proposals.remove(entry.index());
        if (proposal != null) {
            proposal.callback().accept(proposal.term() == entry.term() ? verdict : null);
        }
    }

    private void checkOrder(Entry entry) {
        Invariant.APPLIED_IN_ORDER.check(
                entry.index() == appliedIndex + 1 && entry.term() >= appliedTerm,
                () -> "entry " + entry.index() + " of term " + entry.term() + " applied after entry " + appliedIndex
                        + " of term " + appliedTerm);
    }

    private void onRoleChange() {
        lastRole = raft.role();
        if (lastRole != Raft.Role.LEADER) {
            List<Consumer<Boolean>> failedReads = new ArrayList<>(reads.values());
            reads.clear();
            failedReads.forEach(callback -> callback.accept(false));
            List<Proposal> unresolved = new ArrayList<>(proposals.values());
            proposals.clear();
            unresolved.forEach(proposal -> proposal.callback().accept(null));
        }
        callbacks.stateChanged();
    }
}
