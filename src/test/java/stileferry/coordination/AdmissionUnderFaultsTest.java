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

/** Tests admission while controllers, the key-value store or links fail during a burst of submissions. */
class AdmissionUnderFaultsTest {
    /** A fault during a burst of submissions. */
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

    /**
     * Every admission is counted exactly once, no invariant is violated, and jobs of every team are admitted
     * afterwards.
     */
    @ParameterizedTest
    @EnumSource(Fault.class)
    void countsStayExactThroughAFaultDuringABurst(Fault fault) {
        SimulatedCluster cluster = smallCluster(40 + fault.ordinal(), FAIR_ADMISSION);
        AdmissionCountCheck countCheck = new AdmissionCountCheck(cluster);
        cluster.runFor(20);
        int nextNumber = flood(cluster, 100, 20);
        inject(cluster, fault);
        nextNumber = flood(cluster, nextNumber, 40);
        clearFaults(cluster);
        cluster.runFor(25);
        long from = cluster.now;
        flood(cluster, nextNumber, 60);
        cluster.runFor(90);
        assertConsistent(cluster, countCheck);
        var minutes = countCheck.admissionsByTeamAndMinute(from);
        TEAMS.forEach(team -> assertTrue(minutes.getOrDefault(team + " 0", 0L) > 0, team + ": " + minutes));
        assertEquals(countCheck.storedJobs(), countCheck.countedAdmissions());
        long toldAccepted =
                cluster.users.values().stream().filter(u -> u.accepted).count();
        assertTrue(
                countCheck.countedAdmissions() >= toldAccepted,
                toldAccepted + " users received an acceptance, but only " + countCheck.countedAdmissions()
                        + " admissions are counted");
        assertTrue(countCheck.responseCount > 50, "only " + countCheck.responseCount + " responses had totals");
    }

    private static LongStream seeds() {
        return LongStream.range(0, Integer.getInteger("days", 2)).map(i -> 70 + i);
    }

    /** Submits for ten minutes at three times the admission capacity, with a random fault in most minutes. */
    @ParameterizedTest
    @MethodSource("seeds")
    void everyTeamIsAdmittedUnderTripleLoadWithFaults(long seed) {
        SimulatedCluster cluster = smallCluster(seed, FAIR_ADMISSION);
        AdmissionCountCheck countCheck = new AdmissionCountCheck(cluster);
        SplittableRandom random = cluster.random.split();
        cluster.runFor(20);
        long from = cluster.now;
        int jobNumber = 100;
        long leaderSince = 0;
        List<Integer> stableMinutes = new ArrayList<>();
        boolean stableLeader = true;
        for (int second = 0; second < 600; second++) {
            for (int i = 0; i < 15; i++) {
                submit(cluster, jobNumber, TEAMS.get(jobNumber % 10 < 8 ? 0 : jobNumber % 2 + 1));
                jobNumber++;
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
            stableLeader |= leaderSince > 0 && cluster.now - leaderSince > 15_000;
            if (second % 60 == 59) {
                if (stableLeader) {
                    stableMinutes.add(second / 60);
                }
                stableLeader = false;
            }
        }
        assertConsistent(cluster, countCheck);
        assertTrue(stableMinutes.size() >= 8, "minutes with a stable leader: " + stableMinutes);
        assertEveryTeamAdmitted(countCheck, from, stableMinutes);
    }

    private static void assertEveryTeamAdmitted(AdmissionCountCheck countCheck, long from, List<Integer> minutes) {
        var admissions = countCheck.admissionsByTeamAndMinute(from);
        for (int minute : minutes) {
            TEAMS.forEach(team -> assertTrue(
                    admissions.getOrDefault(team + " " + minute, 0L) > 0,
                    team + " has no admissions in minute " + minute + ": " + admissions));
        }
    }

    private static LongStream randomFaultSeeds() {
        return LongStream.range(0, Integer.getInteger("days", 8)).map(i -> 2000 + i);
    }

    /**
     * Runs with random faults of all kinds. In some of them controllers run older versions, in some link monitoring is
     * on as well.
     */
    @ParameterizedTest
    @MethodSource("randomFaultSeeds")
    void invariantsHoldWithFairAdmissionUnderRandomFaults(long seed) {
        ChaosRun.assertAllJobsEnded(ChaosRun.run(
                seed, 120, cluster -> ChaosRun.mixVersions(cluster, seed, new Features(seed % 4 == 0, true))));
    }
}
