package stileferry.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import stileferry.validation.InvalidInputException;

/** Doors, tables, and input that can't be right. */
class AdmissionDoorTest {
    private static final AdmissionConfig CONFIG =
            new AdmissionConfig(Map.of("red", 1.0, "blue", 1.0), Set.of("x"), 1000, 5);
    private static final Flow RED = CONFIG.flow("red", "x", 2);
    private static final Flow BLUE = CONFIG.flow("blue", "x", 2);

    /** A slow pointer that has just passed the start of the circle. */
    private static AdmissionWindowTable closed(long term, long sequence) {
        return new AdmissionWindowTable(term, sequence, new TreeMap<>(Map.of(RED, new AdmissionWindow(0, 0.01))));
    }

    private static LoadShedder door() {
        return new LoadShedder(CONFIG, 100);
    }

    /** Jobs of which the turn is far off by that table. */
    private static String outOfTurn() {
        for (int i = 0; ; i++) {
            if (closed(1, 1).waitS(RED, "job-" + i, 0) > 20) {
                return "job-" + i;
            }
        }
    }

    @Test
    void withoutATableEverybodyIsLetThrough() {
        assertEquals(0, door().retryAfterS(RED, outOfTurn(), 10));
    }

    @Test
    void whoseTurnItIsNotIsToldWhenItIsAndOnlyInTheClosedFlow() {
        LoadShedder door = door();
        door.updateTable(closed(1, 1), 0, 0);
        int told = door.retryAfterS(RED, outOfTurn(), 0);
        assertTrue(told > 20 && told <= AdmissionConfig.MAX_RETRY_AFTER_S, "told " + told);
        assertEquals(0, door.retryAfterS(BLUE, outOfTurn(), 0));
        assertEquals(1, door.refusedCount());
    }

    /** A table of a former term must not be used once a later term is known, and never after its time. */
    @Test
    void aTableHoldsUntilItsTimeIsOverOrALaterTermIsKnown() {
        LoadShedder door = door();
        door.updateTable(closed(4, 1), 0, 500);
        assertTrue(door.hasValidTable(CONFIG.tableValidityMs() - 1));
        assertFalse(door.hasValidTable(CONFIG.tableValidityMs()), "counted from when it was asked for");
        door.updateTable(closed(4, 2), 5000, 5000);
        assertTrue(door.hasValidTable(5001));
        door.observeTerm(5);
        assertFalse(door.hasValidTable(5001));
        assertEquals(0, door.retryAfterS(RED, outOfTurn(), 5001));
    }

    @Test
    void tablesThatComeLateOrTwiceChangeNothing() {
        LoadShedder door = door();
        door.updateTable(closed(4, 7), 0, 0);
        door.updateTable(closed(4, 7), 3000, 3000);
        door.updateTable(closed(4, 6), 3000, 3000);
        door.updateTable(closed(3, 99), 3000, 3000);
        assertFalse(door.hasValidTable(CONFIG.tableValidityMs()), "the old one was taken for a new one");
        assertEquals(7, door.lastTable().sequence());
    }

    @Test
    void whoWasAcceptedIsNeverTurnedAway() {
        LoadShedder door = door();
        door.updateTable(closed(1, 1), 0, 0);
        door.recordAccepted(outOfTurn());
        assertEquals(0, door.retryAfterS(RED, outOfTurn(), 0));
    }

    /** All who were refused in one moment must not come back in one. */
    @Test
    void afterATroubleUsersComeBackSpread() {
        LoadShedder door = door();
        long[] seconds = new long[AdmissionConfig.MAX_RETRY_AFTER_S + 1];
        door.retryAfterFailureS("job-0", 0);
        for (int i = 0; i < 1000; i++) {
            seconds[door.retryAfterFailureS("job-" + i, 20_000)]++;
        }
        for (int s = 1; s <= 10; s++) {
            assertTrue(seconds[s] > 50 && seconds[s] < 150, "after " + s + " s: " + seconds[s]);
        }
        door.recordAccepted("job-1");
        assertEquals(1, door.retryAfterFailureS("job-2", 20_001), "the trouble is over");
    }

    /** The next leader goes on where the pointer was, so that whoever was told a time is in turn then. */
    @Test
    void turnsGoOnAcrossAChangeOfLeader() {
        AdmissionController first = new AdmissionController(CONFIG, 1, null, 0);
        long now = 0;
        int number = 0;
        for (; now < 20_000; now += 1000) {
            for (int i = 0; i < 30; i++) {
                first.decide(RED, "job-" + number++, now);
            }
            first.updateShares(BackPressure.NONE, now);
        }
        double before = first.table().windows().get(RED).position();
        AdmissionController second = new AdmissionController(CONFIG, 2, first.table(), 0);
        for (int i = 0; i < 1000; i++) {
            second.decide(RED, "job-" + i, now);
        }
        second.updateShares(BackPressure.NONE, now);
        assertEquals(before, second.table().windows().get(RED).position(), 1e-9);
    }

    /** A team that was quiet has its share at once, however many others wait; it has saved nothing up meanwhile. */
    @Test
    void aTeamThatComesBackHasItsShareWithinOneInterval() {
        AdmissionController controller = new AdmissionController(CONFIG, 1, null, 0);
        int number = 0;
        long now = 0;
        for (; now < 60_000; now += 1000) {
            for (int i = 0; i < 50; i++) {
                controller.decide(RED, "job-" + number++, now);
            }
            controller.updateShares(BackPressure.NONE, now);
        }
        int[] admitted = new int[2];
        for (int second = 0; second < 30; second++, now += 1000) {
            for (int i = 0; i < 50; i++) {
                admitted[0] += controller.decide(RED, "job-" + number++, now).admitted() ? 1 : 0;
                admitted[1] += controller.decide(BLUE, "job-" + number++, now).admitted() ? 1 : 0;
            }
            controller.updateShares(BackPressure.NONE, now);
            if (second == 1) {
                assertTrue(admitted[1] > 0, "nothing within two intervals");
                assertTrue(
                        admitted[1] <= CONFIG.maxAdmissionsPerS() * AdmissionConfig.WINDOW_S,
                        "saved up: " + admitted[1]);
            }
        }
        assertTrue(admitted[1] > admitted[0] * 0.8, "red " + admitted[0] + ", blue " + admitted[1]);
    }

    @Test
    void inputThatCantBeRightIsNamedAndChangesNothing() {
        assertRefused("weights", () -> new AdmissionConfig(Map.of("red", 0.0), Set.of(), 1000, 5));
        assertRefused("intervalMs", () -> new AdmissionConfig(Map.of(), Set.of(), 0, 5));
        assertRefused("maxAdmissionsPerS", () -> new AdmissionConfig(Map.of(), Set.of(), 1000, Double.NaN));
        assertRefused("team", () -> new Flow("", "x", 0));
        assertRefused("capacity", () -> FairShareAllocator.allocate(-1, Map.of(), Map.of()));
        assertRefused("demands", () -> FairShareAllocator.allocate(1, Map.of(RED, -1.0), Map.of()));
        assertRefused("term", () -> new AdmissionWindowTable(0, 1, new TreeMap<>()));
        assertRefused("roundsPerS", () -> new AdmissionWindow(0, 0));
        assertRefused("previousTable", () -> new AdmissionController(CONFIG, 3, closed(3, 1), 0));
        assertRefused("maxRememberedJobs", () -> new LoadShedder(CONFIG, 0));
        assertRefused("number", () -> new AdmissionCounts().add(AdmissionCounts.TeamClass.of(RED), 0));
        LoadShedder door = door();
        door.updateTable(closed(2, 2), 0, 0);
        assertRefused("requestedAt", () -> door.updateTable(closed(2, 3), 6, 5));
        assertEquals(2, door.lastTable().sequence());
    }

    @Test
    void messagesThatCantBeRightAreRefusedWhereverTheyAreCutOrChanged() {
        byte[] table = AdmissionCodec.encode(closed(1, 1));
        assertEquals(closed(1, 1), AdmissionCodec.decodeTable(table));
        DemandEstimator meter = new DemandEstimator(CONFIG);
        meter.recordRequest(RED, "job-1", 1);
        byte[] demand = AdmissionCodec.encode(new DemandReport(meter.currentSketches(1)));
        for (byte[] whole : List.of(table, demand)) {
            for (int length = 0; length < whole.length; length++) {
                byte[] part = java.util.Arrays.copyOf(whole, length);
                String name = whole == table ? "table" : "demand";
                assertRefused(
                        name,
                        () -> assertFalse((whole == table
                                        ? (Object) AdmissionCodec.decodeTable(part)
                                        : AdmissionCodec.decodeDemand(part))
                                == null));
            }
        }
    }

    private static void assertRefused(String argument, Runnable call) {
        InvalidInputException refusal = assertThrows(InvalidInputException.class, call::run);
        assertEquals(argument, refusal.argument(), refusal.getMessage());
    }

    /**
     * Runs of counting leaders: totals are complete, or incomplete from a stated revision on, never wrongly complete.
     */
    @Test
    void totalsSayFromWhichRevisionOnTheyAreIncomplete() {
        AdmissionCounts counts = new AdmissionCounts();
        counts.add(AdmissionCounts.TeamClass.of(RED), 3);
        AdmissionTotals.Shard shard = new AdmissionTotals.Shard(counts, 1, AdmissionTotals.COMPLETE, 40);
        assertTrue(AdmissionTotals.of(List.of(), 1, 10).isComplete(), "the first leader of all counts");
        assertTrue(AdmissionTotals.of(List.of(shard), 1, 50).isComplete());
        assertEquals(40, AdmissionTotals.of(List.of(shard), 0, 50).completeUntilRevision(), "an older version leads");
        assertEquals(40, AdmissionTotals.of(List.of(shard), 5, 50).completeUntilRevision(), "one has led in between");
        assertEquals(
                0, AdmissionTotals.of(List.of(), 5, 50).completeUntilRevision(), "jobs from before are not counted");
        AdmissionTotals.Shard after = new AdmissionTotals.Shard(counts, 5, 40, 60);
        AdmissionTotals both = AdmissionTotals.of(List.of(shard, after), 5, 70);
        assertEquals(40, both.completeUntilRevision(), "what is missing once is missing for good");
        assertEquals(6, both.counts().total());
    }
}
