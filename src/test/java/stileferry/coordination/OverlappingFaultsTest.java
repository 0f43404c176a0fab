package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.coordination.InvariantsUnderFaultsTest.array;
import static stileferry.coordination.InvariantsUnderFaultsTest.restart;
import static stileferry.coordination.InvariantsUnderFaultsTest.service;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import stileferry.protocol.JobSpec;
import stileferry.standin.Worker;

/** Two troubles at a time, each meeting brought about on purpose; every rule is checked at every step. */
class OverlappingFaultsTest {
    private static final long[] SEEDS =
            LongStream.range(1, 1 + Long.getLong("meetings", 2)).toArray();

    /** Eight jobs of long tasks that run. */
    private static SimulatedCluster busy(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed);
        cluster.runFor(3);
        for (int i = 0; i < 6; i++) {
            cluster.submit(array(i, "any", JobSpec.Priority.NORMAL, 2, 300));
        }
        cluster.submit(service(6, 2, 2));
        cluster.submit(service(7, 2, 2));
        cluster.runFor(25);
        assertEquals(16, cluster.tasks.running());
        return cluster;
    }

    private static void cancelSome(SimulatedCluster cluster) {
        for (int i = 0; i < 5; i++) {
            cluster.cancel(cluster.users.get("job-" + i));
        }
    }

    private static long confirmed(SimulatedCluster cluster) {
        return cluster.users.values().stream()
                .filter(u -> u.cancelConfirmedAt > 0)
                .count();
    }

    private static void outageFrom(SimulatedCluster cluster, double seconds) {
        cluster.faults.storeDown = true;
        cluster.after(Math.round(1000 * seconds), () -> {
            cluster.faults.storeDown = false;
            cluster.state.renewAllLeases(cluster.now);
        });
    }

    private static void settled(SimulatedCluster cluster) {
        cluster.faults.endedAt = cluster.now;
        cluster.runFor(90);
        assertEquals(List.of(), cluster.violations);
        assertTrue(cluster.tasks.running() >= 4, "what nobody cancelled runs on or again: " + cluster.tasks.running());
    }

    /**
     * The leader alone is refused by the state service, or sees neither it nor the other controllers; another one
     * confirms cancellations; then the state service is down for longer than cancel_s while workers report to whom
     * they did. Found by the operators: the old leader went on renewing leases and knew nothing of the cancellations,
     * and the new one, not sure to lead any more, sent no stops.
     */
    @ParameterizedTest
    @CsvSource({
        "101,refused,no",
        "102,alone,no",
        "103,alone,yes",
        "104,refused,yes",
        "105,refusedPeers,no",
        "106,alone,hang",
        "107,refused,hang",
        "108,refusedPeers,yes"
    })
    void cancellationsOfAnotherLeaderBeforeALongOutage(long seed, String how, String then) {
        SimulatedCluster cluster = busy(seed);
        ControllerNode old = cluster.leader();
        if (how.equals("alone")) {
            cluster.faults.partitionedFromControlPlane.add(old.settings.controllerName());
        } else {
            cluster.faults.rejectedByStore.add(old.settings.controllerName());
            cluster.faults.peerConnectionsRefused = how.equals("refusedPeers");
        }
        cluster.runFor(4);
        ControllerNode next = cluster.controllers.values().stream()
                .filter(n -> n != old && n.coordinator.leads())
                .findFirst()
                .orElseThrow();
        if (then.equals("hang")) { // their stops do not arrive; what they report does
            cluster.users.values().forEach(u -> cluster.tasks
                    .machinesOf(u)
                    .forEach(m -> cluster.faults.inboundLoss.add("w-" + m + ":1")));
            cluster.after(6000, cluster.faults.inboundLoss::clear);
        }
        cancelSome(cluster);
        cluster.runFor(1.2);
        if (how.equals("refusedPeers")) { // nobody else could be told, so only what has no task any more is confirmed
            cluster.users.values().stream()
                    .filter(u -> u.cancelConfirmedAt > 0)
                    .forEach(u -> assertEquals(0, cluster.tasks.running(u), u.spec.id()));
        } else {
            assertTrue(confirmed(cluster) > 0, "nothing was confirmed");
        }
        outageFrom(cluster, 30);
        if (then.equals("yes")) {
            restart(cluster, next, 3000);
        }
        cluster.after(14_000, () -> {
            cluster.faults.rejectedByStore.clear();
            cluster.faults.partitionedFromControlPlane.clear();
            cluster.faults.peerConnectionsRefused = false;
        });
        cluster.runFor(45);
        assertEquals(List.of(), cluster.violations);
        settled(cluster);
    }

    /** One-task jobs, four a second, a quarter of them cancelled, some at once. */
    private static void oneTaskJobs(SimulatedCluster cluster, int from, double seconds) {
        SplittableRandom random = cluster.random.split();
        for (int i = 0; i < seconds * 4; i++) {
            SimulatedUser user =
                    cluster.submit(array(from + i, "any", JobSpec.Priority.NORMAL, 1, 1 + random.nextInt(3)));
            if (i % 4 == 3) {
                cluster.after(random.nextLong(3000), () -> cluster.cancel(user));
            }
            cluster.runFor(0.25);
        }
    }

    /**
     * Transactions without an answer are carried out late, after newer ones, or at once with only the answer lost,
     * while one-task jobs come four a second. Found by this test: a late acceptance was carried out once more after
     * its job had ended, and the next leader took the job for one that waits.
     */
    @ParameterizedTest
    @CsvSource({"201,0.4,0", "202,0.4,0", "203,0.2,0.2", "204,0,0.4", "205,0.5,0"})
    void lateTransactionsUnderOneTaskJobs(long seed, double late, double unanswered) {
        SimulatedCluster cluster = busy(seed);
        cluster.faults.lateCommitRate = late;
        cluster.faults.unansweredCommitRate = unanswered;
        oneTaskJobs(cluster, 100, 40);
        cluster.faults.lateCommitRate = 0;
        cluster.faults.unansweredCommitRate = 0;
        cluster.runFor(15);
        restart(cluster, cluster.leader(), 300);
        cluster.runFor(40);
        assertEquals(List.of(), cluster.violations);
        assertTrue(cluster.users.completedJobs > 100, cluster.users.completedJobs + " jobs are over");
        settled(cluster);
    }

    /** Two teams at their limits and a third one, with services, arrays of a few tasks and jobs bound to one zone. */
    private static SimulatedCluster crowded(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed);
        cluster.runFor(3);
        for (int i = 0; i < 24; i++) {
            String team = i % 3 == 0 ? "red" : i % 3 == 1 ? "blue" : "free";
            boolean service = i % 4 == 3;
            boolean bound = i % 5 == 0;
            cluster.submit(new JobSpec(
                    "job-" + i,
                    "any",
                    team,
                    service ? JobSpec.Kind.SERVICE : JobSpec.Kind.ARRAY,
                    service ? JobSpec.Priority.CRITICAL : i % 2 == 0 ? JobSpec.Priority.NORMAL : JobSpec.Priority.IDLE,
                    2 + i % 2,
                    2,
                    0,
                    1,
                    "img" + i % 3,
                    1,
                    null,
                    bound ? i % 2 == 0 ? "za" : "zb" : null,
                    i % 6 == 0,
                    service && !bound,
                    !service && i % 7 != 0,
                    service ? 0 : 3 + i % 10 * 4,
                    0,
                    0,
                    -1));
        }
        cluster.runFor(25);
        assertTrue(cluster.tasks.running() > 20, cluster.tasks.running() + " tasks run");
        return cluster;
    }

    private static ControllerNode node(SimulatedCluster cluster, int i) {
        return cluster.controllers.get("n" + i);
    }

    /** Breaks off what a leader does, if there is one, and starts it again. */
    private static void leaderEnds(SimulatedCluster cluster, long afterMs) {
        if (cluster.leader() != null) {
            restart(cluster, cluster.leader(), afterMs);
        }
    }

    private static void cancelSomeOf(SimulatedCluster cluster, int every) {
        cluster.users.values().stream()
                .filter(u -> u.accepted && u.endState == null && cluster.tasks.running(u) > 0)
                .filter(u -> Integer.parseInt(u.spec.id().substring(4)) % every == 0)
                .toList()
                .forEach(cluster::cancel);
    }

    /** Machines with tasks of some of the jobs, as addresses. */
    private static List<String> machines(SimulatedCluster cluster, int share) {
        return cluster.cloud.runningMachines().stream()
                .filter(m -> Integer.parseInt(m.substring(m.length() - 3)) % share == 0)
                .map(m -> "w-" + m + ":1")
                .toList();
    }

    private static void more(SimulatedCluster cluster, int from, int jobs) {
        for (int i = from; i < from + jobs; i++) {
            cluster.submit(array(i, "any", JobSpec.Priority.NORMAL, 1 + i % 3, 3 + i % 9));
        }
    }

    private static void bringAbout(SimulatedCluster cluster, String meeting) {
        SplittableRandom random = cluster.random.split();
        switch (meeting) {
            case "limitsWhileMachinesCantBeAsked" -> {
                machines(cluster, 2).forEach(addr -> cluster.faults.partition(addr, 16_000));
                cluster.runFor(1);
                cancelSomeOf(cluster, 3);
                cluster.runFor(1);
                leaderEnds(cluster, 500);
                more(cluster, 100, 8);
                cluster.runFor(15);
            }
            case "limitsWhileMachinesHang" -> {
                machines(cluster, 2).forEach(addr -> cluster.faults.hang(addr, 7000));
                cancelSomeOf(cluster, 2);
                cluster.runFor(2);
                leaderEnds(cluster, 4000);
                more(cluster, 100, 8);
                cluster.runFor(15);
            }
            case "tasksEndFarApartAcrossLeaders" -> {
                for (int i = 0; i < 6; i++) {
                    more(cluster, 100 + 4 * i, 4);
                    cluster.runFor(3);
                    leaderEnds(cluster, 300);
                    cluster.runFor(4);
                }
            }
            case "cancelledAsTheLeaderIsRefused" -> {
                ControllerNode leader = cluster.leader();
                cluster.after(
                        random.nextLong(40),
                        () -> cluster.faults.rejectedByStore.add(leader.settings.controllerName()));
                cancelSomeOf(cluster, 2);
                cluster.runFor(1);
                outageFrom(cluster, 28);
                cluster.runFor(35);
            }
            case "slowThenRefusedThenDown" -> {
                cluster.faults.storeResponseDelayMs = 900;
                cancelSomeOf(cluster, 4);
                cluster.runFor(5);
                cluster.faults.rejectedByStore.add(
                        cluster.leader() == null
                                ? "n0"
                                : cluster.leader().settings.controllerName());
                cancelSomeOf(cluster, 3);
                cluster.runFor(3);
                outageFrom(cluster, 25);
                cancelSomeOf(cluster, 2);
                cluster.runFor(30);
            }
            case "oldReportsAfterNewer" -> {
                cluster.faults.duplicateHeartbeatRate = 0.6;
                for (int i = 0; i < 4; i++) {
                    more(cluster, 100 + 5 * i, 5);
                    cluster.runFor(6);
                    leaderEnds(cluster, i % 2 == 0 ? 200 : 5000);
                    machines(cluster, 3)
                            .forEach(addr -> cluster.faults.partition(addr, 12_000)); // so that sessions end
                    cluster.runFor(8);
                }
            }
            case "machinesDoNotHearTheNextLeader" -> {
                cluster.faults.inboundLoss.addAll(machines(cluster, 2));
                machines(cluster, 3).forEach(addr -> cluster.faults.partition(addr, 20_000));
                cancelSomeOf(cluster, 5);
                leaderEnds(cluster, 5000);
                cluster.runFor(22);
            }
            case "allAwayForLongerThanALease" -> {
                cancelSomeOf(cluster, 3);
                cluster.runFor(0.3);
                cluster.controllers.values().forEach(n -> restart(cluster, n, 12_000 + random.nextLong(4000)));
                cluster.runFor(25);
            }
            case "onlyAnswersAreLost" -> {
                cluster.faults.unansweredCommitRate = 0.6;
                cluster.faults.usersRepeatRequests = true;
                more(cluster, 100, 20);
                cancelSomeOf(cluster, 3);
                cluster.runFor(8);
                leaderEnds(cluster, 300);
                cluster.runFor(12);
            }
            case "zoneWithAControllerCutOff" -> {
                cluster.faults.partitionZone("za", 24_000);
                cluster.faults.partition(cluster.leader().settings.controllerName(), 24_000);
                cluster.runFor(4);
                cancelSomeOf(cluster, 3);
                cluster.runFor(26);
            }
            case "workersReachNobody" -> {
                cluster.faults.heartbeatLoss.addAll(machines(cluster, 2));
                cancelSomeOf(cluster, 4);
                cluster.runFor(4);
                leaderEnds(cluster, 1000);
                more(cluster, 100, 6);
                cluster.runFor(25);
            }
            case "cancelledWhileWorkChangesHands" -> {
                for (int i = 0; i < 5; i++) {
                    more(cluster, 100 + 6 * i, 6);
                    cluster.runFor(3);
                    leaderEnds(cluster, 200 + 900 * i);
                    cluster.after(random.nextLong(2500), () -> cancelSomeOf(cluster, 3));
                    cluster.runFor(4);
                }
            }
            case "handedOverAndBack" -> {
                cluster.faults.usersRepeatRequests = true;
                for (int i = 0; i < 4; i++) {
                    more(cluster, 100 + 5 * i, 5);
                    leaderEnds(cluster, 100);
                    cluster.runFor(2);
                    leaderEnds(cluster, 100);
                    cancelSomeOf(cluster, 4);
                    cluster.runFor(0.3);
                    cluster.controllers.values().forEach(ControllerNode::crash);
                    int one = i % 3;
                    cluster.after(150, () -> node(cluster, one).start());
                    cluster.after(2500, () -> cluster.controllers.values().stream()
                            .filter(n -> !n.up())
                            .forEach(ControllerNode::start));
                    cluster.runFor(6);
                }
            }
            case "newMachinesWhileWritesLag" -> {
                cluster.faults.lateCommitRate = 0.4;
                more(cluster, 100, 30);
                cluster.runFor(7);
                leaderEnds(cluster, 300);
                cluster.runFor(10);
            }
            case "tenLeaders" -> {
                for (int i = 0; i < 10; i++) {
                    cancelSomeOf(cluster, 11 - i);
                    leaderEnds(cluster, i % 2 == 0 ? 500 : 5000);
                    if (i == 4) {
                        outageFrom(cluster, 24);
                    }
                    more(cluster, 100 + 2 * i, 2);
                    cluster.runFor(12);
                }
            }
            case "oldReportsReachTheNextLeader" -> {
                cluster.faults.replayHeartbeatsToNextLeader = true;
                for (int i = 0; i < 4; i++) {
                    more(cluster, 100 + 6 * i, 6);
                    cluster.runFor(6);
                    machines(cluster, 3).forEach(cluster.cloud::reclaim);
                    machines(cluster, 2).forEach(addr -> cluster.faults.partition(addr, 11_000));
                    leaderEnds(cluster, 3000);
                    cancelSomeOf(cluster, 5);
                    cluster.runFor(7);
                }
            }
            case "questionsMeetTheLastTask" -> {
                cluster.faults.usersRepeatRequests = true;
                for (int i = 100; i < 160; i++) {
                    SimulatedUser user = cluster.submit(array(i, "any", JobSpec.Priority.NORMAL, 1, 2));
                    if (i % 2 == 0) { // it runs 2 s from when it has its image
                        cluster.after(2500 + random.nextLong(800), () -> cluster.cancel(user));
                    }
                    cluster.runFor(0.5);
                }
            }
            case "commandsAreHeldUp" -> {
                for (int i = 0; i < 5; i++) {
                    more(cluster, 100 + 8 * i, 8);
                    cluster.after(100 + random.nextLong(400), () -> machines(cluster, 2)
                            .forEach(addr -> cluster.faults.hang(addr, 6000)));
                    cluster.after(700, () -> cancelSomeOf(cluster, 2));
                    cluster.runFor(9);
                }
            }
            case "boundJobsLoseMachines" -> {
                for (int i = 0; i < 4; i++) {
                    cluster.cloud.runningMachines().stream().limit(3).toList().forEach(cluster.cloud::reclaim);
                    cluster.runFor(1);
                    leaderEnds(cluster, 400);
                    cluster.faults.partitionZone(i % 2 == 0 ? "za" : "zb", 6000);
                    cluster.runFor(12);
                }
            }
            default -> throw new IllegalArgumentException(meeting);
        }
    }

    /**
     * The meetings of the operators' page, by name, each with two seeds; in the end all that nobody cancelled is
     * served.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "limitsWhileMachinesCantBeAsked",
                "limitsWhileMachinesHang",
                "tasksEndFarApartAcrossLeaders",
                "cancelledAsTheLeaderIsRefused",
                "slowThenRefusedThenDown",
                "oldReportsAfterNewer",
                "machinesDoNotHearTheNextLeader",
                "allAwayForLongerThanALease",
                "onlyAnswersAreLost",
                "zoneWithAControllerCutOff",
                "workersReachNobody",
                "cancelledWhileWorkChangesHands",
                "handedOverAndBack",
                "newMachinesWhileWritesLag",
                "tenLeaders",
                "oldReportsReachTheNextLeader",
                "questionsMeetTheLastTask",
                "commandsAreHeldUp",
                "boundJobsLoseMachines"
            })
    void noRuleIsBrokenWhereTroublesMeet(String meeting) {
        for (long seed : SEEDS) {
            SimulatedCluster cluster = crowded(seed);
            int before = cluster.tasks.starts;
            bringAbout(cluster, meeting);
            assertEquals(List.of(), cluster.violations, "seed " + seed);
            cluster.faults.rejectedByStore.clear();
            cluster.faults.inboundLoss.clear();
            cluster.faults.heartbeatLoss.clear();
            cluster.faults.storeResponseDelayMs = 0;
            cluster.faults.duplicateHeartbeatRate = 0;
            cluster.faults.replayHeartbeatsToNextLeader = false;
            cluster.faults.lateCommitRate = 0;
            cluster.faults.unansweredCommitRate = 0;
            cluster.faults.endedAt = cluster.now;
            cluster.runFor(150);
            assertEquals(List.of(), cluster.violations, "seed " + seed);
            assertTrue(cluster.tasks.starts > before, "nothing happened");
            for (SimulatedUser user : cluster.users.values()) {
                assertTrue(
                        !user.accepted
                                || user.endState != null
                                || cluster.tasks.running(user) == user.spec.taskCount() && user.spec.service(),
                        user.spec + " waits after all troubles with " + cluster.tasks.running(user) + " tasks, seed "
                                + seed);
            }
        }
    }

    /** The checks must be able to fail: a worker that minds neither its lease nor commands keeps a cancelled task. */
    @Test
    void aTaskThatOutlivesItsCancellationIsNoticed() {
        SimulatedCluster cluster = busy(301);
        SimulatedUser user = cluster.users.get("job-0");
        cluster.workers.values().forEach(Worker::ignoreLease);
        cluster.faults.partitionZone("za", 60_000); // single machines would be given up by their deletion
        cluster.faults.partitionZone("zb", 60_000);
        cluster.cancel(user);
        cluster.runFor(SimulatedCluster.CANCEL_S - 1);
        assertEquals(List.of(), cluster.violations);
        cluster.runFor(3);
        assertTrue(cluster.violations.stream().anyMatch(v -> v.startsWith("ran_cancelled")), "nobody noticed");
    }
}
