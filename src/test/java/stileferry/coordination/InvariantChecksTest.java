package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.coordination.Workloads.service;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import stileferry.cluster.InvariantMonitor;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.JobSpec;
import stileferry.protocol.JobSpecBuilder;
import stileferry.protocol.PeerMessage.RequestKind;
import stileferry.protocol.UserMessages;
import stileferry.protocol.WorkerCommand;
import stileferry.protocol.WorkerMessages;
import stileferry.standin.Worker;

/** Tests that the invariant checks detect violations. */
class InvariantChecksTest {
    private static final long HIGH_TERM = 1L << 40;

    private static JobSpec spec(int number, String team, int tasks, String zone, boolean oneZone) {
        return JobSpecBuilder.service(number)
                .team(team)
                .tasks(tasks)
                .cpus(4)
                .zone(zone)
                .oneZone(oneZone)
                .allowsSpot(true)
                .build();
    }

    /**
     * Returns a cluster with booted machines and no controllers, so that only the test starts tasks of the given job.
     */
    private static SimulatedCluster clusterWith(JobSpec spec) {
        SimulatedCluster cluster = SimulatedCluster.started(1);
        cluster.submit(service(1, 8, 8));
        cluster.runFor(30);
        cluster.controllers.values().forEach(ControllerNode::crash);
        cluster.users.add(spec);
        return cluster;
    }

    private static Worker machineIn(SimulatedCluster cluster, String zone, int number) {
        return cluster.workers.values().stream()
                .filter(worker -> worker.zone().equals(zone))
                .skip(number)
                .findFirst()
                .orElseThrow();
    }

    private static void start(SimulatedCluster cluster, Worker worker, String task) {
        worker.handleCommands(WorkerMessages.directCommands(
                HIGH_TERM,
                worker.incarnation(),
                List.of(
                        new WorkerCommand(WorkerCommand.Kind.KILL, "job-1/0", 0, 0),
                        new WorkerCommand(WorkerCommand.Kind.RUN, task, 1, 0))));
        cluster.runFor(0.95); // the task has its image by then, and no lease has expired
    }

    private static void stopAll(SimulatedCluster cluster) {
        for (Worker worker : cluster.workers.values()) {
            for (var status : Heartbeat.read(worker.heartbeat()).tasks()) {
                worker.handleCommands(WorkerMessages.directCommands(
                        HIGH_TERM,
                        worker.incarnation(),
                        List.of(new WorkerCommand(WorkerCommand.Kind.KILL, status.taskId(), status.attempt(), 0))));
            }
        }
    }

    private static void assertDetected(SimulatedCluster cluster, String invariant) {
        assertTrue(
                cluster.violations.stream().anyMatch(v -> v.startsWith(invariant)),
                invariant + " was not detected, violations: " + cluster.violations);
    }

    @Test
    void aCheckThatFailsInARunningControllerIsDetected() {
        SimulatedCluster cluster = SimulatedCluster.started(1);
        cluster.runFor(5);
        assertEquals(List.of(), cluster.violations);
        cluster.leader()
                .coordinator
                .invariants()
                .violated(InvariantMonitor.Invariant.ONE_ASSIGNMENT_PER_TASK, "planted");
        cluster.runFor(1);
        assertDetected(cluster, "asserted");
    }

    @Test
    void aStartOfAClearedAttemptIsDetected() {
        SimulatedCluster cluster = clusterWith(spec(9, "free", 2, "za", false));
        stopAll(cluster);
        Worker worker = machineIn(cluster, "za", 0);
        start(cluster, worker, "job-9/0");
        stopAll(cluster);
        worker.handleCommands(WorkerMessages.directCommands(
                HIGH_TERM,
                worker.incarnation(),
                List.of(new WorkerCommand(WorkerCommand.Kind.CLEAR, "job-9/0", 1, 0))));
        assertEquals(List.of(), cluster.violations);
        start(cluster, worker, "job-9/0");
        assertDetected(cluster, "started_again");
    }

    @Test
    void aTaskInTheWrongZoneIsDetected() {
        SimulatedCluster cluster = clusterWith(spec(9, "free", 2, "za", false));
        stopAll(cluster);
        start(cluster, machineIn(cluster, "zb", 0), "job-9/0");
        assertDetected(cluster, "wrong_place");
    }

    @Test
    void tasksSplitAcrossZonesAreDetected() {
        SimulatedCluster cluster = clusterWith(spec(9, "free", 2, null, true));
        stopAll(cluster);
        start(cluster, machineIn(cluster, "za", 0), "job-9/0");
        assertEquals(List.of(), cluster.violations);
        start(cluster, machineIn(cluster, "zb", 0), "job-9/1");
        assertDetected(cluster, "wrong_place");
    }

    @Test
    void aTeamOverItsLimitIsDetected() {
        SimulatedCluster cluster =
                clusterWith(spec(9, "blue", 7, null, false)); // 28 CPUs, above the team's limit of 24
        stopAll(cluster);
        for (int i = 0; i < 7 && cluster.violations.isEmpty(); i++) {
            start(cluster, machineIn(cluster, i % 4 < 2 ? "za" : "zb", i % 2), "job-9/" + i);
        }
        assertDetected(cluster, "quota");
    }

    @Test
    void aTaskRunningTwiceIsDetected() {
        SimulatedCluster cluster = clusterWith(spec(9, "free", 1, null, false));
        stopAll(cluster);
        start(cluster, machineIn(cluster, "za", 0), "job-9/0");
        start(cluster, machineIn(cluster, "zb", 0), "job-9/0");
        assertDetected(cluster, "ran_twice");
    }

    @Test
    void aGangStartBeforeItsAssignmentsAreStoredIsDetected() {
        SimulatedCluster cluster = clusterWith(spec(9, "free", 1, null, false));
        JobSpec gang = JobSpecBuilder.gang(10).tasks(2).runS(5).build();
        List<String> detected = new ArrayList<>();
        new GangStartCheck(cluster.store, id -> gang)
                .checkStarts(
                        WorkerMessages.directCommands(
                                HIGH_TERM, 1, List.of(new WorkerCommand(WorkerCommand.Kind.RUN, "job-10/0", 1, 0))),
                        detected);
        assertEquals(1, detected.size());
        assertTrue(detected.get(0).startsWith("started_early"), detected::toString);
    }

    @Test
    void aJobStateThatGoesBackIsDetected() {
        SimulatedCluster cluster = clusterWith(spec(9, "free", 2, null, false));
        SimulatedUser user = cluster.users.get("job-9");
        cluster.users.handleResponse(
                user, RequestKind.STATUS, cluster.now, 200, UserMessages.jobState("job-9", "done", 2, 0));
        assertEquals(List.of(), cluster.violations);
        cluster.users.handleResponse(
                user, RequestKind.STATUS, cluster.now + 1, 200, UserMessages.jobState("job-9", "running", 1, 1));
        assertDetected(cluster, "went_back");
    }

    @Test
    void aJobReportedDoneTooEarlyIsDetected() {
        SimulatedCluster cluster = clusterWith(spec(9, "free", 2, null, false));
        cluster.users.handleResponse(
                cluster.users.get("job-9"),
                RequestKind.STATUS,
                cluster.now,
                200,
                UserMessages.jobState("job-9", "done", 1, 0));
        assertDetected(cluster, "not_done");
    }

    @Test
    void aStartAfterAConfirmedCancellationIsDetected() {
        SimulatedCluster cluster = clusterWith(spec(9, "free", 1, null, false));
        stopAll(cluster);
        SimulatedUser user = cluster.users.get("job-9");
        user.cancelRequested = true;
        cluster.users.handleResponse(
                user, RequestKind.CANCEL, cluster.now, 200, UserMessages.jobState("job-9", "cancelled", 0, 0));
        start(cluster, machineIn(cluster, "za", 0), "job-9/0");
        assertDetected(cluster, "ran_cancelled");
    }

    @Test
    void aJobPendingBesideFreeCapacityIsDetected() {
        SimulatedCluster cluster = SimulatedCluster.started(1);
        cluster.submit(service(1, 1, 2));
        cluster.runFor(30);
        SimulatedUser user = cluster.users.add(
                spec(9, "free", 1, null, false)); // no controller knows the job, as if its record were lost
        user.accepted = true;
        cluster.faults.endedAt = cluster.now;
        for (int i = 0; i < 100 && cluster.violations.isEmpty(); i++) {
            user.lastResponseAt = cluster.now;
            cluster.runFor(1);
        }
        assertDetected(cluster, "waiting");
    }
}
