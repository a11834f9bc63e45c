package tinworks.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import tinworks.raft.Member;

/**
 * Who should vote. A pure function of what the leader sees; it moves by one voter at a time.
 *
 * <p>So many machines vote that the losses to be borne leave a majority, and no more: with three of four machines
 * voting, any one may go while the fourth, which holds the log too, takes its place. With four of four, a second
 * machine that is merely slow would stop the log.
 */
final class VoterPlan {
    /** One that gets the log. {@code silentMillis} is how long it has said nothing. */
    record Seen(Member member, boolean caughtUp, long silentMillis) { }

    /** A restart takes less; a voter that is gone for longer is replaced where another can take its place. */
    static final long GONE_MILLIS = 2_500;
    private static final long ALIVE_MILLIS = 1_000;

    private final int wanted;

    /** {@code losses} is how many voters may be lost at a time. */
    VoterPlan(int losses) {
        wanted = 2 * losses + 1;
    }

    /** The voters that there should be next, or nothing where they are well. {@code self} leads. */
    Optional<List<Member>> next(long self, List<Member> voters, List<Seen> others) {
        List<Seen> learners = others.stream().filter(o -> !voters.contains(o.member()) && o.silentMillis() < ALIVE_MILLIS).toList();
        for (Member voter : voters) {
            // The machine has come back without its disk: what voted under this id is no more.
            boolean replaced = learners.stream().anyMatch(l -> l.member().address().equals(voter.address()));
            if (voter.id() != self && replaced && quorumWithout(voter, self, voters, others)) {
                return Optional.of(without(voter, voters));
            }
        }
        Optional<Member> ready = learners.stream().filter(Seen::caughtUp).map(Seen::member).findFirst();
        if (ready.isEmpty()) {
            return Optional.empty();
        }
        if (voters.size() < wanted) {
            List<Member> more = new ArrayList<>(voters);
            more.add(ready.get());
            return Optional.of(more);
        }
        for (Seen other : others) {
            if (voters.contains(other.member()) && other.silentMillis() > GONE_MILLIS
                    && quorumWithout(other.member(), self, voters, others)) {
                return Optional.of(without(other.member(), voters));
            }
        }
        return Optional.empty();
    }

    /** Guards against a change that the voters who are left can't commit. */
    private static boolean quorumWithout(Member gone, long self, List<Member> voters, List<Seen> others) {
        long alive = 1 + others.stream().filter(o -> voters.contains(o.member()) && o.member().id() != gone.id()
                && o.member().id() != self && o.silentMillis() < ALIVE_MILLIS).count();
        return 2 * alive > voters.size() - 1;
    }

    private static List<Member> without(Member gone, List<Member> voters) {
        return voters.stream().filter(v -> v.id() != gone.id()).toList();
    }
}
