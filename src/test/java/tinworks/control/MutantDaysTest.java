package tinworks.control;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tinworks.control.SimulatedDay.Settings;
import tinworks.invariant.BreaksInvariants;
import tinworks.invariant.Invariant;

/**
 * Tests that the simulated days detect each {@link Mutation}: some day breaks the rule that the removed safeguard
 * upholds, and the same days break no rule without the mutation.
 */
@ExtendWith(SuppressedLogs.class)
@BreaksInvariants(Invariant.APPLIED_IN_ORDER)
class MutantDaysTest {
    @ParameterizedTest
    @CsvSource({
        "SYNC_SKIPPED,               OLD SHOWN,           13 22 25",
        "DIRECTORY_NOT_SYNCED,       NOT ACKNOWLEDGED,    9 25 26",
        "IDENTITY_KEPT,              OLD SHOWN,           1044",
        "ALWAYS_FRESH,               READY BUT OLD,       17 34 86",
        "ACKNOWLEDGED_BEFORE_COMMIT, TWO OF ONE NUMBER,   1 4 5",
        "RETRIES_NOT_RECOGNIZED,     TAKEN AND REFUSED,   1 2 3",
        "VERSIONS_NOT_COMPARED,      EDGE WENT BACK,      4 22 23",
        "VOTE_FORGOTTEN,             TWO LEADERS,         9 13 15",
    })
    void daysDetectTheMutation(Mutation mutation, String rule, String seeds) {
        List<String> broken = new ArrayList<>();
        for (String seed : seeds.split(" ")) {
            Settings day = Settings.of(Long.parseLong(seed));
            broken.add(DayShrinker.brokenRule(day.with(mutation)));
            SimulatedDay.simulate(mutation == Mutation.DIRECTORY_NOT_SYNCED ? day.onFiles(true) : day);
        }
        assertTrue(broken.contains(rule), mutation + " broke " + broken);
    }
}
