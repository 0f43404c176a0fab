package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.coordination.Workloads.array;
import static stileferry.coordination.Workloads.service;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stileferry.standin.Worker;

/** Machines and controllers that are dead, partitioned, or reached in one direction only. */
class UnreachableMachinesTest {
    /**
     * Heartbeats arrive, but answers and commands do not: the machine gets no more work, its services run elsewhere,
     * then it is deleted.
     */
    @Test
    void aMachineWithInboundLossIsCordonedAndDeleted() {
        SimulatedCluster cluster = SimulatedCluster.started(31);
        for (int i = 0; i < 6; i++) {
            cluster.submit(service(i, 2, 3));
        }
        cluster.runFor(25);
        String machine = cluster.tasks.busyMachine();
        Worker unreachable = cluster.workers.get(SimulatedMachines.address(machine));
        List<SimulatedUser> there = cluster.users.values().stream()
                .filter(u -> cluster.tasks.machinesOf(u).contains(machine))
                .toList();
        assertFalse(there.isEmpty());
        cluster.faults.inboundLoss.add(unreachable.address());
        cluster.cancel(there.get(0));
        cluster.runFor(10); // the worker's own lease
        for (int i = 10; i < 16; i++) {
            cluster.submit(service(i, 1, 1));
        }
        cluster.runFor(20);
        for (SimulatedUser user : cluster.users.values()) {
            assertFalse(
                    cluster.tasks.machinesOf(user).contains(machine),
                    user.spec.id() + " is on a machine that hears nothing");
            assertTrue(
                    user.cancelRequested || !cluster.tasks.machinesOf(user).isEmpty(),
                    user.spec.id() + " runs nowhere");
        }
        cluster.runFor(50);
        assertFalse(cluster.cloud.runningMachines().contains(machine), "it is of no use and costs money");
        assertEquals(List.of(), cluster.violations);
    }

    /** A copy of a heartbeat is no sign of life: its machine may be gone, and a new leader can't know that. */
    @Test
    void duplicatedHeartbeatsDoNotKeepADeadMachineAlive() {
        SimulatedCluster cluster = SimulatedCluster.started(32);
        cluster.submit(service(1, 2, 3));
        cluster.runFor(20);
        String machine = cluster.tasks.busyMachine();
        var report = cluster.workers.get(SimulatedMachines.address(machine)).heartbeat();
        ControllerNode first = cluster.leader();
        cluster.cloud.reclaim(machine);
        first.crash();
        cluster.runFor(6);
        ControllerNode second = cluster.leader();
        assertTrue(second != null && second != first);
        for (int i = 0; i < 30; i++) {
            cluster.machines.deliverDuplicate(report, second);
            cluster.runFor(1);
        }
        assertEquals(2, cluster.tasks.running(), "copies kept tasks waiting for a dead machine");
        assertEquals(List.of(), cluster.violations);
    }

    /** Whether it led or not, it starts nothing, says so at once, and its workers go to the next leader. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aPartitionedControllerHandsItsWorkersOver(boolean leads) {
        SimulatedCluster cluster = SimulatedCluster.started(33);
        cluster.submit(service(1, 3, 3));
        cluster.runFor(25);
        ControllerNode node = cluster.controllers.values().stream()
                .filter(n -> n.coordinator.leads() == leads)
                .findFirst()
                .orElseThrow();
        int ended = cluster.tasks.ends;
        cluster.faults.partitionedFromControlPlane.add(node.name());
        cluster.runFor(60); // six leases
        assertEquals(ended, cluster.tasks.ends, "no task was lost");
        assertFalse(node.coordinator.leads(), "it learns from its workers that another leads");
        ControllerNode other = cluster.leader();
        assertTrue(other != null && other != node);
        cluster.submit(array(2, 6, 3));
        cluster.runFor(40);
        assertEquals("done", cluster.users.get("job-2").endState, "the others serve on");
        assertEquals(List.of(), cluster.violations);
    }

    /** Tasks of a spot instance that was reclaimed without notice need not wait for its whole lease. */
    @Test
    void aSpotInstanceReclaimedWithoutNoticeIsReplacedBeforeLeaseExpiry() {
        SimulatedCluster cluster = SimulatedCluster.started(37);
        cluster.submit(array(1, 12, 200));
        cluster.runFor(25);
        assertEquals(12, cluster.tasks.running());
        String machine = cluster.tasks.busyMachine();
        cluster.cloud.reclaim(machine);
        int left = cluster.tasks.running();
        assertTrue(left < 12);
        cluster.runFor(9); // the lease is 10 s, and the expiry is noticed a little later
        assertFalse(cluster.cloud.runningMachines().contains(machine));
        cluster.runFor(5.5); // another boots for 5 s
        assertEquals(12, cluster.tasks.running(), "the lost tasks run again");
        assertEquals(List.of(), cluster.violations);
    }

    /** Services of an on-demand machine that died need not wait for its whole lease either. */
    @Test
    void aDeadOnDemandMachineIsReplacedBeforeLeaseExpiry() {
        SimulatedCluster cluster = SimulatedCluster.started(42, 5, 6, 40);
        cluster.submit(service(1, 8, 2));
        cluster.runFor(50);
        assertEquals(8, cluster.tasks.running());
        cluster.cloud.reclaim(cluster.tasks.busyMachine());
        assertTrue(cluster.tasks.running() < 8);
        cluster.runFor(24); // the lease is 30 s, and another boots for 5 s
        assertEquals(8, cluster.tasks.running(), "the lost replicas run again");
        assertEquals(List.of(), cluster.violations);
    }

    /** A machine that reaches the leader by way of another controller, after a short partition, is kept. */
    @Test
    void aShortPartitionCostsNoMachine() {
        SimulatedCluster cluster = SimulatedCluster.started(38);
        cluster.submit(array(1, 12, 200));
        cluster.runFor(25);
        String machine = cluster.tasks.busyMachine();
        cluster.faults.partition(SimulatedMachines.address(machine), 3000);
        int ended = cluster.tasks.ends;
        cluster.runFor(20);
        assertEquals(ended, cluster.tasks.ends);
        assertTrue(cluster.cloud.runningMachines().contains(machine));
    }
}
