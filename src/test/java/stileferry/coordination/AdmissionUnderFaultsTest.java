package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.coordination.FairAdmissionTest.ON;
import static stileferry.coordination.FairAdmissionTest.TEAMS;
import static stileferry.coordination.FairAdmissionTest.check;
import static stileferry.coordination.FairAdmissionTest.flood;
import static stileferry.coordination.FairAdmissionTest.submit;
import static stileferry.coordination.FairAdmissionTest.world;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import stileferry.coordination.SimulatedNetwork.LinkFault;
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

    private static void bring(SimulatedCluster cluster, Trouble trouble) {
        ControllerNode leader = cluster.leader();
        String name = leader.settings.controllerName();
        switch (trouble) {
            case ENDS -> cluster.faults.restart(leader, 4000);
            case FREEZES_AND_WAKES -> leader.environment.freeze(8000);
            case LOSES_THE_STATE_SERVICE -> cluster.network.blockBoth(name, SimulatedCluster.STORE, LinkFault.LOST);
            case IS_REFUSED_ALONE -> cluster.faults.rejectedByStore.add(name);
            case ALL_END -> cluster.controllers.values().forEach(node -> cluster.faults.restart(node, 3000));
            case FIVE_LEADERS -> {
                for (int i = 0; i < 5; i++) {
                    cluster.after(6000L * i, () -> {
                        if (cluster.leader() != null) {
                            cluster.faults.restart(cluster.leader(), 1000);
                        }
                    });
                }
            }
            case STATE_SERVICE_DOWN_FOR_A_MINUTE -> {
                cluster.faults.storeDown = true;
                cluster.after(60_000, () -> {
                    cluster.faults.endStoreOutage();
                });
            }
            case STATE_SERVICE_SLOW -> cluster.faults.storeResponseDelayMs = 400;
            case FOLLOWER_CUT_FROM_THE_LEADER ->
                cluster.controllers.keySet().stream()
                        .filter(other -> !other.equals(name))
                        .findFirst()
                        .ifPresent(other -> cluster.network.blockBoth(name, other, LinkFault.LOST));
            case ANSWERS_OF_COMMITS_LOST -> cluster.faults.unansweredCommitRate = 0.3;
            case COMMITS_CARRIED_OUT_LATE -> cluster.faults.lateCommitRate = 0.2;
        }
    }

    private static void mend(SimulatedCluster cluster) {
        cluster.network.restoreAll();
        cluster.faults.rejectedByStore.clear();
        cluster.faults.storeResponseDelayMs = 0;
        cluster.faults.unansweredCommitRate = 0;
        cluster.faults.lateCommitRate = 0;
    }

    /** No count is doubled or lost, no rule broken, and every team has its admissions afterwards, whatever happened. */
    @ParameterizedTest
    @EnumSource(Trouble.class)
    void countsStayExactThroughAFaultDuringABurst(Trouble trouble) {
        SimulatedCluster cluster = world(40 + trouble.ordinal(), ON);
        AdmissionHistory history = new AdmissionHistory(cluster);
        cluster.runFor(20);
        int next = flood(cluster, 100, 20);
        bring(cluster, trouble);
        next = flood(cluster, next, 40);
        mend(cluster);
        cluster.runFor(25);
        long from = cluster.now;
        flood(cluster, next, 60);
        cluster.runFor(90);
        check(cluster, history);
        var minutes = history.admissionsByTeamAndMinute(from);
        TEAMS.forEach(team -> assertTrue(minutes.getOrDefault(team + " 0", 0L) > 0, team + ": " + minutes));
        assertEquals(history.known(), history.counted());
        long heard = cluster.users.values().stream().filter(u -> u.accepted).count();
        assertTrue(history.counted() >= heard, heard + " users heard, " + history.counted() + " are counted");
        assertTrue(history.answers > 50, "totals were told " + history.answers + " times only");
    }

    private static LongStream seeds() {
        return LongStream.range(0, Integer.getInteger("days", 2)).map(i -> 70 + i);
    }

    /** Ten minutes of three times what can be admitted, with one trouble after the other. */
    @ParameterizedTest
    @MethodSource("seeds")
    void everyTeamIsAdmittedUnderTripleLoadWithFaults(long seed) {
        SimulatedCluster cluster = world(seed, ON);
        AdmissionHistory history = new AdmissionHistory(cluster);
        SplittableRandom random = cluster.random.split();
        cluster.runFor(20);
        long from = cluster.now;
        int number = 100;
        long sureSince = 0;
        List<Integer> calmMinutes = new ArrayList<>();
        boolean calm = true;
        for (int second = 0; second < 600; second++) {
            for (int i = 0; i < 15; i++) {
                submit(cluster, number, TEAMS.get(number % 10 < 8 ? 0 : number % 2 + 1));
                number++;
            }
            if (second % 60 == 20) {
                Trouble trouble = Trouble.values()[random.nextInt(Trouble.values().length)];
                if (cluster.leader() != null && trouble != Trouble.STATE_SERVICE_DOWN_FOR_A_MINUTE) {
                    bring(cluster, trouble);
                    cluster.after(15_000, () -> mend(cluster));
                }
            }
            cluster.runFor(1);
            sureSince = cluster.leader() == null ? 0 : sureSince == 0 ? cluster.now : sureSince;
            calm |= sureSince > 0 && cluster.now - sureSince > 15_000;
            if (second % 60 == 59) {
                if (calm) {
                    calmMinutes.add(second / 60);
                }
                calm = false;
            }
        }
        check(cluster, history);
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
    void invariantsHoldWithFairAdmissionUnderRandomFaults(long seed) {
        ChaosRun.assertAllJobsEnded(ChaosRun.play(
                seed, 120, cluster -> ChaosRun.mixVersions(cluster, seed, new Features(seed % 4 == 0, true))));
    }
}
