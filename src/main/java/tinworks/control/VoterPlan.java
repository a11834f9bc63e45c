package tinworks.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import tinworks.raft.Member;

/**
 * Selects the voters from the leader's view of the members. It remembers the voters that it has replaced, and reads no
 * clock. {@link CoreMachine} gathers the view; {@link tinworks.raft.Raft} carries the change out by joint consensus.
 *
 * <p>The number of voters is the smallest whose majority survives the tolerated losses. With three voters of four
 * nodes, any one may fail while the fourth, a learner that holds the log too, takes its place. With four voters, a
 * second node that is merely slow would stop the log. A failed voter is replaced by a learner in a single change, so
 * the number of voters never falls. A voter without a successor stays: if one of three voters is dead, the other two
 * have to agree whether it stays or is removed, and it may still come back.
 */
class VoterPlan {
    /**
     * The leader's view of another member, voter or learner.
     *
     * @param caughtUp whether it has the log, see {@link tinworks.raft.Progress#caughtUp}
     * @param unresponsiveMillis how long it has been unresponsive
     * @param shuttingDown whether it has announced a graceful shutdown
     */
    record ObservedMember(Member member, boolean caughtUp, long unresponsiveMillis, boolean shuttingDown) {}

    /** Longer than a restart. A voter that is unresponsive for longer is replaced if a learner can take its place. */
    static final long REPLACE_AFTER_MILLIS = 2_500;
    /**
     * A voter that was replaced while unresponsive does not replace another unresponsive one for this long. Otherwise
     * two nodes that fail alternately would replace each other endlessly.
     */
    static final long REINSTATE_DELAY_MILLIS = 20_000;
    /** A live member responds to the leader faster than this. */
    static final long RESPONSE_TIMEOUT_MILLIS = 500;

    /** A member that has been unresponsive for less than this counts as live. */
    private static final long LIVENESS_MILLIS = 1_000;

    private final int targetVoters;
    private final Map<Long, Long> replacedAt = new HashMap<>();

    /** {@code toleratedLosses} is the number of voters that may fail at the same time. */
    VoterPlan(int toleratedLosses) {
        targetVoters = 2 * toleratedLosses + 1;
    }

    /**
     * How long a member counts as unresponsive. The time carries over from earlier leaders, so that a new leader does
     * not start counting from zero for a dead voter. A leader that was frozen or partitioned, and has therefore
     * received nothing from anyone, first gives the members time to respond.
     *
     * @param withoutResponseMillis how long the member has not responded to the leader, at most since the term began
     * @param withoutMessageMillis how long the leader's node has received nothing from the member, under any leader
     */
    static long unresponsiveMillis(long withoutResponseMillis, long withoutMessageMillis) {
        boolean unresponsive =
                withoutResponseMillis > RESPONSE_TIMEOUT_MILLIS && withoutMessageMillis > REPLACE_AFTER_MILLIS;
        return unresponsive ? Math.max(withoutResponseMillis, withoutMessageMillis) : withoutResponseMillis;
    }

    /**
     * Returns the voters to change to, or empty if no change is needed or possible.
     *
     * @param now monotonic time in milliseconds
     * @param self the leader, which stays a voter
     */
    Optional<List<Member>> next(long now, long self, List<Member> voters, List<ObservedMember> others) {
        replacedAt.values().removeIf(at -> now - at >= REINSTATE_DELAY_MILLIS);
        List<ObservedMember> learners = others.stream()
                .filter(o -> !voters.contains(o.member()) && o.unresponsiveMillis() < LIVENESS_MILLIS)
                .toList();
        List<Member> ready = new ArrayList<>(learners.stream()
                .filter(l -> l.caughtUp() && !l.shuttingDown())
                .map(ObservedMember::member)
                .toList());
        List<Member> next = new ArrayList<>(voters);
        for (Member voter : voters) {
            // The node came back without its disk under a new id; the old id will never vote again.
            boolean hasNewId = voter.id() != self
                    && learners.stream().anyMatch(l -> l.member().address().equals(voter.address()));
            if (hasNewId) {
                successor(voter, learners, ready, others)
                        .ifPresent(substitute -> replace(next, voter, substitute, ready));
            }
        }
        for (ObservedMember other : others) {
            long unresponsiveSince = now - other.unresponsiveMillis();
            Optional<Member> successor =
                    ready.stream().filter(m -> mayReplace(m, unresponsiveSince)).findFirst();
            if (next.contains(other.member()) && other.shuttingDown() && !ready.isEmpty()) {
                // Replaced while all voters are up: after its shutdown one more loss might leave no majority.
                replace(next, other.member(), successor.orElse(ready.get(0)), ready);
            } else if (next.contains(other.member())
                    && other.unresponsiveMillis() > REPLACE_AFTER_MILLIS
                    && successor.isPresent()) {
                replace(next, other.member(), successor.get(), ready);
            }
        }
        while (next.size() < targetVoters && !ready.isEmpty()) {
            next.add(ready.remove(0));
        }
        if (next.equals(voters) || !hasLiveMajority(self, voters, others) || !hasLiveMajority(self, next, others)) {
            return Optional.empty();
        }
        others.stream()
                .filter(o -> voters.contains(o.member()) && !next.contains(o.member()) && !o.shuttingDown())
                .forEach(o -> replacedAt.put(o.member().id(), now));
        return Optional.of(next);
    }

    /**
     * Whether a learner may replace a voter that has been unresponsive since the given time. A learner that was itself
     * replaced as a voter may only do so if that voter had already stopped responding by then. Otherwise two nodes that
     * fail alternately would replace each other endlessly.
     */
    boolean mayReplace(Member learner, long unresponsiveSince) {
        Long at = replacedAt.get(learner.id());
        return at == null || unresponsiveSince + RESPONSE_TIMEOUT_MILLIS < at;
    }

    /**
     * The successor of a voter whose node came back under a new id: that member if it has the log, else another learner
     * that has it. If none has the log, the new member becomes a voter without it: it can vote, and the old id never
     * will again.
     */
    private static Optional<Member> successor(
            Member voter, List<ObservedMember> learners, List<Member> ready, List<ObservedMember> others) {
        Member returned = learners.stream()
                .map(ObservedMember::member)
                .filter(m -> m.address().equals(voter.address()))
                .findFirst()
                .orElseThrow();
        if (ready.isEmpty()) {
            return isResponsive(voter, others) ? Optional.empty() : Optional.of(returned);
        }
        return Optional.of(ready.contains(returned) ? returned : ready.get(0));
    }

    /**
     * Whether a voter responds. Guards against a delayed join request of an earlier process, which would replace a live
     * voter by an id that no longer exists.
     */
    private static boolean isResponsive(Member voter, List<ObservedMember> others) {
        return others.stream()
                .anyMatch(o -> o.member().equals(voter) && o.unresponsiveMillis() <= RESPONSE_TIMEOUT_MILLIS);
    }

    private static void replace(List<Member> next, Member old, Member successor, List<Member> ready) {
        next.set(next.indexOf(old), successor);
        ready.remove(successor);
    }

    /** Whether a majority is alive. A change is committed by majorities of both the old and the new voters. */
    private static boolean hasLiveMajority(long self, List<Member> voters, List<ObservedMember> others) {
        long alive = voters.stream()
                .filter(v -> v.id() == self
                        || others.stream()
                                .anyMatch(o -> o.member().equals(v) && o.unresponsiveMillis() < LIVENESS_MILLIS))
                .count();
        return 2 * alive > voters.size();
    }
}
