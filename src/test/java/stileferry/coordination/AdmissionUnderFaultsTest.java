package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.coordination.AdmissionLoad.FAIR_ADMISSION;
import static stileferry.coordination.AdmissionLoad.TEAMS;
import static stileferry.coordination.AdmissionLoad.assertConsistent;
import static stileferry.coordination.AdmissionLoad.flood;
import static stileferry.coordination.AdmissionLoad.smallCluster;
import static stileferry.coordination.AdmissionLoad.submit;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import stileferry.coordination.SimulatedNetwork.LinkFault;
import stileferry.protocol.Features;

/** Admission while controllers, the key-value store or links fail in the middle of a burst. */
class AdmissionUnderFaultsTest {
    /** What fails in the middle of a burst. */
    enum Fault {
        LEADER_CRASHES,
        LEADER_PAUSES,
        LEADER_LOSES_THE_STORE,
        STORE_REJECTS_THE_LEADER,
        ALL_CONTROLLERS_CRASH,
        FIVE_FAILOVERS,
        STORE_OUTAGE_OF_A_MINUTE,
        STORE_IS_SLOW,
        FOLLOWER_PARTITIONED_FROM_THE_LEADER,
        COMMIT_RESPONSES_LOST,
        COMMITS_ARE_LATE
    }

    private static void inject(SimulatedCluster cluster, Fault fault) {
        ControllerNode leader = cluster.leader();
        String name = leader.name();
        switch (fault) {
            case LEADER_CRASHES -> cluster.faults.restart(leader, 4000);
            case LEADER_PAUSES -> leader.environment.pause(8000);
            case LEADER_LOSES_THE_STORE ->
                cluster.network.injectFaultBothWays(name, SimulatedCluster.STORE, LinkFault.LOST);
            case STORE_REJECTS_THE_LEADER -> cluster.faults.rejectedByStore.add(name);
            case ALL_CONTROLLERS_CRASH ->
                cluster.controllers.values().forEach(node -> cluster.faults.restart(node, 3000));
            case FIVE_FAILOVERS -> {
                for (int i = 0; i < 5; i++) {
                    cluster.after(6000L * i, () -> cluster.faults.restartLeader(1000));
                }
            }
            case STORE_OUTAGE_OF_A_MINUTE -> cluster.faults.storeOutage(60_000);
            case STORE_IS_SLOW -> cluster.faults.storeResponseDelayMs = 400;
            case FOLLOWER_PARTITIONED_FROM_THE_LEADER ->
                cluster.controllers.keySet().stream()
                        .filter(other -> !other.equals(name))
                        .findFirst()
                        .ifPresent(other -> cluster.network.injectFaultBothWays(name, other, LinkFault.LOST));
            case COMMIT_RESPONSES_LOST -> cluster.faults.unansweredCommitRate = 0.3;
            case COMMITS_ARE_LATE -> cluster.faults.lateCommitRate = 0.2;
        }
    }

    private static void clearFaults(SimulatedCluster cluster) {
        cluster.network.restoreAll();
        cluster.faults.rejectedByStore.clear();
        cluster.faults.storeResponseDelayMs = 0;
        cluster.faults.unansweredCommitRate = 0;
        cluster.faults.lateCommitRate = 0;
    }

    /** No count is doubled or lost, no invariant violated, and every team is admitted afterwards, whatever happened. */
    @ParameterizedTest
    @EnumSource(Fault.class)
    void countsStayExactThroughAFaultDuringABurst(Fault fault) {
        SimulatedCluster cluster = smallCluster(40 + fault.ordinal(), FAIR_ADMISSION);
        AdmissionCountCheck history = new AdmissionCountCheck(cluster);
        cluster.runFor(20);
        int next = flood(cluster, 100, 20);
        inject(cluster, fault);
        next = flood(cluster, next, 40);
        clearFaults(cluster);
        cluster.runFor(25);
        long from = cluster.now;
        flood(cluster, next, 60);
        cluster.runFor(90);
        assertConsistent(cluster, history);
        var minutes = history.admissionsByTeamAndMinute(from);
        TEAMS.forEach(team -> assertTrue(minutes.getOrDefault(team + " 0", 0L) > 0, team + ": " + minutes));
        assertEquals(history.storedJobs(), history.countedAdmissions());
        long heard = cluster.users.values().stream().filter(u -> u.accepted).count();
        assertTrue(
                history.countedAdmissions() >= heard,
                heard + " users heard, " + history.countedAdmissions() + " are counted");
        assertTrue(history.responseCount > 50, "totals were told " + history.responseCount + " times only");
    }

    private static LongStream seeds() {
        return LongStream.range(0, Integer.getInteger("days", 2)).map(i -> 70 + i);
    }

    /** Ten minutes of three times what can be admitted, with one fault after the other. */
    @ParameterizedTest
    @MethodSource("seeds")
    void everyTeamIsAdmittedUnderTripleLoadWithFaults(long seed) {
        SimulatedCluster cluster = smallCluster(seed, FAIR_ADMISSION);
        AdmissionCountCheck history = new AdmissionCountCheck(cluster);
        SplittableRandom random = cluster.random.split();
        cluster.runFor(20);
        long from = cluster.now;
        int number = 100;
        long leaderSince = 0;
        List<Integer> calmMinutes = new ArrayList<>();
        boolean calm = true;
        for (int second = 0; second < 600; second++) {
            for (int i = 0; i < 15; i++) {
                submit(cluster, number, TEAMS.get(number % 10 < 8 ? 0 : number % 2 + 1));
                number++;
            }
            if (second % 60 == 20) {
                Fault fault = Fault.values()[random.nextInt(Fault.values().length)];
                if (cluster.leader() != null && fault != Fault.STORE_OUTAGE_OF_A_MINUTE) {
                    inject(cluster, fault);
                    cluster.after(15_000, () -> clearFaults(cluster));
                }
            }
            cluster.runFor(1);
            leaderSince = cluster.leader() == null ? 0 : leaderSince == 0 ? cluster.now : leaderSince;
            calm |= leaderSince > 0 && cluster.now - leaderSince > 15_000;
            if (second % 60 == 59) {
                if (calm) {
                    calmMinutes.add(second / 60);
                }
                calm = false;
            }
        }
        assertConsistent(cluster, history);
        assertTrue(calmMinutes.size() >= 8, "minutes with a leader: " + calmMinutes);
        assertEveryTeamAdmitted(history, from, calmMinutes);
    }

    private static void assertEveryTeamAdmitted(AdmissionCountCheck history, long from, List<Integer> minutes) {
        var admissions = history.admissionsByTeamAndMinute(from);
        for (int minute : minutes) {
            TEAMS.forEach(team -> assertTrue(
                    admissions.getOrDefault(team + " " + minute, 0L) > 0,
                    team + " has nothing in minute " + minute + ": " + admissions));
        }
    }

    private static LongStream randomFaultSeeds() {
        return LongStream.range(0, Integer.getInteger("days", 8)).map(i -> 2000 + i);
    }

    /**
     * Runs with all faults at random, on some of them with controllers of older versions, or with link monitoring too.
     */
    @ParameterizedTest
    @MethodSource("randomFaultSeeds")
    void invariantsHoldWithFairAdmissionUnderRandomFaults(long seed) {
        ChaosRun.assertAllJobsEnded(ChaosRun.run(
                seed, 120, cluster -> ChaosRun.mixVersions(cluster, seed, new Features(seed % 4 == 0, true))));
    }
}
