package tinworks.raft;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import tinworks.invariant.Invariant;
import tinworks.raft.Entry.Kind;
import tinworks.raft.Message.Append;
import tinworks.raft.Message.AppendReply;
import tinworks.raft.Message.InstallSnapshot;
import tinworks.raft.Message.InstallSnapshotReply;
import tinworks.raft.Message.LeaseEnded;
import tinworks.raft.Message.LeaseQuery;
import tinworks.raft.Message.TimeoutNow;
import tinworks.raft.Message.VoteReply;
import tinworks.raft.Message.VoteRequest;
import tinworks.raft.Output.Envelope;

/**
 * The Raft state machine of one member. Events arrive through {@link #tick}, {@link #receive} and the methods for a
 * leader; {@link #drain} returns the resulting actions. Messages may be lost, duplicated and delayed. This class reads
 * no clock and does no I/O; the caller passes steady milliseconds.
 *
 * <p>Acknowledged entries survive because of three rules. Votes and entries are confirmed to others only after they are
 * synced (see the order in {@link Output}). An entry is committed once a majority of the voters stores it and an entry
 * of the leader's own term at or after it. A vote goes only to a candidate whose log is at least as up to date as the
 * voter's. Voters change by joint consensus: the first entry of a change names the new and the old voters, and applies
 * as soon as it is in the log. From then on a majority of each list is needed, so neither can decide alone. The second
 * entry, with the new voters only, is written once the first is committed; by then a majority of the new voters stores
 * everything that is committed.
 */
public class Raft {
    /** The role of a member. A pre-candidate requests pre-votes before it starts an election. */
    public enum Role {
        FOLLOWER,
        PRE_CANDIDATE,
        CANDIDATE,
        LEADER;

        /** Returns the name shown in the status page and in logs, where the pre-candidate is {@code ASKING}. */
        @Override
        public String toString() {
            return this == PRE_CANDIDATE ? "ASKING" : name();
        }
    }

    /** Maximum size of the entries in one message: enough for a batch, small enough not to delay heartbeats. */
    private static final int MAX_APPEND_BYTES = 128 << 10;
    /** Unacknowledged bytes from which on a follower is sent no further entries; the last message may exceed this. */
    static final int MAX_IN_FLIGHT_BYTES = 512 << 10;
    /** Maximum size of a leader's uncommitted entries; a first uncommitted entry is always allowed. */
    static final int MAX_UNCOMMITTED_BYTES = 2 << 20;
    /** Size of the entries that are kept below a snapshot for slightly lagging followers. */
    static final int TAIL_BYTES = 1 << 20;

    private final long self;
    private final Timing timing;
    private final SplittableRandom random;
    private final Log log;
    private final Map<Long, Progress> progress = new LinkedHashMap<>();
    private final Set<Long> votesGranted = new HashSet<>();
    private final Map<Long, Long> pendingReads = new LinkedHashMap<>();
    /** Send times of the leader's recent heartbeat rounds, by round. */
    private final Map<Long, Long> roundSentAt = new LinkedHashMap<>();

    private final long startedAt;
    /** Random number drawn at each start; replies to messages from before a restart do not match it. */
    private final long incarnation;

    private long term;
    private long votedFor;
    /**
     * The last leader that this member followed, or this member if it led last. It is the only leader whose lease this
     * member may have supported before a restart.
     */
    private long lastLeader;
    /** Whether, since the start, no leader made contact and {@link #lastLeader} has not ended its lease. */
    private boolean priorLeasePending;

    private Role role = Role.FOLLOWER;
    private long leader;
    private long commitIndex;
    private long appliedIndex;
    private long now;
    private long leaderContactAt;
    private long electionTimeoutAt;
    private long nextHeartbeatAt;
    private long firstIndexOfTerm;
    private long round;
    private long roundStartedAt;
    private long lastReadTicket;
    /** When a leader that transfers its leadership steps down if no other has taken over; 0 without a transfer. */
    private long transferDeadline;

    private long freshUntil;
    private long freshIndex;
    private Voters voters;

    private HardState drainedHardState;
    private long unstableFrom;
    private Snapshot unstableSnapshot;
    private Snapshot snapshotToRestore;
    private SnapshotAssembler incomingSnapshot;
    private long lastInstallSequence;
    private List<Envelope> outbox = new ArrayList<>();
    private final List<Long> confirmedReads = new ArrayList<>();

    /** Creates a member from its stored state. A member that is not a voter stays passive until a leader adds it. */
    public Raft(long self, PersistentState stored, Timing timing, long seed, long now) {
        this.self = self;
        this.timing = timing;
        this.now = now;
        random = new SplittableRandom(seed);
        log = new Log(stored.snapshot(), stored.entries());
        term = stored.hardState().term();
        votedFor = stored.hardState().votedFor();
        lastLeader = stored.hardState().lastLeader();
        drainedHardState = stored.hardState();
        commitIndex = stored.snapshot().index();
        snapshotToRestore = commitIndex > 0 ? stored.snapshot() : null;
        appliedIndex = commitIndex;
        voters = log.votersAt(log.lastIndex());
        startedAt = now;
        incarnation = random.nextLong();
        priorLeasePending = term > 0 && lastLeader != self;
        leaderContactAt = now - timing.electionTimeoutMillis();
        // Keeps the first wait short, since all members may have restarted at once after a power failure.
        long initialWait = isBoundByPriorLease() ? timing.electionTimeoutMillis() : timing.heartbeatIntervalMillis();
        electionTimeoutAt = now + initialWait + random.nextLong(timing.electionTimeoutMillis() / 2);
    }

    // ---- events and requests

    /** Advances time, which may trigger an election or a heartbeat. */
    public void tick(long nowMillis) {
        now = Math.max(now, nowMillis);
        if (role == Role.LEADER) {
            if ((isTransferringLeadership() && now >= transferDeadline) || !hasQuorumContact()) {
                stepDown();
            } else if (now >= nextHeartbeatAt) {
                broadcastAppend();
            }
            return;
        }
        if (isBoundByPriorLease()) {
            queryLastLeader();
        }
        if (now >= electionTimeoutAt) {
            startPreVote();
        }
    }

    /** Handles a message from another member. */
    public void receive(long nowMillis, long from, Message message) {
        now = Math.max(now, nowMillis);
        if (message instanceof VoteRequest m) {
            handleVoteRequest(from, m);
        } else if (message instanceof VoteReply m) {
            handleVoteReply(from, m);
        } else if (message instanceof Append m) {
            if (acceptLeader(from, m.term(), m.round())) {
                handleAppend(from, m);
                extendFreshness(m);
            }
        } else if (message instanceof InstallSnapshot m) {
            if (acceptLeader(from, m.term(), m.round())) {
                handleInstallSnapshot(from, m);
            }
        } else if (message instanceof AppendReply m) {
            recordRoundAck(from, m.term(), m.round());
            handleAppendReply(from, m);
        } else if (message instanceof InstallSnapshotReply m) {
            recordRoundAck(from, m.term(), m.round());
            handleInstallSnapshotReply(from, m);
        } else if (message instanceof LeaseQuery m) {
            handleLeaseQuery(from, m);
        } else if (message instanceof LeaseEnded m) {
            handleLeaseEnded(from, m);
        } else if (message instanceof TimeoutNow m && m.term() == term && isVoter(self)) {
            startElection(true);
        }
    }

    /**
     * Appends a command to the log and returns its index, or 0 if this member does not lead or transfers leadership.
     */
    public long propose(byte[] command) {
        return role == Role.LEADER && !isTransferringLeadership() ? appendOwnEntry(Kind.COMMAND, command) : 0;
    }

    /**
     * Returns whether a command of this size stays within the limit for uncommitted entries, which always admits at
     * least one entry.
     */
    public boolean fitsUncommittedLimit(int bytes) {
        long uncommitted = log.bytes(commitIndex, log.lastIndex());
        return commitIndex == log.lastIndex() || uncommitted + bytes <= MAX_UNCOMMITTED_BYTES;
    }

    /**
     * Starts a change to these voters, any number of which may be new. Returns false if this member does not lead, an
     * earlier change is not complete, nothing would change, or the list is empty or names an id twice.
     *
     * <p>A removed voter may hold the only other copy of an entry. Logs have no gaps, so the first entry of the change
     * commits only once a majority of the new voters has synced everything before it. Later entries need that majority
     * too. When the old voters no longer count, everything committed is therefore on a majority of the new ones.
     */
    public boolean changeMembers(List<Member> newVoters) {
        boolean distinct = newVoters.stream().mapToLong(Member::id).distinct().count() == newVoters.size();
        if (!mayChangeMembers()
                || newVoters.isEmpty()
                || !distinct
                || Set.copyOf(newVoters).equals(Set.copyOf(voters.current()))) {
            return false;
        }
        appendOwnEntry(Kind.MEMBERSHIP, new Voters(newVoters, voters.current()).encode());
        return true;
    }

    /** Returns whether a membership change can start now. */
    public boolean mayChangeMembers() {
        return hasCommittedInCurrentTerm()
                && !isTransferringLeadership()
                && !voters.isJoint()
                && commitIndex >= log.lastMembershipIndex();
    }

    /** Starts replication to a learner, which does not vote. */
    public void addLearner(Member learner) {
        if (role == Role.LEADER && !isVoter(learner.id()) && learner.id() != self) {
            Progress known = progress.get(learner.id());
            if (known == null || !known.member.equals(learner)) {
                progress.put(learner.id(), new Progress(learner, log.lastIndex() + 1, now));
            } else if (now - known.lastReceivedMillis > 2 * timing.electionTimeoutMillis()) {
                known.catchUpIndex = log.lastIndex();
            }
        }
    }

    /** Stops replication to a learner. */
    public void removeLearner(long id) {
        if (!isVoter(id)) {
            progress.remove(id);
        }
    }

    /**
     * Requests a linearizable read (a read index request) and returns its ticket, or 0 if this member does not lead.
     * {@link #drain} returns the ticket once a majority has confirmed the leader in a later heartbeat round.
     */
    public long read() {
        if (role != Role.LEADER) {
            return 0;
        }
        lastReadTicket++;
        startRound();
        pendingReads.put(lastReadTicket, round);
        broadcastAppend();
        confirmReads();
        return lastReadTicket;
    }

    /**
     * Transfers leadership to a voter with a complete log, so that a graceful shutdown does not leave the cluster
     * without a leader for an election timeout. Returns false if this member leads and no voter is up to date yet or
     * entries are uncommitted; it then goes on leading, and the caller may try again. During a transfer the leader
     * accepts no proposals and holds no lease, and it steps down if there is no new leader within an election timeout.
     */
    public boolean transferLeadership() {
        if (role != Role.LEADER || isTransferringLeadership()) {
            return true;
        }
        for (Member member : voters.current()) {
            Progress p = progress.get(member.id());
            if (member.id() != self
                    && p != null
                    && now - p.lastReceivedMillis < timing.electionTimeoutMillis()
                    && isFullyReplicated(p)) {
                // Votes for a leadership transfer are granted even while a lease lasts, so the lease ends here.
                transferDeadline = now + timing.electionTimeoutMillis();
                send(member.id(), new TimeoutNow(term));
                return true;
            }
        }
        return false;
    }

    /**
     * Guards against a transfer to a member to which the others would deny their votes, or which would lead without an
     * entry that was acknowledged during the transfer.
     */
    boolean isFullyReplicated(Progress p) {
        return p.matchIndex == log.lastIndex() && commitIndex == log.lastIndex();
    }

    /** Replaces the log up to an applied index by a snapshot of the applied state; no-op during a membership change. */
    public void compact(long index, byte[] state) {
        if (index > log.baseSnapshot().index()
                && index <= appliedIndex
                && !log.votersAt(index).isJoint()) {
            Snapshot snapshot = new Snapshot(index, log.term(index), log.currentVotersAt(index), state);
            log.installSnapshot(snapshot, retainedTailBytes());
            unstableSnapshot = snapshot;
            unstableFrom = unstableFrom > 0 ? Math.max(unstableFrom, index + 1) : 0;
        }
    }

    /** Returns the actions that result from the events since the last call. */
    public Output drain() {
        HardState hardState = new HardState(term, votedFor, lastLeader);
        boolean hardStateChanged = !hardState.equals(drainedHardState);
        drainedHardState = hardState;
        List<Entry> entries = unstableFrom > 0 ? log.entriesFrom(unstableFrom, Integer.MAX_VALUE) : List.of();
        List<Entry> committed = new ArrayList<>();
        while (appliedIndex < commitIndex) {
            committed.add(log.entry(++appliedIndex));
        }
        Output output = new Output(
                term,
                hardStateChanged ? hardState : null,
                unstableSnapshot,
                unstableFrom,
                entries,
                log.lastIndex(),
                outbox,
                snapshotToRestore,
                committed,
                List.copyOf(confirmedReads));
        unstableFrom = 0;
        unstableSnapshot = null;
        snapshotToRestore = null;
        outbox = new ArrayList<>();
        confirmedReads.clear();
        return output;
    }

    /** Reports that an output is synced to disk. From then on the leader's own copy of its entries counts. */
    public void persisted(Output output) {
        if (role == Role.LEADER && output.term() == term) {
            Progress own = progress.get(self);
            if (own != null) {
                own.matchIndex = Math.max(own.matchIndex, Math.min(output.lastIndex(), log.lastIndex()));
            }
            advanceCommitIndex();
        }
    }

    // ---- state

    /** Returns the role of this member. */
    public Role role() {
        return role;
    }

    /** Returns the leader's id, 0 if unknown. */
    public long leader() {
        return leader;
    }

    /** Returns the current term. */
    public long term() {
        return term;
    }

    /** Returns the last index known to be committed. */
    public long commitIndex() {
        return commitIndex;
    }

    /** Returns the last index of the log. */
    public long lastIndex() {
        return log.lastIndex();
    }

    /** Returns the number of entries after the snapshot. */
    public long logLength() {
        return log.lastIndex() - log.baseSnapshot().index();
    }

    /** Returns the last index that the snapshot covers. */
    public long snapshotIndex() {
        return log.baseSnapshot().index();
    }

    /** Returns the memory taken by the entries after the snapshot and up to an index. */
    public long logBytes(long upTo) {
        return log.bytes(log.baseSnapshot().index(), upTo);
    }

    /** Returns the voters in this member's log, committed or not; during a change both the new and the old ones. */
    public List<Member> voters() {
        return voters.all();
    }

    /**
     * Returns the end of the leader lease on this member's clock in steady milliseconds, 0 if it holds none. Until then
     * no other member can lead. The lease starts when the latest round that a majority acknowledged was sent: each of
     * these voters received it after that, and withholds its vote from others for an election timeout.
     */
    public long leaseUntil() {
        return hasCommittedInCurrentTerm() && !isTransferringLeadership()
                ? Math.max(0, lastAckedRoundSentAt() + timing.leaseMillis())
                : 0;
    }

    /** Returns whether this member holds the leader lease at the time of the last event. */
    public boolean holdsLease() {
        return holdsLease(now);
    }

    /** Returns whether this member holds the leader lease at a time, which guards callers against process pauses. */
    public boolean holdsLease(long nowMillis) {
        return Math.max(now, nowMillis) < leaseUntil();
    }

    /**
     * Returns until when, in steady milliseconds of this member's clock, the state counts as fresh if
     * {@link #freshIndex} is applied; for a leader this is the end of its lease. Fresh state contains everything that
     * was acknowledged up to one lease duration before (bounded staleness).
     */
    public long freshUntil() {
        return role == Role.LEADER ? leaseUntil() : freshUntil;
    }

    /** Returns the index that has to be applied for {@link #freshUntil} to hold. */
    public long freshIndex() {
        return role == Role.LEADER ? firstIndexOfTerm : freshIndex;
    }

    /** Returns whether the state after the last {@link #drain} is fresh, see {@link #freshUntil}. */
    public boolean fresh() {
        return fresh(now);
    }

    /** Returns whether the state is fresh at a time, which guards callers against process pauses. */
    public boolean fresh(long nowMillis) {
        return Math.max(now, nowMillis) < freshUntil() && appliedIndex >= freshIndex();
    }

    /** Returns whether this member leads and has committed an entry of its term, so it knows all earlier commits. */
    public boolean hasCommittedInCurrentTerm() {
        return role == Role.LEADER && commitIndex >= firstIndexOfTerm;
    }

    /** Returns the members that a leader replicates to, without itself; empty if this member does not lead. */
    public List<Progress> followers() {
        List<Progress> others = new ArrayList<>();
        if (role == Role.LEADER) {
            progress.values().stream().filter(p -> p.member.id() != self).forEach(others::add);
        }
        return others;
    }

    /** Returns whether an id is among the voters. */
    public boolean isVoter(long id) {
        return voters.all().stream().anyMatch(m -> m.id() == id);
    }

    /**
     * Returns whether this member should ask to be added as a learner: it is not a voter, or no leader has contacted it
     * for two election timeouts. A voter that was removed while it was disconnected does not know of its removal, so it
     * has to ask too.
     */
    public boolean shouldRequestJoin() {
        return role != Role.LEADER && (!isVoter(self) || now - leaderContactAt >= 2 * timing.electionTimeoutMillis());
    }

    // ---- leases

    private void startRound() {
        round++;
        roundStartedAt = now;
        roundSentAt.values().removeIf(sentAt -> now - sentAt >= timing.leaseMillis());
        roundSentAt.put(round, now);
    }

    /** Guards against a lease counted from when a reply is processed, which a process pause may have delayed. */
    private void recordRoundAck(long from, long messageTerm, long messageRound) {
        Progress p = progress.get(from);
        if (role == Role.LEADER && messageTerm == term && p != null) {
            p.ackedRoundSentAt = Math.max(p.ackedRoundSentAt, roundSentAt.getOrDefault(messageRound, Progress.NEVER));
        }
    }

    /** Returns the send time of the latest round that a member acknowledged. */
    long lastAckedRoundSentAt(Progress p) {
        return p.ackedRoundSentAt;
    }

    private long lastAckedRoundSentAt() {
        return quorumVoters()
                .quorumValue(m -> m.id() == self
                        ? now
                        : progress.containsKey(m.id()) ? lastAckedRoundSentAt(progress.get(m.id())) : Progress.NEVER);
    }

    /**
     * Returns whether this leader gave up its lease for the rest of its term, since a successor may start an election.
     */
    boolean isTransferringLeadership() {
        return transferDeadline != 0;
    }

    /**
     * Extends the freshness of a follower by the leader's lease. The leader counts the remaining lease from when it
     * received this member's reply, which is after this member sent it. On this member's clock the lease thus lasts at
     * least that long from the send time, independent of network delay.
     */
    private void extendFreshness(Append m) {
        long echoed = m.echo() - incarnation;
        if (m.leaseMillis() > 0 && echoed >= startedAt && echoed <= now && echoed + m.leaseMillis() > freshUntil) {
            freshUntil = echoed + m.leaseMillis();
            freshIndex = Math.max(freshIndex, m.leaderCommit());
        }
    }

    /**
     * Guards against breaking a lease after a restart. The time of the last contact with a leader is not on disk, so a
     * member that may have supported a lease before the restart takes its start time for that contact, until the leader
     * reports the lease over. A member replies to a leader only once the leader's id is synced. A member that itself
     * led last has lost its own lease.
     */
    boolean isBoundByPriorLease() {
        return priorLeasePending && now - startedAt < timing.electionTimeoutMillis();
    }

    /** Asks the last leader whether a lease that this member may have supported before its restart is over. */
    void queryLastLeader() {
        if (lastLeader != 0) {
            send(lastLeader, new LeaseQuery(term, incarnation));
        }
    }

    private void handleLeaseQuery(long from, LeaseQuery m) {
        if (hasNoLease()) {
            send(from, new LeaseEnded(term, m.incarnation()));
        }
    }

    /**
     * Guards against releasing a voter whose support the lease relies on. A lease that the sender supported before its
     * restart belongs to a term that is over once this member no longer leads.
     */
    boolean hasNoLease() {
        return role != Role.LEADER;
    }

    private void handleLeaseEnded(long from, LeaseEnded m) {
        if (priorLeasePending && from == lastLeader && isForThisIncarnation(m)) {
            priorLeasePending = false;
            electionTimeoutAt = Math.min(electionTimeoutAt, now + random.nextLong(timing.heartbeatIntervalMillis()));
        }
    }

    /**
     * Guards against a reply to a query from before the restart: the leader may have been elected and followed since.
     */
    boolean isForThisIncarnation(LeaseEnded m) {
        return m.incarnation() == incarnation;
    }

    /** Adds the send time to a reply, or the remaining lease to an append message. */
    private Message withLeaseTimestamps(long to, Message message) {
        if (message instanceof AppendReply m) {
            return m.withSentAt(now + incarnation);
        } else if (message instanceof Append m && holdsLease()) {
            Progress p = progress.get(to);
            return p.peerSentAt == 0 ? m : m.withLease(p.peerSentAt, Math.max(0, leaseUntil() - p.peerSentReceivedAt));
        }
        return message;
    }

    // ---- elections

    private void resetElectionTimeout() {
        electionTimeoutAt = now + timing.electionTimeoutMillis() + random.nextLong(timing.electionTimeoutMillis());
    }

    /** Pre-vote: guards against a reconnecting member that raises the term of all others. */
    void startPreVote() {
        electionTimeoutAt =
                now + timing.electionTimeoutMillis() / 2 + random.nextLong(timing.electionTimeoutMillis() / 2);
        if (!isVoter(self) && !isVoterUntilRemovalCommits()) {
            leader = 0;
            return;
        }
        role = Role.PRE_CANDIDATE;
        leader = 0;
        votesGranted.clear();
        votesGranted.add(self);
        requestVotes(new VoteRequest(term + 1, true, log.lastIndex(), log.lastTerm(), false));
        if (hasQuorum(votesGranted)) {
            startElection(false);
        }
    }

    /**
     * Guards against loss of availability: a voter still starts elections until the entry that removes it commits. It
     * may be the only member that stores everything committed, and members without that entry may need its vote.
     */
    private boolean isVoterUntilRemovalCommits() {
        long changed = log.lastMembershipIndex();
        return commitIndex < changed && log.votersAt(changed - 1).all().stream().anyMatch(m -> m.id() == self);
    }

    void startElection(boolean leadershipTransfer) {
        term++;
        votedFor = self;
        role = Role.CANDIDATE;
        leader = 0;
        votesGranted.clear();
        votesGranted.add(self);
        resetElectionTimeout();
        requestVotes(new VoteRequest(term, false, log.lastIndex(), log.lastTerm(), leadershipTransfer));
        if (hasQuorum(votesGranted)) {
            becomeLeader();
        }
    }

    private void requestVotes(VoteRequest request) {
        for (Member member : voters.all()) {
            if (member.id() != self) {
                send(member.id(), request);
            }
        }
    }

    private void handleVoteRequest(long from, VoteRequest m) {
        boolean upToDate =
                m.lastTerm() > log.lastTerm() || (m.lastTerm() == log.lastTerm() && m.lastIndex() >= log.lastIndex());
        boolean leaderActive = !m.leadershipTransfer() && hasActiveLeader();
        if (m.preVote()) {
            boolean granted = m.term() > term && upToDate && !leaderActive;
            send(from, new VoteReply(granted ? m.term() : term, true, granted));
            return;
        }
        // Applies even if another message has raised the term meanwhile: support for a lease is not bound to the term.
        if (leaderActive) {
            send(from, new VoteReply(term, false, false));
            return;
        }
        advanceTerm(m.term());
        boolean granted = m.term() == term && (votedFor == 0 || votedFor == from) && upToDate;
        if (granted) {
            role = Role.FOLLOWER;
            votedFor = from;
            resetElectionTimeout();
        }
        send(from, new VoteReply(term, false, granted));
    }

    /** Guards against a removed or disconnected member that would depose a leader which others still follow. */
    boolean hasActiveLeader() {
        return role == Role.LEADER || isBoundByPriorLease() || now - leaderContactAt < timing.electionTimeoutMillis();
    }

    private void handleVoteReply(long from, VoteReply m) {
        if (m.preVote() && m.granted()) {
            if (role == Role.PRE_CANDIDATE && m.term() == term + 1) {
                votesGranted.add(from);
                if (hasQuorum(votesGranted)) {
                    startElection(false);
                }
            }
            return;
        }
        advanceTerm(m.term());
        if (role == Role.CANDIDATE && m.term() == term && m.granted()) {
            votesGranted.add(from);
            if (hasQuorum(votesGranted)) {
                becomeLeader();
            }
        }
    }

    /** Steps down and moves to a term if it is later than the current one. */
    private void advanceTerm(long newTerm) {
        if (newTerm > term) {
            term = newTerm;
            votedFor = 0;
            stepDown();
        }
    }

    private void stepDown() {
        if (role == Role.LEADER) {
            resetElectionTimeout();
        }
        role = Role.FOLLOWER;
        leader = 0;
        progress.clear();
        pendingReads.clear();
    }

    private void becomeLeader() {
        role = Role.LEADER;
        leader = self;
        lastLeader = self;
        priorLeasePending = false;
        progress.clear();
        pendingReads.clear();
        roundSentAt.clear();
        transferDeadline = 0;
        incomingSnapshot = null;
        addMissingProgress();
        progress.values().forEach(p -> p.lastReceivedMillis = now);
        firstIndexOfTerm = log.lastIndex() + 1;
        startRound();
        appendOwnEntry(Kind.NO_OP, new byte[0]);
        if (log.lastMembershipIndex() == 0) {
            // Only the first voters know the initial membership until the log contains it.
            appendOwnEntry(Kind.MEMBERSHIP, voters.encode());
        }
    }

    private boolean hasQuorum(Set<Long> ids) {
        return quorumVoters().quorumValue(m -> ids.contains(m.id()) ? 1 : 0) == 1;
    }

    /** Returns the voters whose majority decides on votes, commits, reads and leases. */
    Voters quorumVoters() {
        return voters;
    }

    /** Check quorum: a leader steps down unless a majority has replied within two election timeouts. */
    private boolean hasQuorumContact() {
        Set<Long> responsive = new HashSet<>();
        responsive.add(self);
        progress.values().stream()
                .filter(p -> now - p.lastReceivedMillis < 2 * timing.electionTimeoutMillis())
                .forEach(p -> responsive.add(p.member.id()));
        return hasQuorum(responsive);
    }

    // ---- log replication

    private long appendOwnEntry(Kind kind, byte[] body) {
        Entry entry = new Entry(log.lastIndex() + 1, term, kind, body);
        log.append(entry);
        unstableFrom = unstableFrom > 0 ? Math.min(unstableFrom, entry.index()) : entry.index();
        if (kind == Kind.MEMBERSHIP) {
            voters = Voters.decode(body);
            addMissingProgress();
        }
        broadcastAppend();
        advanceCommitIndex();
        return entry.index();
    }

    /** Creates the progress of voters that have none yet; learners keep theirs. */
    private void addMissingProgress() {
        for (Member member : voters.all()) {
            progress.computeIfAbsent(member.id(), id -> new Progress(member, log.lastIndex() + 1, now));
        }
    }

    private void broadcastAppend() {
        nextHeartbeatAt = now + timing.heartbeatIntervalMillis();
        if (now - roundStartedAt >= timing.heartbeatIntervalMillis() / 2) {
            startRound();
        }
        for (Progress p : progress.values()) {
            if (p.member.id() != self) {
                sendAppend(p);
            }
        }
    }

    private void sendAppend(Progress p) {
        if (p.nextIndex <= log.precedingIndex()) {
            sendSnapshot(p);
            return;
        }
        p.transfer = null;
        List<Entry> entries = hasInFlightCapacity(log.bytes(p.matchIndex, p.nextIndex - 1))
                ? log.entriesFrom(p.nextIndex, MAX_APPEND_BYTES)
                : List.of();
        send(p.member.id(), new Append(term, p.nextIndex - 1, log.term(p.nextIndex - 1), commitIndex, round, entries));
        p.nextIndex += entries.size();
    }

    /**
     * Flow control: guards against filling memory with entries for a slow follower. With too many unacknowledged bytes
     * it receives heartbeats only. If it rejects one, the rejection contains the index to resume from.
     */
    boolean hasInFlightCapacity(long unacknowledgedBytes) {
        return unacknowledgedBytes < MAX_IN_FLIGHT_BYTES;
    }

    /** Guards against sending a whole snapshot to a follower that lacks only a few entries. */
    int retainedTailBytes() {
        return TAIL_BYTES;
    }

    /** Sends the next chunk of the snapshot, or an empty chunk as a heartbeat while one is in flight. */
    private void sendSnapshot(Progress p) {
        if (p.transfer == null) {
            p.transfer = SnapshotTransfer.start(log.baseSnapshot());
        }
        SnapshotTransfer transfer = p.transfer;
        boolean awaiting = transfer.awaitedSequence() > 0;
        byte[] chunk = awaiting ? new byte[0] : transfer.chunk();
        send(
                p.member.id(),
                new InstallSnapshot(term, transfer.metadata(), transfer.offset(), chunk, ++lastInstallSequence, round));
        p.transfer = awaiting ? transfer : transfer.withAwaitedSequence(lastInstallSequence);
    }

    /**
     * Returns whether the sender leads the current term, and follows it if so. A stale leader receives the newer term
     * in reply.
     */
    private boolean acceptLeader(long from, long leaderTerm, long leaderRound) {
        if (leaderTerm < term) {
            send(from, new AppendReply(term, false, 0, leaderRound));
            return false;
        }
        advanceTerm(leaderTerm);
        if (role == Role.LEADER) {
            Invariant.ONE_LEADER.recordViolation(self + " and " + from + " in term " + term);
            throw new IllegalStateException("two leaders in term " + term);
        }
        role = Role.FOLLOWER;
        leader = from;
        lastLeader = from;
        recordLeaderContact();
        return true;
    }

    void recordLeaderContact() {
        leaderContactAt = now;
        priorLeasePending = false;
        resetElectionTimeout();
    }

    private void handleAppend(long from, Append m) {
        long previousTerm = log.term(m.previousIndex());
        if (m.previousIndex() < log.baseSnapshot().index() || previousTerm != m.previousTerm()) {
            // Committed entries match the leader's log, so the search need not go below them.
            long hint = Math.max(commitIndex, Math.min(log.lastIndex(), m.previousIndex() - 1));
            send(from, new AppendReply(term, false, hint, m.round()));
            return;
        }
        for (Entry entry : m.entries()) {
            appendReceivedEntry(entry);
        }
        long matchIndex = m.previousIndex() + m.entries().size();
        commitIndex = Math.max(commitIndex, Math.min(m.leaderCommit(), matchIndex));
        if (incomingSnapshot != null && incomingSnapshot.metadata().index() <= commitIndex) {
            incomingSnapshot = null;
        }
        send(from, new AppendReply(term, true, matchIndex, m.round()));
    }

    private void appendReceivedEntry(Entry entry) {
        if (log.term(entry.index()) == entry.term()) {
            return;
        }
        if (entry.index() <= commitIndex) {
            Invariant.COMMITTED_STAYS.recordViolation(
                    "entry " + entry.index() + " up to " + commitIndex + " at " + self);
            throw new IllegalStateException("a committed entry conflicts with the leader's entry " + entry.index());
        }
        boolean truncates = entry.index() <= log.lastIndex();
        if (truncates) {
            log.truncateFrom(entry.index());
        }
        log.append(entry);
        unstableFrom = unstableFrom > 0 ? Math.min(unstableFrom, entry.index()) : entry.index();
        if (truncates || entry.kind() == Kind.MEMBERSHIP) {
            voters = log.votersAt(log.lastIndex());
        }
    }

    private void handleInstallSnapshot(long from, InstallSnapshot m) {
        if (m.metadata().index() > commitIndex && !assembleSnapshot(from, m)) {
            return;
        }
        if (m.metadata().index() > commitIndex) {
            Snapshot snapshot = incomingSnapshot.snapshot();
            log.installSnapshot(snapshot, retainedTailBytes());
            commitIndex = snapshot.index();
            appliedIndex = commitIndex;
            voters = log.votersAt(log.lastIndex());
            unstableSnapshot = snapshot;
            // Removes from disk the entries that the log no longer holds.
            unstableFrom = snapshot.index() + 1;
            snapshotToRestore = snapshot;
        }
        incomingSnapshot = null;
        send(from, new AppendReply(term, true, m.metadata().index(), m.round()));
    }

    /**
     * Adds a chunk and returns whether the snapshot is complete. A different snapshot restarts the assembly, except
     * that an older one of the same leader is ignored.
     */
    private boolean assembleSnapshot(long from, InstallSnapshot m) {
        if (m.metadata().length() > SnapshotAssembler.MAX_SNAPSHOT_BYTES
                || (incomingSnapshot != null && incomingSnapshot.supersedes(m))) {
            return false;
        }
        if (incomingSnapshot == null || !incomingSnapshot.metadata().equals(m.metadata())) {
            incomingSnapshot = new SnapshotAssembler(m.metadata(), m.term());
        }
        incomingSnapshot.add(m.offset(), m.chunk());
        if (incomingSnapshot.isComplete() && hasValidChecksum(incomingSnapshot)) {
            return true;
        }
        if (incomingSnapshot.isComplete()) {
            incomingSnapshot = new SnapshotAssembler(m.metadata(), m.term());
        }
        send(
                from,
                new InstallSnapshotReply(
                        term, m.metadata().index(), incomingSnapshot.receivedBytes(), m.sequence(), m.round()));
        return false;
    }

    /** Guards against installing a snapshot that was corrupted or mixed up in transit. */
    boolean hasValidChecksum(SnapshotAssembler assembler) {
        return assembler.hasValidChecksum();
    }

    private void handleInstallSnapshotReply(long from, InstallSnapshotReply m) {
        advanceTerm(m.term());
        Progress p = progress.get(from);
        if (role != Role.LEADER || m.term() != term || p == null) {
            return;
        }
        p.lastReceivedMillis = now;
        p.ackedRound = Math.max(p.ackedRound, m.round());
        if (p.transfer != null && p.nextIndex <= log.precedingIndex()) {
            if (p.transfer.isAdvancedBy(m)) {
                p.transfer = p.transfer.onReply(m);
                sendSnapshot(p);
            }
        }
        confirmReads();
    }

    private void handleAppendReply(long from, AppendReply m) {
        advanceTerm(m.term());
        Progress p = progress.get(from);
        if (role != Role.LEADER || m.term() != term || p == null) {
            return;
        }
        p.lastReceivedMillis = now;
        p.peerSentAt = m.sentAt();
        p.peerSentReceivedAt = now;
        p.ackedRound = Math.max(p.ackedRound, m.round());
        if (m.success()) {
            p.matchIndex = Math.max(p.matchIndex, m.index());
            p.nextIndex = Math.max(p.nextIndex, p.matchIndex + 1);
            if (p.transfer != null && p.matchIndex >= p.transfer.metadata().index()) {
                p.transfer = null;
            }
            advanceCommitIndex();
            if (p.nextIndex <= log.lastIndex()) {
                sendAppend(p);
            }
        } else {
            rewind(p, Math.max(p.matchIndex, Math.min(m.index(), log.lastIndex())) + 1);
        }
        confirmReads();
    }

    /**
     * Guards against a flood of resends after duplicated or late rejections; the next heartbeat resumes replication.
     */
    private void rewind(Progress p, long next) {
        p.nextIndex = next;
        if (now - p.lastRewindAt >= timing.heartbeatIntervalMillis() / 4) {
            p.lastRewindAt = now;
            sendAppend(p);
        }
    }

    /** Advances the commit index to the last entry that a majority stores, if it is of this term. */
    private void advanceCommitIndex() {
        if (role != Role.LEADER) {
            return;
        }
        long reached =
                quorumVoters().quorumValue(m -> progress.containsKey(m.id()) ? progress.get(m.id()).matchIndex : 0);
        if (reached > commitIndex && mayCommit(reached)) {
            commitIndex = reached;
            // Notifies followers at once instead of with the next heartbeat, since their callers wait for it.
            broadcastAppend();
            confirmReads();
            finishMembershipChange();
        }
    }

    /** Guards against committing an entry of an earlier term by its replica count: a later leader may overwrite it. */
    boolean mayCommit(long index) {
        return log.term(index) == term;
    }

    /**
     * Completes a membership change whose first entry is committed, even if another leader started it. A leader that is
     * removed steps down once the second entry is committed.
     */
    private void finishMembershipChange() {
        if (commitIndex < log.lastMembershipIndex()) {
            return;
        }
        if (voters.isJoint()) {
            appendOwnEntry(Kind.MEMBERSHIP, Voters.of(voters.current()).encode());
        } else if (!isVoter(self)) {
            stepDown();
        }
    }

    private void confirmReads() {
        if (pendingReads.isEmpty() || commitIndex < firstIndexOfTerm) {
            return;
        }
        Map<Long, Long> unconfirmed = new HashMap<>(pendingReads);
        unconfirmed.forEach((ticket, requiredRound) -> {
            Set<Long> confirmed = new HashSet<>();
            confirmed.add(self);
            progress.values().stream()
                    .filter(p -> p.ackedRound >= requiredRound)
                    .forEach(p -> confirmed.add(p.member.id()));
            if (hasQuorum(confirmed)) {
                pendingReads.remove(ticket);
                confirmedReads.add(ticket);
            }
        });
    }

    private void send(long to, Message message) {
        outbox.add(new Envelope(to, withLeaseTimestamps(to, message)));
    }
}
