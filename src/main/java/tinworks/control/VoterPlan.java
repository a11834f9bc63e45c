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
    record Seen(Member member, boolean caughtUp, long silentMillis, boolean leaves) {}

    /** A restart takes less; a voter that is gone for longer is replaced where another can take its place. */
    static final long GONE_MILLIS = 2_500;
    /**
     * Who was let go for its silence takes no silent voter's place for so long, or two that come and go would change
     * for ever.
     */
    static final long REST_MILLIS = 20_000;
    /** Who is alive answers a leader within less. */
    static final long ANSWER_MILLIS = 500;

    private static final long ALIVE_MILLIS = 1_000;

    private final int wanted;
    private final Map<Long, Long> letGoAt = new HashMap<>();

    /** {@code losses} is how many voters may be lost at a time. */
    VoterPlan(int losses) {
        wanted = 2 * losses + 1;
    }

    /**
     * For how long a member counts as silent. Guards against each new leader counting a dead voter's silence anew; and
     * against a leader that was frozen or cut off and has heard nobody: it waits for an answer first.
     *
     * @param unanswered for how long it hasn't answered the leader, from the beginning of the term at most
     * @param unheard for how long the leader's machine has heard nothing of it, whoever led
     */
    static long silentMillis(long unanswered, long unheard) {
        boolean gone = unanswered > ANSWER_MILLIS && unheard > GONE_MILLIS;
        return gone ? Math.max(unanswered, unheard) : unanswered;
    }

    /**
     * The voters that there should be instead, or nothing where they are well.
     *
     * @param now steady milliseconds
     * @param self the leader, which stays
     */
    Optional<List<Member>> next(long now, long self, List<Member> voters, List<Seen> others) {
        letGoAt.values().removeIf(at -> now - at >= REST_MILLIS);
        List<Seen> learners = others.stream()
                .filter(o -> !voters.contains(o.member()) && o.silentMillis() < ALIVE_MILLIS)
                .toList();
        List<Member> ready = new ArrayList<>(learners.stream()
                .filter(l -> l.caughtUp() && !l.leaves())
                .map(Seen::member)
                .toList());
        List<Member> next = new ArrayList<>(voters);
        for (Member voter : voters) {
            // The machine has come back without its disk: what voted under this id is no more.
            boolean replaced = voter.id() != self
                    && learners.stream().anyMatch(l -> l.member().address().equals(voter.address()));
            if (replaced) {
                successor(voter, learners, ready, others)
                        .ifPresent(successor -> exchange(next, voter, successor, ready));
            }
        }
        for (Seen other : others) {
            long silentSince = now - other.silentMillis();
            Optional<Member> rested =
                    ready.stream().filter(m -> mayTakePlace(m, silentSince)).findFirst();
            if (next.contains(other.member()) && other.leaves() && !ready.isEmpty()) {
                // While all are there: once it has ended, one more loss might leave no majority.
                exchange(next, other.member(), rested.orElse(ready.get(0)), ready);
            } else if (next.contains(other.member()) && other.silentMillis() > GONE_MILLIS && rested.isPresent()) {
                exchange(next, other.member(), rested.get(), ready);
            }
        }
        while (next.size() < wanted && !ready.isEmpty()) {
            next.add(ready.remove(0));
        }
        if (next.equals(voters) || !isQuorum(self, voters, others) || !isQuorum(self, next, others)) {
            return Optional.empty();
        }
        others.stream()
                .filter(o -> voters.contains(o.member()) && !next.contains(o.member()) && !o.leaves())
                .forEach(o -> letGoAt.put(o.member().id(), now));
        return Optional.of(next);
    }

    /**
     * Guards against two that come and go by turns and change places for ever: one that was let go takes the place only
     * of a voter that didn't answer any more by then.
     */
    boolean mayTakePlace(Member learner, long silentSince) {
        Long at = letGoAt.get(learner.id());
        return at == null || silentSince + ANSWER_MILLIS < at;
    }

    /**
     * Who takes the place of a voter whose machine came back as somebody else: that one or another that has the log.
     * Where nobody has it the new one comes in without it: it can vote, and the old one never will again.
     */
    private static Optional<Member> successor(
            Member voter, List<Seen> learners, List<Member> ready, List<Seen> others) {
        Member back = learners.stream()
                .map(Seen::member)
                .filter(m -> m.address().equals(voter.address()))
                .findFirst()
                .orElseThrow();
        if (ready.isEmpty()) {
            return answers(voter, others) ? Optional.empty() : Optional.of(back);
        }
        return Optional.of(ready.contains(back) ? back : ready.get(0));
    }

    /** Guards against a late word of an earlier life, which would put an id that is gone in place of one that votes. */
    private static boolean answers(Member voter, List<Seen> others) {
        return others.stream().anyMatch(o -> o.member().equals(voter) && o.silentMillis() <= ANSWER_MILLIS);
    }

    private static void exchange(List<Member> next, Member gone, Member successor, List<Member> ready) {
        next.set(next.indexOf(gone), successor);
        ready.remove(successor);
    }

    /** Guards against a change that can't be committed: it takes a majority of those before and of those to come. */
    private static boolean isQuorum(long self, List<Member> voters, List<Seen> others) {
        long alive = voters.stream()
                .filter(v -> v.id() == self
                        || others.stream().anyMatch(o -> o.member().equals(v) && o.silentMillis() < ALIVE_MILLIS))
                .count();
        return 2 * alive > voters.size();
    }
}
