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
 * Drives one {@link Raft}: time and messages in, writes to the disk, and then messages and applied commands out, in the
 * order that {@link Output} asks for. Knows neither sockets nor files nor threads; all methods belong to one thread.
 */
final class RaftDriver {
    /** What the agreement needs of the machine around it. */
    interface Callbacks {
        /** Sends a message to the member of this id; it may be lost. */
        void send(long to, Message message);

        /** Something was applied, or the role changed. */
        void stateChanged();

        /** A line for the operators. */
        void log(String line);
    }

    /** Behind the snapshot, whichever comes first: what a start reads, and what the log takes of the memory. */
    static final int MAX_LOG_ENTRIES = 64;

    static final int MAX_LOG_BYTES = 1 << 20;

    private final Raft raft;
    private final Disk disk;
    private final LongSupplier clock;
    private final Callbacks callbacks;
    private final ConfigurationHistory history = new ConfigurationHistory();
    private final Map<Long, Proposal> proposals = new HashMap<>();
    private final Map<Long, Consumer<Boolean>> reads = new HashMap<>();
    private long appliedIndex;
    private long appliedTerm;
    private int pendingWrites;
    private Raft.Role lastRole = Raft.Role.FOLLOWER;

    private record Proposal(long term, Consumer<Verdict> callback) {}

    /** Goes by a clock of steady milliseconds. Nothing is done before {@link #pump}. */
    RaftDriver(Raft raft, Disk disk, LongSupplier clock, Callbacks owner) {
        this.raft = raft;
        this.disk = disk;
        this.clock = clock;
        this.callbacks = owner;
    }

    Raft raft() {
        return raft;
    }

    ConfigurationHistory history() {
        return history;
    }

    /** The last index that the history holds. */
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

    /** Proposes a command; the verdict follows, or null where it is open what becomes of it. */
    void propose(byte[] command, Consumer<Verdict> told) {
        long index = raft.propose(command);
        if (index == 0) {
            told.accept(null);
            return;
        }
        proposals.put(index, new Proposal(raft.term(), told));
        pump();
    }

    /** Asks to read; told true once the applied state is as new as any acknowledged one. */
    void read(Consumer<Boolean> told) {
        long ticket = raft.read();
        if (ticket == 0) {
            told.accept(false);
            return;
        }
        reads.put(ticket, told);
        pump();
    }

    /** Does what has come up since the last call. */
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
                    () -> "a snapshot up to " + output.restored().index() + " behind " + appliedIndex);
            appliedIndex = output.restored().index();
            appliedTerm = output.restored().term();
        }
        output.committed().forEach(this::apply);
        output.reads().forEach(ticket -> {
            Consumer<Boolean> told = reads.remove(ticket);
            if (told != null) {
                told.accept(true);
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
        Invariant.VERSION_RISES.check(history.rev() >= before, () -> history.rev() + " behind " + before);
        Proposal proposal = proposals.remove(entry.index());
        if (proposal != null) {
            proposal.callback().accept(proposal.term() == entry.term() ? verdict : null);
        }
    }

    private void checkOrder(Entry entry) {
        Invariant.APPLIED_IN_ORDER.check(
                entry.index() == appliedIndex + 1 && entry.term() >= appliedTerm,
                () -> entry.index() + " of term " + entry.term() + " behind " + appliedIndex + " of term "
                        + appliedTerm);
    }

    private void onRoleChange() {
        lastRole = raft.role();
        if (lastRole != Raft.Role.LEADER) {
            List<Consumer<Boolean>> readers = new ArrayList<>(reads.values());
            reads.clear();
            readers.forEach(told -> told.accept(false));
            List<Proposal> open = new ArrayList<>(proposals.values());
            proposals.clear();
            open.forEach(proposal -> proposal.callback().accept(null));
        }
        callbacks.stateChanged();
    }
}
