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
 * Days that bring about what operators have met with systems of this kind, and those that simulated days have found.
 */
@ExtendWith(SuppressedLogs.class)
class ScriptedDaysTest {
    private static final long OFTEN = 300;
    private static final long VERY_OFTEN = 40;

    private static void play(int machines, long pause, String script, Closing closing) {
        for (long seed = 1; seed <= 3; seed++) {
            SimulatedDay.play(Settings.scripted(seed, machines, seed == 3, pause, script, closing));
        }
    }

    /**
     * 1: a machine that was cut off hands out nothing old, refuses nothing, and confirms nothing; edges start at it.
     */
    @ParameterizedTest
    @CsvSource({"3, 0", "3, 1", "3, 2", "4, 0", "4, 1", "5, 2"})
    void theLeaderIsCutOffForTwentySeconds(int machines, int way) {
        play(
                machines,
                OFTEN,
                "5000 cut_seeds leader 20000 " + way + "\n6000 races operators 0 20\n10000 races operators 0 20",
                Closing.NONE);
    }

    /** 2: of two under one number one is confirmed, and an order that is sent again is not refused. */
    @ParameterizedTest
    @ValueSource(ints = {3, 4, 5})
    void ordersRaceWhileTheirAnswersAreLost(int machines) {
        play(machines, OFTEN, """
                5000 races operators 0 30
                5500 after_ack acker 600 1
                9900 after_send leader 600 20
                11000 races operators 0 30
                14500 after_ack acker 600 0
                19500 freeze leader 2500 0
                19600 races operators 0 10""", Closing.KILL_ALL);
    }

    /** 3: a second loss right after a replacement, and the last copy isn't with the one that leaves. */
    @ParameterizedTest
    @ValueSource(ints = {3, 4})
    void aSecondLossFollowsAReplacement(int machines) {
        play(machines, OFTEN, """
                5000 replace leader 0 1000
                9010 wipe leader 500 0
                13600 replace other 0 1000
                17700 lose leader 0 1000
                22800 wipe_after_send any 500 20
                27500 after_ack acker 500 2""", Closing.WIPE_SOME_POWER_ALL);
    }

    /** 3, with two losses to be borne. */
    @Test
    void twoOfFiveAreLostRightAfterAReplacement() {
        play(5, OFTEN, """
                5000 replace leader 0 1000
                5100 replace other 0 1000
                9200 wipe leader 500 0
                9300 lose other 0 1000
                14500 wipe_after_send leader 500 20
                14600 after_ack acker 500 2""", Closing.WIPE_SOME_POWER_ALL);
    }

    /** Found as seed 21497: of two lost voters the one that came back was kept from the other's place. */
    @Test
    void twoPlacesAreFilledThoughTheFirstSuccessorTookAnothersPlace() {
        play(5, OFTEN, "5000 lose m4 0 2300\n5400 cut m2 3000 0", Closing.WIPE_SOME_POWER_ALL);
    }

    /** Found as seed 30254: each leader counted the silence of a dead voter anew. */
    @Test
    void aLostLeadersPlaceIsFilledThoughTheNextOnesDiskIsFull() {
        play(5, OFTEN, """
                5000 lose leader 0 1190
                7400 full leader 2500 0
                10200 wipe leader 500 0
                10201 wipe other 500 0""", Closing.NONE);
    }

    /** Found as seed 1497: a machine that lost its disk and can't take the log yet can vote. */
    @Test
    void aVoterThatLostItsDiskVotesThoughTheNewOneIsFull() {
        play(3, OFTEN, """
                5000 wipe m3 500 0
                5600 full m3 4000 0
                9601 wipe leader 500 0""", Closing.NONE);
    }

    /**
     * 3: the disk of a machine that came back empty takes nothing for as long as the machine counts as lost, and right
     * after that as many as may be lost lose their disks.
     */
    @ParameterizedTest
    @CsvSource({"3, stall", "3, full", "5, stall", "5, full"})
    void aSecondLossFollowsAnEmptyDiskThatTakesNothing(int machines, String trouble) {
        play(machines, OFTEN, """
                5000 wipe m1 1000 0
                6250 %s m1 3800 0
                10080 wipe leader 500 0
                10090 wipe other 500 0""".formatted(trouble), Closing.NONE);
    }

    /** 4: members that start again in the middle of hundreds of changes catch up, also on a snapshot. */
    @ParameterizedTest
    @ValueSource(ints = {3, 4})
    void membersStartAgainAmongHundredsOfChanges(int machines) {
        play(machines, VERY_OFTEN, """
                4500 changes operators 0 300
                6000 kill other 4500 0
                15000 power leader 4500 0
                24000 all all 500 1
                25000 changes operators 0 100
                29500 wipe other 500 0""", Closing.POWER_ALL);
    }

    /** 5, as far as the core's own calls go: connections break and machines stand still with calls passed on. */
    @ParameterizedTest
    @ValueSource(ints = {3, 4})
    void callsArePassedOnOverBrokenConnections(int machines) {
        StringBuilder script = new StringBuilder(
                "4500 changes operators 0 200\n6000 freeze leader 1400 0\n12500 freeze other 1400 0\n");
        for (int at = 5_000; at < 20_000; at += 700) {
            script.append(at).append(" reset other 0 2\n");
        }
        play(machines, VERY_OFTEN, script.toString(), Closing.NONE);
    }

    /** Found by simulated days: the cause stands in the day's file. */
    @ParameterizedTest(name = "{0}, seed {1}")
    @MethodSource("found")
    void foundOnceBreaksNothing(String file, long seed, Settings day) {
        SimulatedDay.play(day);
    }

    static List<Arguments> found() throws IOException, URISyntaxException {
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
