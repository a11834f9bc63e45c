package tinworks.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import tinworks.control.VoterPlan.Seen;
import tinworks.raft.Member;

class VoterPlanTest {
    private static final Member A = new Member(1, "a"), B = new Member(2, "b"), C = new Member(3, "c"), D = new Member(4, "d");
    private final VoterPlan plan = new VoterPlan(1);

    private Optional<List<Member>> next(List<Member> voters, Seen... others) {
        return plan.next(A.id(), voters, List.of(others));
    }

    private static Seen alive(Member member) {
        return new Seen(member, true, 100);
    }

    private static Seen silent(Member member) {
        return new Seen(member, true, VoterPlan.GONE_MILLIS + 1);
    }

    @Test
    void aFourthMachineWaitsWhileThreeVote() {
        assertEquals(Optional.empty(), next(List.of(A, B, C), alive(B), alive(C), alive(D)));
    }

    @Test
    void theFourthTakesThePlaceOfAVoterThatIsGone() {
        assertEquals(Optional.of(List.of(A, B)), next(List.of(A, B, C), alive(B), silent(C), alive(D)));
        assertEquals(Optional.of(List.of(A, B, D)), next(List.of(A, B), alive(B), alive(D)));
    }

    @Test
    void aVoterThatIsGoneStaysWhereNobodyCanTakeItsPlace() {
        assertEquals(Optional.empty(), next(List.of(A, B, C), alive(B), silent(C)));
        assertEquals(Optional.empty(), next(List.of(A, B, C), alive(B), silent(C), new Seen(D, false, 100)));
        assertEquals(Optional.empty(), next(List.of(A, B, C), silent(B), silent(C), alive(D)), "two can't commit it");
    }

    @Test
    void aMachineThatCameBackEmptyReplacesItsEarlierLife() {
        Member again = new Member(9, "c");
        assertEquals(Optional.of(List.of(A, B)), next(List.of(A, B, C), alive(B), new Seen(C, true, 500), new Seen(again, false, 10)));
    }
}
