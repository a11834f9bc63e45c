package tinworks.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import tinworks.raft.Member;

/**
 * Who should vote, from what the leader sees; it remembers whom it let go, and reads no clock.
 *
 * <p>So many machines vote that the losses to be borne leave a majority, and no more: with three of four machines
 * voting, any one may go while the fourth, which holds the log too, takes its place. With four of four, a second
 * machine that is merely slow would stop the log. Who is gone changes places with a learner in one change: there are
 * never fewer voters than there were, and one that nobody can take the place of stays. Two of three have to agree with
 * a dead third as without one, and the dead one may yet come back.
 */
class VoterPlan {
    /**
     * One that gets the log. {@code silentMillis} is how long it has said nothing; {@code leaves} that it is about to
     * end.
     */
    record ObservedMember(Member member, boolean caughtUp, long unresponsiveMillis, boolean shuttingDown) {}

    /** A restart takes less; a voter that is gone for longer is replaced where another can take its place. */
    static final long REPLACE_AFTER_MILLIS = 2_500;
    /**
     * Who was let go for its silence takes no silent voter's place for so long, or two that come and go would change
     * for ever.
     */
    static final long REINSTATE_DELAY_MILLIS = 20_000;
    /** Who is alive answers a leader within less. */
    static final long RESPONSE_TIMEOUT_MILLIS = 500;

    private static final long LIVENESS_MILLIS = 1_000;

    private final int targetVoters;
    private final Map<Long, Long> replacedAt = new HashMap<>();

    /** {@code losses} is how many voters may be lost at a time. */
    VoterPlan(int losses) {
        targetVoters = 2 * losses + 1;
    }

    /**
     * For how long a member counts as silent. Guards against each new leader counting a dead voter's silence anew; and
     * against a leader that was frozen or cut off and has heard nobody: it waits for an answer first.
     *
     * @param unanswered for how long it hasn't answered the leader, from the beginning of the term at most
     * @param unheard for how long the leader's machine has heard nothing of it, whoever led
     */
    static long unresponsiveMillis(long unanswered, long unheard) {
        boolean gone = unanswered > RESPONSE_TIMEOUT_MILLIS && unheard > REPLACE_AFTER_MILLIS;
        return gone ? Math.max(unanswered, unheard) : unanswered;
    }

    /**
     * The voters that there should be instead, or nothing where they are well.
     *
     * @param now steady milliseconds
     * @param self the leader, which stays
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
            // The machine has come back without its disk: what voted under this id is no more.
            boolean replaced = voter.id() != self
                    && learners.stream().anyMatch(l -> l.member().address().equals(voter.address()));
            if (replaced) {
                successor(voter, learners, ready, others)
                        .ifPresent(successor -> replace(next, voter, successor, ready));
            }
        }
        for (ObservedMember other : others) {
            long silentSince = now - other.unresponsiveMillis();
            Optional<Member> rested =
                    ready.stream().filter(m -> mayReplace(m, silentSince)).findFirst();
            if (next.contains(other.member()) && other.shuttingDown() && !ready.isEmpty()) {
                // While all are there: once it has ended, one more loss might leave no majority.
                replace(next, other.member(), rested.orElse(ready.get(0)), ready);
            } else if (next.contains(other.member())
                    && other.unresponsiveMillis() > REPLACE_AFTER_MILLIS
                    && rested.isPresent()) {
                replace(next, other.member(), rested.get(), ready);
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
     * Guards against two that come and go by turns and change places for ever: one that was let go takes the place only
     * of a voter that didn't answer any more by then.
     */
    boolean mayReplace(Member learner, long silentSince) {
        Long at = replacedAt.get(learner.id());
        return at == null || silentSince + RESPONSE_TIMEOUT_MILLIS < at;
    }

    /**
     * Who takes the place of a voter whose machine came back as somebody else: that one or another that has the log.
     * Where nobody has it the new one comes in without it: it can vote, and the old one never will again.
     */
    private static Optional<Member> successor(
            Member voter, List<ObservedMember> learners, List<Member> ready, List<ObservedMember> others) {
        Member back = learners.stream()
                .map(ObservedMember::member)
                .filter(m -> m.address().equals(voter.address()))
                .findFirst()
                .orElseThrow();
        if (ready.isEmpty()) {
            return isResponsive(voter, others) ? Optional.empty() : Optional.of(back);
        }
        return Optional.of(ready.contains(back) ? back : ready.get(0));
    }

    /** Guards against a late word of an earlier life, which would put an id that is gone in place of one that votes. */
    private static boolean isResponsive(Member voter, List<ObservedMember> others) {
        return others.stream()
                .anyMatch(o -> o.member().equals(voter) && o.unresponsiveMillis() <= RESPONSE_TIMEOUT_MILLIS);
    }

    private static void replace(List<Member> next, Member gone, Member successor, List<Member> ready) {
        next.set(next.indexOf(gone), successor);
        ready.remove(successor);
    }

    /** Guards against a change that can't be committed: it takes a majority of those before and of those to come. */
    private static boolean hasLiveMajority(long self, List<Member> voters, List<ObservedMember> others) {
        long alive = voters.stream()
                .filter(v -> v.id() == self
                        || others.stream()
                                .anyMatch(o -> o.member().equals(v) && o.unresponsiveMillis() < LIVENESS_MILLIS))
                .count();
        return 2 * alive > voters.size();
    }
}
