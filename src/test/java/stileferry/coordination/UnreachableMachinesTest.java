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

/** Tests machines and controllers that have crashed, are partitioned, or are reachable in one direction only. */
class UnreachableMachinesTest {
    /**
     * The machine's heartbeats arrive, but responses and commands don't reach it: it gets no new work, its services are
     * restarted elsewhere, and it is deleted.
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
        List<SimulatedUser> usersOnMachine = cluster.users.values().stream()
                .filter(u -> cluster.tasks.machinesOf(u).contains(machine))
                .toList();
        assertFalse(usersOnMachine.isEmpty());
        cluster.faults.inboundLoss.add(unreachable.address());
        cluster.cancel(usersOnMachine.get(0));
        cluster.runFor(10); // until the worker's lease has expired
        for (int i = 10; i < 16; i++) {
            cluster.submit(service(i, 1, 1));
        }
        cluster.runFor(20);
        for (SimulatedUser user : cluster.users.values()) {
            assertFalse(
                    cluster.tasks.machinesOf(user).contains(machine), user.spec.id() + " is on an unreachable machine");
            assertTrue(
                    user.cancelRequested || !cluster.tasks.machinesOf(user).isEmpty(),
                    user.spec.id() + " has no running task");
        }
        cluster.runFor(50);
        assertFalse(
                cluster.cloud.runningMachines().contains(machine),
                "an unusable machine must be deleted, since it costs money");
        assertEquals(List.of(), cluster.violations);
    }

    /** A duplicated heartbeat is no sign of life: its machine may be gone, which a new leader can't know. */
    @Test
    void duplicatedHeartbeatsDoNotKeepADeadMachineAlive() {
        SimulatedCluster cluster = SimulatedCluster.started(32);
        cluster.submit(service(1, 2, 3));
        cluster.runFor(20);
        String machine = cluster.tasks.busyMachine();
        var heartbeat = cluster.workers.get(SimulatedMachines.address(machine)).heartbeat();
        ControllerNode firstLeader = cluster.leader();
        cluster.cloud.reclaim(machine);
        firstLeader.crash();
        cluster.runFor(6);
        ControllerNode secondLeader = cluster.leader();
        assertTrue(secondLeader != null && secondLeader != firstLeader);
        for (int i = 0; i < 30; i++) {
            cluster.machines.deliverDuplicate(heartbeat, secondLeader);
            cluster.runFor(1);
        }
        assertEquals(
                2, cluster.tasks.running(), "duplicated heartbeats must not keep tasks assigned to a failed machine");
        assertEquals(List.of(), cluster.violations);
    }

    /**
     * A partitioned controller, leader or follower, starts no tasks and reports that to its workers immediately. They
     * move to the next leader, and no task is lost.
     */
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
        int endsBefore = cluster.tasks.ends;
        cluster.faults.partitionedFromControlPlane.add(node.name());
        cluster.runFor(60); // six leases
        assertEquals(endsBefore, cluster.tasks.ends, "no task may be lost");
        assertFalse(node.coordinator.leads(), "it must learn from its workers that another controller leads");
        ControllerNode newLeader = cluster.leader();
        assertTrue(newLeader != null && newLeader != node);
        cluster.submit(array(2, 6, 3));
        cluster.runFor(40);
        assertEquals("done", cluster.users.get("job-2").endState, "the other controllers must keep serving requests");
        assertEquals(List.of(), cluster.violations);
    }

    /** A spot instance that was reclaimed without notice is replaced before its lease expires. */
    @Test
    void aSpotInstanceReclaimedWithoutNoticeIsReplacedBeforeLeaseExpiry() {
        SimulatedCluster cluster = SimulatedCluster.started(37);
        cluster.submit(array(1, 12, 200));
        cluster.runFor(25);
        assertEquals(12, cluster.tasks.running());
        String machine = cluster.tasks.busyMachine();
        cluster.cloud.reclaim(machine);
        int remaining = cluster.tasks.running();
        assertTrue(remaining < 12);
        cluster.runFor(9); // the lease is 10 s, and its expiry would be detected somewhat later
        assertFalse(cluster.cloud.runningMachines().contains(machine));
        cluster.runFor(5.5); // the replacement takes 5 s to boot
        assertEquals(12, cluster.tasks.running(), "the lost tasks must run again");
        assertEquals(List.of(), cluster.violations);
    }

    /** A failed on-demand machine is replaced before its lease expires, too. */
    @Test
    void aDeadOnDemandMachineIsReplacedBeforeLeaseExpiry() {
        SimulatedCluster cluster = SimulatedCluster.started(42, 5, 6, 40);
        cluster.submit(service(1, 8, 2));
        cluster.runFor(50);
        assertEquals(8, cluster.tasks.running());
        cluster.cloud.reclaim(cluster.tasks.busyMachine());
        assertTrue(cluster.tasks.running() < 8);
        cluster.runFor(24); // the lease is 30 s, and the replacement takes 5 s to boot
        assertEquals(8, cluster.tasks.running(), "the lost replicas must run again");
        assertEquals(List.of(), cluster.violations);
    }

    /** A machine that reaches the leader through another controller after a short partition is not deleted. */
    @Test
    void aShortPartitionCostsNoMachine() {
        SimulatedCluster cluster = SimulatedCluster.started(38);
        cluster.submit(array(1, 12, 200));
        cluster.runFor(25);
        String machine = cluster.tasks.busyMachine();
        cluster.faults.partition(SimulatedMachines.address(machine), 3000);
        int endsBefore = cluster.tasks.ends;
        cluster.runFor(20);
        assertEquals(endsBefore, cluster.tasks.ends);
        assertTrue(cluster.cloud.runningMachines().contains(machine));
    }
}
