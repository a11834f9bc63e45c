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
 * One member's part in the agreement. Events come by {@link #tick}, {@link #receive} and the calls of a leader; what is
 * to be done about them is collected by {@link #drain}. Messages may be lost, doubled and late; nothing here reads a
 * clock, and time is the caller's steady milliseconds.
 *
 * <p>What keeps an acknowledged entry: a vote and an entry are told to others only once they are synced (the
 * {@link Output}'s order), an entry counts as committed once a majority of the voters has it and one of the leader's
 * own term is among them, and a vote goes only to who has all that the voter has. Voters change by joint consensus: the
 * first entry of a change names those to come and those before, and counts from when it is in the log. From then on a
 * majority of each is needed, so no majority of either can decide alone; the second entry, of those to come, is written
 * only once the first is committed, so by then a majority of them has all that is committed.
 */
public class Raft {
    /** What a member is at the moment. */
    public enum Role {
        FOLLOWER,
        PRE_CANDIDATE,
        CANDIDATE,
        LEADER
    }

    /** Entries of one message: enough for a batch, little enough not to hold up heartbeats. */
    private static final int MESSAGE_BYTES = 128 << 10;
    /** What one follower may be sent ahead of its answers; one entry may lie over it. */
    static final int MOST_IN_FLIGHT = 512 << 10;
    /** What a leader may write ahead of its commit index, the first entry always. */
    static final int MOST_UNCOMMITTED = 2 << 20;
    /** Entries that a snapshot covers and that are kept for followers a little behind. */
    static final int TAIL_BYTES = 1 << 20;

    private final long self;
    private final Timing timing;
    private final SplittableRandom random;
    private final Log log;
    private final Map<Long, Progress> progress = new LinkedHashMap<>();
    private final Set<Long> granted = new HashSet<>();
    private final Map<Long, Long> reads = new LinkedHashMap<>();
    /** When each of the leader's latest rounds was sent. */
    private final Map<Long, Long> rounds = new LinkedHashMap<>();

    private final long startedAt;
    /** Drawn at each start, so that answers to what an earlier life of this member sent mean nothing. */
    private final long life;

    private long term;
    private long votedFor;
    /**
     * The leader that this member followed, or was, last: the only one whose lease an earlier life may have promised to
     * keep.
     */
    private long lastLeader;
    /** Whether {@link #lastLeader} has neither been heard in this life nor said that its lease is over. */
    private boolean promiseOpen;

    private Role role = Role.FOLLOWER;
    private long leader;
    private long commit;
    private long applied;
    private long now;
    private long heardLeaderAt;
    private long electionAt;
    private long heartbeatAt;
    private long firstOfTerm;
    private long round;
    private long roundAt;
    private long tickets;
    /** When a leader that has handed over steps down if nobody took the lead, 0 where it hasn't. */
    private long leavesAt;

    private long freshUntil;
    private long freshIndex;
    private Voters voters;

    private HardState written;
    private long unwrittenFrom;
    private Snapshot unwrittenSnapshot;
    private Snapshot restore;
    private SnapshotAssembler gathering;
    private long installs;
    private List<Envelope> outbox = new ArrayList<>();
    private final List<Long> readable = new ArrayList<>();

    /** A member with what its disk holds; whoever isn't among the voters listens until a leader makes it one. */
    public Raft(long self, PersistentState stored, Timing timing, long seed, long now) {
        this.self = self;
        this.timing = timing;
        this.now = now;
        random = new SplittableRandom(seed);
        log = new Log(stored.snapshot(), stored.entries());
        term = stored.hardState().term();
        votedFor = stored.hardState().votedFor();
        lastLeader = stored.hardState().lastLeader();
        written = stored.hardState();
        commit = stored.snapshot().index();
        restore = commit > 0 ? stored.snapshot() : null;
        applied = commit;
        voters = log.votersAt(log.lastIndex());
        startedAt = now;
        life = random.nextLong();
        promiseOpen = term > 0 && lastLeader != self;
        heardLeaderAt = now - timing.electionMillis();
        // All may have lost power at once, so no longer than is needed.
        long quiet = mayHavePromised() ? timing.electionMillis() : timing.heartbeatMillis();
        electionAt = now + quiet + random.nextLong(timing.electionMillis() / 2);
    }

    // ---- what is asked of it

    /** Lets time pass. */
    public void tick(long nowMillis) {
        now = Math.max(now, nowMillis);
        if (role == Role.LEADER) {
            if ((leaves() && now >= leavesAt) || !isAnswered()) {
                stepDown();
            } else if (now >= heartbeatAt) {
                broadcast();
            }
            return;
        }
        if (mayHavePromised()) {
            askLastLeader();
        }
        if (now >= electionAt) {
            ask();
        }
    }

    /** Takes a message that another member sent. */
    public void receive(long nowMillis, long from, Message message) {
        now = Math.max(now, nowMillis);
        if (message instanceof VoteRequest m) {
            voteRequested(from, m);
        } else if (message instanceof VoteReply m) {
            voteReplied(from, m);
        } else if (message instanceof Append m) {
            if (leads(from, m.term(), m.round())) {
                append(from, m);
                toldLease(m);
            }
        } else if (message instanceof InstallSnapshot m) {
            if (leads(from, m.term(), m.round())) {
                install(from, m);
            }
        } else if (message instanceof AppendReply m) {
            roundAnswered(from, m.term(), m.round());
            appendReplied(from, m);
        } else if (message instanceof InstallSnapshotReply m) {
            roundAnswered(from, m.term(), m.round());
            installReplied(from, m);
        } else if (message instanceof LeaseQuery m) {
            leaseAsked(from, m);
        } else if (message instanceof LeaseEnded m) {
            leaseEnded(from, m);
        } else if (message instanceof TimeoutNow m && m.term() == term && isVoter(self)) {
            stand(true);
        }
    }

    /** Writes a command to the log and returns its index, or 0 where this member doesn't lead or has handed over. */
    public long propose(byte[] command) {
        return role == Role.LEADER && !leaves() ? write(Kind.COMMAND, command) : 0;
    }

    /**
     * Whether a command of so many bytes may be written ahead of the commit index: one at least, and then by their
     * bytes.
     */
    public boolean fitsUncommittedLimit(int bytes) {
        long uncommitted = log.bytes(commit, log.lastIndex());
        return commit == log.lastIndex() || uncommitted + bytes <= MOST_UNCOMMITTED;
    }

    /**
     * Makes these the voters, any number of them others than now; false where this member doesn't lead, an earlier
     * change isn't done yet, nothing would change, or the list is empty or names an id twice.
     *
     * <p>One that leaves may hold the only other copy of an entry: logs have no gaps, so the change's first entry
     * commits only once a majority of those to come has synced all that stands before it. Whatever commits after that
     * needs a majority of those to come as well, so when those before lose their say everything committed is on such a
     * majority.
     */
    public boolean changeMembers(List<Member> wanted) {
        boolean distinct = wanted.stream().mapToLong(Member::id).distinct().count() == wanted.size();
        if (!mayChangeMembers()
                || wanted.isEmpty()
                || !distinct
                || Set.copyOf(wanted).equals(Set.copyOf(voters.current()))) {
            return false;
        }
        write(Kind.MEMBERSHIP, new Voters(wanted, voters.current()).encode());
        return true;
    }

    /** Whether a change of voters may be written now. */
    public boolean mayChangeMembers() {
        return hasCommittedInCurrentTerm() && !leaves() && !voters.joint() && commit >= log.membersIndex();
    }

    /** Sends the log to one who doesn't vote. */
    public void addLearner(Member learner) {
        if (role == Role.LEADER && !isVoter(learner.id()) && learner.id() != self) {
            Progress known = progress.get(learner.id());
            if (known == null || !known.member.equals(learner)) {
                progress.put(learner.id(), new Progress(learner, log.lastIndex() + 1, now));
            } else if (now - known.heardAt > 2 * timing.electionMillis()) {
                known.target = log.lastIndex();
            }
        }
    }

    /** Stops sending to a learner. */
    public void removeLearner(long id) {
        if (!isVoter(id)) {
            progress.remove(id);
        }
    }

    /**
     * Asks for the right to answer a read from the applied state, and returns its ticket, or 0 where this member
     * doesn't lead. The ticket comes out of {@link #drain} once a majority has confirmed the leader since.
     */
    public long read() {
        if (role != Role.LEADER) {
            return 0;
        }
        tickets++;
        beginRound();
        reads.put(tickets, round);
        broadcast();
        answerReads();
        return tickets;
    }

    /**
     * Hands the lead to a voter that has all of the log, so that an end in good order costs no election. False where
     * this member leads and nobody has all yet, or there are entries that aren't committed: it goes on and may be asked
     * again. Once it has handed over it takes no proposals, has no lease, and steps down if nobody leads an election
     * time later.
     */
    public boolean transferLeadership() {
        if (role != Role.LEADER || leaves()) {
            return true;
        }
        for (Member member : voters.current()) {
            Progress p = progress.get(member.id());
            if (member.id() != self && p != null && now - p.heardAt < timing.electionMillis() && hasAll(p)) {
                // A vote that is handed over breaks the promises that a lease stands on.
                leavesAt = now + timing.electionMillis();
                send(member.id(), new TimeoutNow(term));
                return true;
            }
        }
        return false;
    }

    /**
     * Guards against a successor whom the others deny their votes, or who takes the lead without what is acknowledged
     * next.
     */
    boolean hasAll(Progress p) {
        return p.match == log.lastIndex() && commit == log.lastIndex();
    }

    /**
     * Puts the applied state in place of the log up to an index that has been applied; not in the middle of a change of
     * voters.
     */
    public void compact(long index, byte[] state) {
        if (index > log.base().index()
                && index <= applied
                && !log.votersAt(index).joint()) {
            Snapshot snapshot = new Snapshot(index, log.term(index), log.membersAt(index), state);
            log.rebase(snapshot, tailBytes());
            unwrittenSnapshot = snapshot;
            unwrittenFrom = unwrittenFrom > 0 ? Math.max(unwrittenFrom, index + 1) : 0;
        }
    }

    /** What came of the events since the last call. */
    public Output drain() {
        HardState hard = new HardState(term, votedFor, lastLeader);
        boolean hardChanged = !hard.equals(written);
        written = hard;
        List<Entry> entries = unwrittenFrom > 0 ? log.from(unwrittenFrom, Integer.MAX_VALUE) : List.of();
        List<Entry> committed = new ArrayList<>();
        while (applied < commit) {
            committed.add(log.entry(++applied));
        }
        Output output = new Output(
                term,
                hardChanged ? hard : null,
                unwrittenSnapshot,
                unwrittenFrom,
                entries,
                log.lastIndex(),
                outbox,
                restore,
                committed,
                List.copyOf(readable));
        unwrittenFrom = 0;
        unwrittenSnapshot = null;
        restore = null;
        outbox = new ArrayList<>();
        readable.clear();
        return output;
    }

    /** Tells that all of an output is on the disk: from now on the leader's own copy counts. */
    public void persisted(Output output) {
        if (role == Role.LEADER && output.term() == term) {
            Progress own = progress.get(self);
            if (own != null) {
                own.match = Math.max(own.match, Math.min(output.lastIndex(), log.lastIndex()));
            }
            advance();
        }
    }

    // ---- what it tells

    /** What this member is. */
    public Role role() {
        return role;
    }

    /** The leader's id as far as it is known, 0 where it isn't. */
    public long leader() {
        return leader;
    }

    /** The present term. */
    public long term() {
        return term;
    }

    /** The last index known to be committed. */
    public long commitIndex() {
        return commit;
    }

    /** The log's last index. */
    public long lastIndex() {
        return log.lastIndex();
    }

    /** How many entries the log holds behind its snapshot. */
    public long logLength() {
        return log.lastIndex() - log.base().index();
    }

    /** The last index that the snapshot covers. */
    public long snapshotIndex() {
        return log.base().index();
    }

    /** What the entries behind the snapshot and up to an index take in memory. */
    public long logBytes(long upTo) {
        return log.bytes(log.base().index(), upTo);
    }

    /** The voters as this member's log has them, committed or not; during a change those to come and those before. */
    public List<Member> voters() {
        return voters.all();
    }

    /**
     * Until when, on this member's clock, no other can lead, in steady milliseconds; 0 where that isn't known. A lease
     * runs from the sending of the latest round that a majority answered: each of these voters heard the leader after
     * that, and denies its vote for an election time.
     */
    public long leaseUntil() {
        return hasCommittedInCurrentTerm() && !leaves() ? Math.max(0, confirmedFrom() + timing.leaseMillis()) : 0;
    }

    /** Whether this member leads and no other can at the time of the last event. */
    public boolean holdsLease() {
        return holdsLease(now);
    }

    /** Whether this member leads and no other can; a caller that may have been frozen gives the time as it is. */
    public boolean holdsLease(long nowMillis) {
        return Math.max(now, nowMillis) < leaseUntil();
    }

    /**
     * Until when, on this member's clock, a follower that has applied {@link #freshIndex} may say that it is in touch,
     * in steady milliseconds; at a leader its lease. What was acknowledged a lease before that is in its state.
     */
    public long freshUntil() {
        return role == Role.LEADER ? leaseUntil() : freshUntil;
    }

    /** What has to be applied before the state is as new as {@link #freshUntil} says. */
    public long freshIndex() {
        return role == Role.LEADER ? firstOfTerm : freshIndex;
    }

    /** Whether the state that the last {@link #drain} led to was the agreed one within the last lease. */
    public boolean fresh() {
        return fresh(now);
    }

    /** As {@link #fresh()}; a caller that may have been frozen gives the time as it is. */
    public boolean fresh(long nowMillis) {
        return Math.max(now, nowMillis) < freshUntil() && applied >= freshIndex();
    }

    /** Whether this member leads and all of its predecessors' commitments are known to it. */
    public boolean hasCommittedInCurrentTerm() {
        return role == Role.LEADER && commit >= firstOfTerm;
    }

    /** Whom a leader sends to, itself left out; empty at others. */
    public List<Progress> followers() {
        List<Progress> others = new ArrayList<>();
        if (role == Role.LEADER) {
            progress.values().stream().filter(p -> p.member.id() != self).forEach(others::add);
        }
        return others;
    }

    /** Whether an id is among the voters. */
    public boolean isVoter(long id) {
        return voters.all().stream().anyMatch(m -> m.id() == id);
    }

    /**
     * Whether no leader may be sending to this member: it has no vote, or has heard none for two election times. One
     * that was voted out while it was away doesn't know it, so it has to ask to be sent the log whether or not it has a
     * vote.
     */
    public boolean shouldRequestJoin() {
        return role != Role.LEADER && (!isVoter(self) || now - heardLeaderAt >= 2 * timing.electionMillis());
    }

    // ---- leases

    private void beginRound() {
        round++;
        roundAt = now;
        rounds.values().removeIf(sentAt -> now - sentAt >= timing.leaseMillis());
        rounds.put(round, now);
    }

    /** Guards against a lease that counts from when an answer came: it may have lain in a frozen machine. */
    private void roundAnswered(long from, long itsTerm, long itsRound) {
        Progress p = progress.get(from);
        if (role == Role.LEADER && itsTerm == term && p != null) {
            p.askedAt = Math.max(p.askedAt, rounds.getOrDefault(itsRound, Progress.NEVER));
        }
    }

    /** When the latest round was sent that this one answered. */
    long confirmedFrom(Progress p) {
        return p.askedAt;
    }

    private long confirmedFrom() {
        return quorum().agreed(m -> m.id() == self
                ? now
                : progress.containsKey(m.id()) ? confirmedFrom(progress.get(m.id())) : Progress.NEVER);
    }

    /**
     * Whether this leader has given up its lease for the rest of its term: who it asked to stand may do so at any time.
     */
    boolean leaves() {
        return leavesAt != 0;
    }

    /**
     * Takes a leader's word on its lease: the leader counts what is left from when it got this member's echo, so on
     * this member's clock the lease lasts at least as long from when the echo was sent, however slow the network is.
     */
    private void toldLease(Append m) {
        long echoed = m.echo() - life;
        if (m.leaseMillis() > 0 && echoed >= startedAt && echoed <= now && echoed + m.leaseMillis() > freshUntil) {
            freshUntil = echoed + m.leaseMillis();
            freshIndex = Math.max(freshIndex, m.leaderCommit());
        }
    }

    /**
     * Guards against breaking a lease by forgetting it: what was heard isn't on the disk, so a member that may have
     * answered a leader before its start takes that for the last time that it heard one, until the leader says that its
     * lease is over. No answer to a leader goes out before its id is synced; one that led itself has lost its own
     * lease.
     */
    boolean mayHavePromised() {
        return promiseOpen && now - startedAt < timing.electionMillis();
    }

    /** Asks whether the promise that an earlier life may have given still binds anybody. */
    void askLastLeader() {
        if (lastLeader != 0) {
            send(lastLeader, new LeaseQuery(term, life));
        }
    }

    private void leaseAsked(long from, LeaseQuery m) {
        if (hasNoLease()) {
            send(from, new LeaseEnded(term, m.incarnation()));
        }
    }

    /**
     * Guards against freeing a voter while its leader counts on it. A lease to which an earlier life of the asking
     * member promised anything began before that member's start, in a term that ends with this member's lead.
     */
    boolean hasNoLease() {
        return role != Role.LEADER;
    }

    private void leaseEnded(long from, LeaseEnded m) {
        if (promiseOpen && from == lastLeader && answersThisLife(m)) {
            promiseOpen = false;
            electionAt = Math.min(electionAt, now + random.nextLong(timing.heartbeatMillis()));
        }
    }

    /** Guards against an answer from before this member's start: its next leader may have been followed since. */
    boolean answersThisLife(LeaseEnded m) {
        return m.incarnation() == life;
    }

    /** The message with what all messages of its kind tell of time. */
    private Message stamped(long to, Message message) {
        if (message instanceof AppendReply m) {
            return m.sent(now + life);
        } else if (message instanceof Append m && holdsLease()) {
            Progress p = progress.get(to);
            return p.echo == 0 ? m : m.leased(p.echo, Math.max(0, leaseUntil() - p.echoAt));
        }
        return message;
    }

    // ---- elections

    private void electionLater() {
        electionAt = now + timing.electionMillis() + random.nextLong(timing.electionMillis());
    }

    /** Guards against a member that was cut off raising the term of all when it comes back: first it asks. */
    void ask() {
        electionAt = now + timing.electionMillis() / 2 + random.nextLong(timing.electionMillis() / 2);
        if (!isVoter(self) && !isNeeded()) {
            leader = 0;
            return;
        }
        role = Role.PRE_CANDIDATE;
        leader = 0;
        granted.clear();
        granted.add(self);
        askAll(new VoteRequest(term + 1, true, log.lastIndex(), log.lastTerm(), false));
        if (majority(granted)) {
            stand(false);
        }
    }

    /**
     * Guards against a standstill: until the entry that votes it out is committed, this member may be the only one with
     * all that is committed, and its vote may be needed by those who don't have that entry.
     */
    private boolean isNeeded() {
        long changed = log.membersIndex();
        return commit < changed && log.votersAt(changed - 1).all().stream().anyMatch(m -> m.id() == self);
    }

    void stand(boolean handedOver) {
        term++;
        votedFor = self;
        role = Role.CANDIDATE;
        leader = 0;
        granted.clear();
        granted.add(self);
        electionLater();
        askAll(new VoteRequest(term, false, log.lastIndex(), log.lastTerm(), handedOver));
        if (majority(granted)) {
            lead();
        }
    }

    private void askAll(VoteRequest request) {
        for (Member member : voters.all()) {
            if (member.id() != self) {
                send(member.id(), request);
            }
        }
    }

    private void voteRequested(long from, VoteRequest m) {
        boolean upToDate =
                m.lastTerm() > log.lastTerm() || (m.lastTerm() == log.lastTerm() && m.lastIndex() >= log.lastIndex());
        boolean content = !m.leadershipTransfer() && content();
        if (m.preVote()) {
            boolean would = m.term() > term && upToDate && !content;
            send(from, new VoteReply(would ? m.term() : term, true, would));
            return;
        }
        // Also where something else has raised the term here meanwhile: a promise to a leader holds for its time.
        if (content) {
            send(from, new VoteReply(term, false, false));
            return;
        }
        follow(m.term());
        boolean may = m.term() == term && (votedFor == 0 || votedFor == from) && upToDate;
        if (may) {
            role = Role.FOLLOWER;
            votedFor = from;
            electionLater();
        }
        send(from, new VoteReply(term, false, may));
    }

    /** Guards against one that has been removed, or hears nothing, unseating a leader that others hear. */
    boolean content() {
        return role == Role.LEADER || mayHavePromised() || now - heardLeaderAt < timing.electionMillis();
    }

    private void voteReplied(long from, VoteReply m) {
        if (m.preVote() && m.granted()) {
            if (role == Role.PRE_CANDIDATE && m.term() == term + 1) {
                granted.add(from);
                if (majority(granted)) {
                    stand(false);
                }
            }
            return;
        }
        follow(m.term());
        if (role == Role.CANDIDATE && m.term() == term && m.granted()) {
            granted.add(from);
            if (majority(granted)) {
                lead();
            }
        }
    }

    /** Follows into a later term. */
    private void follow(long later) {
        if (later > term) {
            term = later;
            votedFor = 0;
            stepDown();
        }
    }

    private void stepDown() {
        if (role == Role.LEADER) {
            electionLater();
        }
        role = Role.FOLLOWER;
        leader = 0;
        progress.clear();
        reads.clear();
    }

    private void lead() {
        role = Role.LEADER;
        leader = self;
        lastLeader = self;
        promiseOpen = false;
        progress.clear();
        reads.clear();
        rounds.clear();
        leavesAt = 0;
        gathering = null;
        syncProgress();
        progress.values().forEach(p -> p.heardAt = now);
        firstOfTerm = log.lastIndex() + 1;
        beginRound();
        write(Kind.NO_OP, new byte[0]);
        if (log.membersIndex() == 0) {
            // The first voters are known to themselves alone until the log tells of them.
            write(Kind.MEMBERSHIP, voters.encode());
        }
    }

    private boolean majority(Set<Long> ids) {
        return quorum().agreed(m -> ids.contains(m.id()) ? 1 : 0) == 1;
    }

    /** By whom votes, copies, reads and leases are counted. */
    Voters quorum() {
        return voters;
    }

    /** Guards against a leader that was cut off and doesn't know it: it goes on only while a majority answers. */
    private boolean isAnswered() {
        Set<Long> heard = new HashSet<>();
        heard.add(self);
        progress.values().stream()
                .filter(p -> now - p.heardAt < 2 * timing.electionMillis())
                .forEach(p -> heard.add(p.member.id()));
        return majority(heard);
    }

    // ---- the log

    private long write(Kind kind, byte[] body) {
        Entry entry = new Entry(log.lastIndex() + 1, term, kind, body);
        log.append(entry);
        unwrittenFrom = unwrittenFrom > 0 ? Math.min(unwrittenFrom, entry.index()) : entry.index();
        if (kind == Kind.MEMBERSHIP) {
            voters = Voters.decode(body);
            syncProgress();
        }
        broadcast();
        advance();
        return entry.index();
    }

    /** One progress for each voter; learners keep theirs. */
    private void syncProgress() {
        for (Member member : voters.all()) {
            progress.computeIfAbsent(member.id(), id -> new Progress(member, log.lastIndex() + 1, now));
        }
    }

    private void broadcast() {
        heartbeatAt = now + timing.heartbeatMillis();
        if (now - roundAt >= timing.heartbeatMillis() / 2) {
            beginRound();
        }
        for (Progress p : progress.values()) {
            if (p.member.id() != self) {
                sendLog(p);
            }
        }
    }

    private void sendLog(Progress p) {
        if (p.next <= log.start()) {
            sendSnapshot(p);
            return;
        }
        p.transfer = null;
        List<Entry> entries = mayFly(log.bytes(p.match, p.next - 1)) ? log.from(p.next, MESSAGE_BYTES) : List.of();
        send(p.member.id(), new Append(term, p.next - 1, log.term(p.next - 1), commit, round, entries));
        p.next += entries.size();
    }

    /**
     * Guards against filling the memory with what a slow follower doesn't take: with so many bytes unanswered it is
     * sent heartbeats alone, and whichever of them it refuses tells from where to send again.
     */
    boolean mayFly(long unanswered) {
        return unanswered < MOST_IN_FLIGHT;
    }

    /** Guards against sending everything to a follower that lacks an entry or two. */
    int tailBytes() {
        return TAIL_BYTES;
    }

    /** The next piece of the snapshot, or while one is under way a heartbeat that asks for it. */
    private void sendSnapshot(Progress p) {
        if (p.transfer == null) {
            p.transfer = Transfer.of(log.base());
        }
        Transfer transfer = p.transfer;
        boolean asks = transfer.awaited() > 0;
        byte[] piece = asks ? new byte[0] : transfer.piece();
        send(p.member.id(), new InstallSnapshot(term, transfer.label(), transfer.offset(), piece, ++installs, round));
        p.transfer = asks ? transfer : transfer.sent(installs);
    }

    /** Whether the sender leads the present term; one of an earlier term is told so. */
    private boolean leads(long from, long itsTerm, long itsRound) {
        if (itsTerm < term) {
            send(from, new AppendReply(term, false, 0, itsRound));
            return false;
        }
        follow(itsTerm);
        if (role == Role.LEADER) {
            Invariant.ONE_LEADER.recordViolation(self + " and " + from + " in term " + term);
            throw new IllegalStateException("two leaders in term " + term);
        }
        role = Role.FOLLOWER;
        leader = from;
        lastLeader = from;
        heardLeader();
        return true;
    }

    void heardLeader() {
        heardLeaderAt = now;
        promiseOpen = false;
        electionLater();
    }

    private void append(long from, Append m) {
        long termThere = log.term(m.previousIndex());
        if (m.previousIndex() < log.base().index() || termThere != m.previousTerm()) {
            // What is committed here is alike there, so nothing below need be asked about.
            long hint = Math.max(commit, Math.min(log.lastIndex(), m.previousIndex() - 1));
            send(from, new AppendReply(term, false, hint, m.round()));
            return;
        }
        for (Entry entry : m.entries()) {
            take(entry);
        }
        long alike = m.previousIndex() + m.entries().size();
        commit = Math.max(commit, Math.min(m.leaderCommit(), alike));
        if (gathering != null && gathering.label().index() <= commit) {
            gathering = null;
        }
        send(from, new AppendReply(term, true, alike, m.round()));
    }

    private void take(Entry entry) {
        if (log.term(entry.index()) == entry.term()) {
            return;
        }
        if (entry.index() <= commit) {
            Invariant.COMMITTED_STAYS.recordViolation("entry " + entry.index() + " up to " + commit + " at " + self);
            throw new IllegalStateException("the leader contradicts the committed entry " + entry.index());
        }
        boolean cuts = entry.index() <= log.lastIndex();
        if (cuts) {
            log.cutFrom(entry.index());
        }
        log.append(entry);
        unwrittenFrom = unwrittenFrom > 0 ? Math.min(unwrittenFrom, entry.index()) : entry.index();
        if (cuts || entry.kind() == Kind.MEMBERSHIP) {
            voters = log.votersAt(log.lastIndex());
        }
    }

    private void install(long from, InstallSnapshot m) {
        if (m.metadata().index() > commit && !gather(from, m)) {
            return;
        }
        if (m.metadata().index() > commit) {
            Snapshot snapshot = gathering.snapshot();
            log.rebase(snapshot, tailBytes());
            commit = snapshot.index();
            applied = commit;
            voters = log.votersAt(log.lastIndex());
            unwrittenSnapshot = snapshot;
            // What the log no longer holds must go from the disk too.
            unwrittenFrom = snapshot.index() + 1;
            restore = snapshot;
        }
        gathering = null;
        send(from, new AppendReply(term, true, m.metadata().index(), m.round()));
    }

    /** Takes a piece; true once all are here. Another snapshot begins anew, and a leader's older one is passed over. */
    private boolean gather(long from, InstallSnapshot m) {
        if (m.metadata().length() > SnapshotAssembler.LONGEST || (gathering != null && gathering.overtakes(m))) {
            return false;
        }
        if (gathering == null || !gathering.label().equals(m.metadata())) {
            gathering = new SnapshotAssembler(m.metadata(), m.term());
        }
        gathering.add(m.offset(), m.chunk());
        if (gathering.isComplete() && isSound(gathering)) {
            return true;
        }
        if (gathering.isComplete()) {
            gathering = new SnapshotAssembler(m.metadata(), m.term());
        }
        send(from, new InstallSnapshotReply(term, m.metadata().index(), gathering.gathered(), m.sequence(), m.round()));
        return false;
    }

    /** Guards against taking for the leader's state what was spoilt or mixed up on its way. */
    boolean isSound(SnapshotAssembler whole) {
        return whole.isSound();
    }

    private void installReplied(long from, InstallSnapshotReply m) {
        follow(m.term());
        Progress p = progress.get(from);
        if (role != Role.LEADER || m.term() != term || p == null) {
            return;
        }
        p.heardAt = now;
        p.round = Math.max(p.round, m.round());
        if (p.transfer != null && p.next <= log.start()) {
            if (p.transfer.isAnsweredBy(m)) {
                p.transfer = p.transfer.answered(m);
                sendSnapshot(p);
            }
        }
        answerReads();
    }

    private void appendReplied(long from, AppendReply m) {
        follow(m.term());
        Progress p = progress.get(from);
        if (role != Role.LEADER || m.term() != term || p == null) {
            return;
        }
        p.heardAt = now;
        p.echo = m.sentAt();
        p.echoAt = now;
        p.round = Math.max(p.round, m.round());
        if (m.success()) {
            p.match = Math.max(p.match, m.index());
            p.next = Math.max(p.next, p.match + 1);
            if (p.transfer != null && p.match >= p.transfer.label().index()) {
                p.transfer = null;
            }
            advance();
            if (p.next <= log.lastIndex()) {
                sendLog(p);
            }
        } else {
            rewind(p, Math.max(p.match, Math.min(m.index(), log.lastIndex())) + 1);
        }
        answerReads();
    }

    /** Guards against a storm of repeats where refusals come doubled or late: the next heartbeat carries on. */
    private void rewind(Progress p, long next) {
        p.next = next;
        if (now - p.rewoundAt >= timing.heartbeatMillis() / 4) {
            p.rewoundAt = now;
            sendLog(p);
        }
    }

    /** Commits what a majority has, once an entry of this term is among it. */
    private void advance() {
        if (role != Role.LEADER) {
            return;
        }
        long reached = quorum().agreed(m -> progress.containsKey(m.id()) ? progress.get(m.id()).match : 0);
        if (reached > commit && mayCommit(reached)) {
            commit = reached;
            // Followers learn of it at once and not with the next heartbeat: their callers wait for it.
            broadcast();
            answerReads();
            finishChange();
        }
    }

    /** Guards against counting copies of an earlier term's entry, which a later leader may yet overwrite. */
    boolean mayCommit(long index) {
        return log.term(index) == term;
    }

    /**
     * Ends a change whose first entry is committed, whoever began it; one that leaves goes once the second is
     * committed.
     */
    private void finishChange() {
        if (commit < log.membersIndex()) {
            return;
        }
        if (voters.joint()) {
            write(Kind.MEMBERSHIP, Voters.of(voters.current()).encode());
        } else if (!isVoter(self)) {
            stepDown();
        }
    }

    private void answerReads() {
        if (reads.isEmpty() || commit < firstOfTerm) {
            return;
        }
        Map<Long, Long> open = new HashMap<>(reads);
        open.forEach((ticket, needed) -> {
            Set<Long> confirmed = new HashSet<>();
            confirmed.add(self);
            progress.values().stream().filter(p -> p.round >= needed).forEach(p -> confirmed.add(p.member.id()));
            if (majority(confirmed)) {
                reads.remove(ticket);
                readable.add(ticket);
            }
        });
    }

    private void send(long to, Message message) {
        outbox.add(new Envelope(to, stamped(to, message)));
    }
}
