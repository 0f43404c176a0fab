package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.coordination.Workloads.service;

import java.util.List;
import org.junit.jupiter.api.Test;
import stileferry.standin.Worker;

/** Tests that the invariant checks detect violations by crashed controllers and by workers that ignore their leases. */
class InvariantChecksUnderFaultsTest {
    /** After all controllers have crashed, users get no responses about their jobs. */
    @Test
    void aForgottenJobIsDetected() {
        SimulatedCluster cluster = SimulatedCluster.started(35);
        cluster.submit(service(1, 1, 1));
        cluster.runFor(10);
        cluster.controllers.values().forEach(ControllerNode::crash);
        cluster.faults.endedAt = cluster.now;
        cluster.runFor(74);
        assertEquals(List.of(), cluster.violations);
        cluster.runFor(6);
        assertTrue(cluster.violations.stream().anyMatch(v -> v.startsWith("forgotten")), "not detected");
    }

    /** A worker keeps its tasks after its lease has expired, although controllers rely on their end. */
    @Test
    void aTaskThatOutlivesItsLeaseIsDetected() {
        SimulatedCluster cluster = SimulatedCluster.started(100, 9, 2, 40);
        Workloads.submitServices(cluster, 12);
        cluster.runFor(15);
        Worker worker = cluster.workers.get(SimulatedMachines.address(cluster.tasks.busyMachine()));
        worker.ignoreLeaseExpiry();
        cluster.faults.partitionZone(
                worker.zone(), 60_000); // the whole zone, since a single lost machine would be replaced and deleted
        cluster.runFor(40);
        assertTrue(
                cluster.violations.stream().anyMatch(v -> v.startsWith("ran_twice")),
                "ran_twice was not detected, violations: " + cluster.violations);
    }

    /** Workers that ignore their leases and receive no commands keep a cancelled task. */
    @Test
    void aTaskThatOutlivesItsCancellationIsDetected() {
        SimulatedCluster cluster = BusyCluster.withLongJobs(301);
        SimulatedUser user = cluster.users.get("job-0");
        cluster.workers.values().forEach(Worker::ignoreLeaseExpiry);
        cluster.faults.partitionZone(
                "za", 60_000); // whole zones, since single lost machines would be replaced and deleted
        cluster.faults.partitionZone("zb", 60_000);
        cluster.cancel(user);
        cluster.runFor(SimulatedCluster.CANCEL_S - 1);
        assertEquals(List.of(), cluster.violations);
        cluster.runFor(3);
        assertTrue(cluster.violations.stream().anyMatch(v -> v.startsWith("ran_cancelled")), "not detected");
    }
}
