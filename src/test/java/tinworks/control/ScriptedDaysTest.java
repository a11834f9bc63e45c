package tinworks.control;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import tinworks.control.SimulatedDay.Closing;
import tinworks.control.SimulatedDay.Settings;

/**
 * Scripted days: failures that operators of such systems have met, and failures that random simulated days have found.
 */
@ExtendWith(SuppressedLogs.class)
class ScriptedDaysTest {
    private static final long SHORT_PAUSE_MILLIS = 300;
    private static final long VERY_SHORT_PAUSE_MILLIS = 40;

    private static void simulate(int machines, long pauseMillis, String script, Closing closing) {
        for (long seed = 1; seed <= 3; seed++) {
            SimulatedDay.simulate(Settings.scripted(seed, machines, seed == 3, pauseMillis, script, closing));
        }
    }

    /**
     * Scenario 1: a partitioned node serves nothing stale, and neither refuses nor confirms changes; edges start with
     * it as seed.
     */
    @ParameterizedTest
    @CsvSource({"3, 0", "3, 1", "3, 2", "4, 0", "4, 1", "5, 2"})
    void theLeaderIsCutOffForTwentySeconds(int machines, int way) {
        simulate(
                machines,
                SHORT_PAUSE_MILLIS,
                "5000 cut_seeds leader 20000 " + way + "\n6000 races operators 0 20\n10000 races operators 0 20",
                Closing.NONE);
    }

    /**
     * Scenario 2: of two changes with one version only one is confirmed, and a change that is sent again is not
     * refused.
     */
    @ParameterizedTest
    @ValueSource(ints = {3, 4, 5})
    void ordersRaceWhileTheirAnswersAreLost(int machines) {
        simulate(machines, SHORT_PAUSE_MILLIS, """
                5000 races operators 0 30
                5500 after_ack acker 600 1
                9900 after_send leader 600 20
                11000 races operators 0 30
                14500 after_ack acker 600 0
                19500 freeze leader 2500 0
                19600 races operators 0 10""", Closing.KILL_ALL);
    }

    /** Scenario 3: a second loss right after a replacement; the node that leaves must not hold the last copy. */
    @ParameterizedTest
    @ValueSource(ints = {3, 4})
    void aSecondLossFollowsAReplacement(int machines) {
        simulate(machines, SHORT_PAUSE_MILLIS, """
                5000 replace leader 0 1000
                9010 wipe leader 500 0
                13600 replace other 0 1000
                17700 lose leader 0 1000
                22800 wipe_after_send any 500 20
                27500 after_ack acker 500 2""", Closing.WIPE_SOME_POWER_ALL);
    }

    /** Scenario 3 with two tolerated losses. */
    @Test
    void twoOfFiveAreLostRightAfterAReplacement() {
        simulate(5, SHORT_PAUSE_MILLIS, """
                5000 replace leader 0 1000
                5100 replace other 0 1000
                9200 wipe leader 500 0
                9300 lose other 0 1000
                14500 wipe_after_send leader 500 20
                14600 after_ack acker 500 2""", Closing.WIPE_SOME_POWER_ALL);
    }

    /** Found as seed 21497: of two lost voters, the one that came back was not allowed to take the other's place. */
    @Test
    void twoPlacesAreFilledThoughTheFirstSuccessorTookAnothersPlace() {
        simulate(5, SHORT_PAUSE_MILLIS, "5000 lose m4 0 2300\n5400 cut m2 3000 0", Closing.WIPE_SOME_POWER_ALL);
    }

    /** Found as seed 30254: each new leader restarted the timeout of a dead voter from zero. */
    @Test
    void aLostLeadersPlaceIsFilledThoughTheNextOnesDiskIsFull() {
        simulate(5, SHORT_PAUSE_MILLIS, """
                5000 lose leader 0 1190
                7400 full leader 2500 0
                10200 wipe leader 500 0
                10201 wipe other 500 0""", Closing.NONE);
    }

    /** Found as seed 1497: a node that lost its disk and cannot store the log yet must still be able to vote. */
    @Test
    void aVoterThatLostItsDiskVotesThoughTheNewOneIsFull() {
        simulate(3, SHORT_PAUSE_MILLIS, """
                5000 wipe m3 500 0
                5600 full m3 4000 0
                9601 wipe leader 500 0""", Closing.NONE);
    }

    /**
     * Scenario 3: the disk of a node that came back empty accepts no write for as long as the node counts as lost;
     * right after that, as many nodes as may be lost lose their disks.
     */
    @ParameterizedTest
    @CsvSource({"3, stall", "3, full", "5, stall", "5, full"})
    void aSecondLossFollowsAnEmptyDiskThatTakesNothing(int machines, String fault) {
        simulate(machines, SHORT_PAUSE_MILLIS, """
                5000 wipe m1 1000 0
                6250 %s m1 3800 0
                10080 wipe leader 500 0
                10090 wipe other 500 0""".formatted(fault), Closing.NONE);
    }

    /** Scenario 4: members that restart amid hundreds of changes catch up, also from a snapshot. */
    @ParameterizedTest
    @ValueSource(ints = {3, 4})
    void membersStartAgainAmongHundredsOfChanges(int machines) {
        simulate(machines, VERY_SHORT_PAUSE_MILLIS, """
                4500 changes operators 0 300
                6000 kill other 4500 0
                15000 power leader 4500 0
                24000 all all 500 1
                25000 changes operators 0 100
                29500 wipe other 500 0""", Closing.POWER_ALL);
    }

    /** Scenario 5, for calls between core nodes: connections break and nodes freeze while they have forwarded calls. */
    @ParameterizedTest
    @ValueSource(ints = {3, 4})
    void callsArePassedOnOverBrokenConnections(int machines) {
        StringBuilder script = new StringBuilder(
                "4500 changes operators 0 200\n6000 freeze leader 1400 0\n12500 freeze other 1400 0\n");
        for (int at = 5_000; at < 20_000; at += 700) {
            script.append(at).append(" reset other 0 2\n");
        }
        simulate(machines, VERY_SHORT_PAUSE_MILLIS, script.toString(), Closing.NONE);
    }

    /** Days found by simulation; the cause is described in the file of each day. */
    @ParameterizedTest(name = "{0}, seed {1}")
    @MethodSource("recordedDays")
    void recordedDayBreaksNoRule(String file, long seed, Settings day) {
        SimulatedDay.simulate(day);
    }

    static List<Arguments> recordedDays() throws IOException, URISyntaxException {
        Path folder =
                Path.of(ScriptedDaysTest.class.getResource("/simulated-days").toURI());
        List<Arguments> days = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, "*.day")) {
            for (Path file : files) {
                for (Settings day : DayScript.read(Files.readString(file))) {
                    days.add(Arguments.of(file.getFileName().toString(), day.seed(), day));
                }
            }
        }
        return days;
    }
}
