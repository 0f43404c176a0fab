package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.coordination.FairAdmissionTest.ON;
import static stileferry.coordination.FairAdmissionTest.TEAMS;
import static stileferry.coordination.FairAdmissionTest.check;
import static stileferry.coordination.FairAdmissionTest.flood;
import static stileferry.coordination.FairAdmissionTest.submit;
import static stileferry.coordination.FairAdmissionTest.world;
import static stileferry.coordination.InvariantsUnderFaultsTest.restart;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import stileferry.coordination.SimulatedNetwork.Mode;
import stileferry.protocol.Features;

/** Controllers, the state service and links that fail in the middle of a burst. */
class AdmissionUnderFaultsTest {
    /** What happens to the leader in the middle of a burst. */
    enum Trouble {
        ENDS,
        FREEZES_AND_WAKES,
        LOSES_THE_STATE_SERVICE,
        IS_REFUSED_ALONE,
        ALL_END,
        FIVE_LEADERS,
        STATE_SERVICE_DOWN_FOR_A_MINUTE,
        STATE_SERVICE_SLOW,
        FOLLOWER_CUT_FROM_THE_LEADER,
        ANSWERS_OF_COMMITS_LOST,
        COMMITS_CARRIED_OUT_LATE
    }

    private static void bring(SimulatedCluster w, Trouble trouble) {
        SimulatedCluster.Node leader = w.leader();
        String name = leader.settings.controllerName();
        switch (trouble) {
            case ENDS -> restart(w, leader, 4000);
            case FREEZES_AND_WAKES -> leader.environment.freeze(8000);
            case LOSES_THE_STATE_SERVICE -> w.network.blockBoth(name, SimulatedCluster.STATE, Mode.LOST);
            case IS_REFUSED_ALONE -> w.refused.add(name);
            case ALL_END -> w.nodes.values().forEach(node -> restart(w, node, 3000));
            case FIVE_LEADERS -> {
                for (int i = 0; i < 5; i++) {
                    w.after(6000L * i, () -> {
                        if (w.leader() != null) {
                            restart(w, w.leader(), 1000);
                        }
                    });
                }
            }
            case STATE_SERVICE_DOWN_FOR_A_MINUTE -> {
                w.stateDown = true;
                w.after(60_000, () -> {
                    w.stateDown = false;
                    w.state.renewAllLeases(w.now);
                });
            }
            case STATE_SERVICE_SLOW -> w.slowStoreMs = 400;
            case FOLLOWER_CUT_FROM_THE_LEADER ->
                w.nodes.keySet().stream()
                        .filter(other -> !other.equals(name))
                        .findFirst()
                        .ifPresent(other -> w.network.blockBoth(name, other, Mode.LOST));
            case ANSWERS_OF_COMMITS_LOST -> w.unansweredWrites = 0.3;
            case COMMITS_CARRIED_OUT_LATE -> w.lateWrites = 0.2;
        }
    }

    private static void mend(SimulatedCluster w) {
        w.network.restoreAll();
        w.refused.clear();
        w.slowStoreMs = 0;
        w.unansweredWrites = 0;
        w.lateWrites = 0;
    }

    /** No count is doubled or lost, no rule broken, and every team has its admissions afterwards, whatever happened. */
    @ParameterizedTest
    @EnumSource(Trouble.class)
    void troubleInTheMiddleOfABurst(Trouble trouble) {
        SimulatedCluster w = world(40 + trouble.ordinal(), ON);
        AdmissionHistory history = new AdmissionHistory(w);
        w.play(20);
        int next = flood(w, 100, 20);
        bring(w, trouble);
        next = flood(w, next, 40);
        mend(w);
        w.play(25);
        long from = w.now;
        flood(w, next, 60);
        w.play(90);
        check(w, history);
        var minutes = history.admissionsByTeamAndMinute(from);
        TEAMS.forEach(team -> assertTrue(minutes.getOrDefault(team + " 0", 0L) > 0, team + ": " + minutes));
        assertEquals(history.known(), history.counted());
        long heard = w.users.values().stream().filter(u -> u.accepted).count();
        assertTrue(history.counted() >= heard, heard + " users heard, " + history.counted() + " are counted");
        assertTrue(history.answers > 50, "totals were told " + history.answers + " times only");
    }

    private static LongStream seeds() {
        return LongStream.range(0, Integer.getInteger("days", 2)).map(i -> 70 + i);
    }

    /** Ten minutes of three times what can be admitted, with one trouble after the other. */
    @ParameterizedTest
    @MethodSource("seeds")
    void tenMinutesOfThreeTimesTheCapacity(long seed) {
        SimulatedCluster w = world(seed, ON);
        AdmissionHistory history = new AdmissionHistory(w);
        SplittableRandom random = w.random.split();
        w.play(20);
        long from = w.now;
        int number = 100;
        long sureSince = 0;
        List<Integer> calmMinutes = new ArrayList<>();
        boolean calm = true;
        for (int second = 0; second < 600; second++) {
            for (int i = 0; i < 15; i++) {
                submit(w, number, TEAMS.get(number % 10 < 8 ? 0 : number % 2 + 1));
                number++;
            }
            if (second % 60 == 20) {
                Trouble trouble = Trouble.values()[random.nextInt(Trouble.values().length)];
                if (w.leader() != null && trouble != Trouble.STATE_SERVICE_DOWN_FOR_A_MINUTE) {
                    bring(w, trouble);
                    w.after(15_000, () -> mend(w));
                }
            }
            w.play(1);
            sureSince = w.leader() == null ? 0 : sureSince == 0 ? w.now : sureSince;
            calm |= sureSince > 0 && w.now - sureSince > 15_000;
            if (second % 60 == 59) {
                if (calm) {
                    calmMinutes.add(second / 60);
                }
                calm = false;
            }
        }
        check(w, history);
        assertTrue(calmMinutes.size() >= 8, "minutes with a leader: " + calmMinutes);
        everyTeamIsAdmitted(history, from, calmMinutes);
    }

    private static void everyTeamIsAdmitted(AdmissionHistory history, long from, List<Integer> minutes) {
        var admissions = history.admissionsByTeamAndMinute(from);
        for (int minute : minutes) {
            TEAMS.forEach(team -> assertTrue(
                    admissions.getOrDefault(team + " " + minute, 0L) > 0,
                    team + " has nothing in minute " + minute + ": " + admissions));
        }
    }

    private static LongStream seedsOfDays() {
        return LongStream.range(0, Integer.getInteger("days", 8)).map(i -> 2000 + i);
    }

    /**
     * Days with all troubles at random, on some of them with controllers of older versions, or with links watched too.
     */
    @ParameterizedTest
    @MethodSource("seedsOfDays")
    void noRuleIsBrokenWithFairAdmission(long seed) {
        InvariantsUnderFaultsTest.allIsDone(InvariantsUnderFaultsTest.day(seed, 120, w -> {
            w.features = new Features(seed % 4 == 0, true);
            if (seed % 3 == 0) {
                w.withoutFeatures.add("n" + seed % 2);
            }
            if (seed % 5 == 0) {
                w.formerForm.add("n2");
                w.withoutFeatures.add("n2");
            }
        }));
    }
}
