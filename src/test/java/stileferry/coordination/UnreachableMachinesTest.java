package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.coordination.InvariantsUnderFaultsTest.array;
import static stileferry.coordination.InvariantsUnderFaultsTest.restart;
import static stileferry.coordination.InvariantsUnderFaultsTest.service;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stileferry.protocol.JobSpec;
import stileferry.standin.Worker;

/** Machines and controllers that are silent, hear nothing or are cut off. */
class UnreachableMachinesTest {
    /**
     * Reports arrive, but answers and commands do not: no more work there, its services elsewhere, then it is
     * returned.
     */
    @Test
    void aMachineThatHearsNothingGetsNoWork() {
        SimulatedCluster cluster = new SimulatedCluster(31);
        cluster.runFor(3);
        for (int i = 0; i < 6; i++) {
            cluster.submit(service(i, 2, 3));
        }
        cluster.runFor(25);
        String machine = cluster.tasks.machineInUse();
        Worker deaf = cluster.workers.get("w-" + machine + ":1");
        List<SimulatedUser> there = cluster.users.values().stream()
                .filter(u -> cluster.tasks.machinesOf(u).contains(machine))
                .toList();
        assertFalse(there.isEmpty());
        cluster.faults.inboundLoss.add(deaf.address());
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

    /** A copy of a report is no sign of life: the machine it tells of may be gone, and a new leader can't know that. */
    @Test
    void lateCopiesMakeNoDeadMachineLookFit() {
        SimulatedCluster cluster = new SimulatedCluster(32);
        cluster.runFor(3);
        cluster.submit(service(1, 2, 3));
        cluster.runFor(20);
        String machine = cluster.tasks.machineInUse();
        var report = cluster.workers.get("w-" + machine + ":1").heartbeat();
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

    /** It may have led or not: it starts nothing, says so at once, and its workers go to the next leader. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aControllerWithItsWorkersOnlyHandsThemOver(boolean leader) {
        SimulatedCluster cluster = new SimulatedCluster(33);
        cluster.runFor(3);
        cluster.submit(service(1, 3, 3));
        cluster.runFor(25);
        ControllerNode node = cluster.controllers.values().stream()
                .filter(n -> n.coordinator.leads() == leader)
                .findFirst()
                .orElseThrow();
        int ended = cluster.tasks.ends;
        cluster.faults.partitionedFromControlPlane.add(node.settings.controllerName());
        cluster.runFor(60); // six leases
        assertEquals(ended, cluster.tasks.ends, "no task was lost");
        assertFalse(node.coordinator.leads(), "it learns from its workers that another leads");
        ControllerNode other = cluster.leader();
        assertTrue(other != null && other != node);
        cluster.submit(array(2, "any", JobSpec.Priority.NORMAL, 6, 3));
        cluster.runFor(40);
        assertEquals("done", cluster.users.get("job-2").endState, "the others serve on");
        assertEquals(List.of(), cluster.violations);
    }

    /** Found on the bench: tasks of spot machines taken without a word waited for a whole lease. */
    @Test
    void aSpotMachineTakenWithoutAWordIsGivenUpBeforeItsLease() {
        SimulatedCluster cluster = new SimulatedCluster(37);
        cluster.runFor(3);
        cluster.submit(array(1, "any", JobSpec.Priority.NORMAL, 12, 200));
        cluster.runFor(25);
        assertEquals(12, cluster.tasks.running());
        String machine = cluster.tasks.machineInUse();
        cluster.cloud.reclaim(machine);
        int left = cluster.tasks.running();
        assertTrue(left < 12);
        cluster.runFor(9); // the lease is 10 s, and a lapse takes a little longer
        assertFalse(cluster.cloud.runningMachines().contains(machine));
        cluster.runFor(5.5); // another boots for 5 s
        assertEquals(12, cluster.tasks.running(), "the lost tasks run again");
        assertEquals(List.of(), cluster.violations);
    }

    /**
     * Found on the bench: services of ordinary machines that died or hung waited for a whole lease, though spot work
     * did not.
     */
    @Test
    void anOrdinaryMachineThatDiesIsGivenUpBeforeItsLease() {
        SimulatedCluster cluster = new SimulatedCluster(42, 5, 6, 40);
        cluster.runFor(3);
        cluster.submit(service(1, 8, 2));
        cluster.runFor(50);
        assertEquals(8, cluster.tasks.running());
        cluster.cloud.reclaim(cluster.tasks.machineInUse());
        assertTrue(cluster.tasks.running() < 8);
        cluster.runFor(24); // the lease is 30 s, and another boots for 5 s
        assertEquals(8, cluster.tasks.running(), "the lost replicas run again");
        assertEquals(List.of(), cluster.violations);
    }

    /** Found on a day with a partition: machines on the detour by way of other controllers were given up. */
    @Test
    void aShortCutCostsNobodyAMachine() {
        SimulatedCluster cluster = new SimulatedCluster(38);
        cluster.runFor(3);
        cluster.submit(array(1, "any", JobSpec.Priority.NORMAL, 12, 200));
        cluster.runFor(25);
        String machine = cluster.tasks.machineInUse();
        cluster.faults.partition("w-" + machine + ":1", 3000);
        int ended = cluster.tasks.ends;
        cluster.runFor(20);
        assertEquals(ended, cluster.tasks.ends);
        assertTrue(cluster.cloud.runningMachines().contains(machine));
    }

    /**
     * Found on a day where the leader crashed while a zone was cut off: the new leader began to wait for the leases of
     * the zone's machines anew, and their services ran nowhere for that long.
     */
    @Test
    void aCrashDuringACutDoesNotBeginTheLeasesAnew() {
        SimulatedCluster cluster = new SimulatedCluster(39);
        cluster.runFor(3);
        for (int i = 0; i < 4; i++) {
            cluster.submit(service(i, 2, 2));
        }
        cluster.runFor(25);
        assertEquals(8, cluster.tasks.running());
        String zone = cluster.machines.zoneOf(cluster.tasks.machineInUse());
        cluster.faults.partitionZone(zone, 30_000);
        cluster.runFor(5);
        ControllerNode first = cluster.leader();
        restart(cluster, first, 5000);
        cluster.runFor(
                13); // the lease is 10 s and counts from the last report that was answered; then a machine has to boot
        assertTrue(cluster.leader() != first);
        assertEquals(8, cluster.tasks.running(), "services of the zone run elsewhere");
        cluster.runFor(30);
        assertEquals(8, cluster.tasks.running());
        assertEquals(List.of(), cluster.violations);
    }

    /**
     * Found on the same day: the new leader took the machines of the cut zone, which it had never heard, for ones that
     * never came up, returned them all, and rented others in the zone that nobody could reach.
     */
    @Test
    void aNewLeaderLeavesTheMachinesOfACutZoneAlone() {
        SimulatedCluster cluster = new SimulatedCluster(41, 9, 2, 40);
        cluster.runFor(3);
        for (int i = 0; i < 14; i++) {
            cluster.submit(service(i, 2, 2));
        }
        cluster.runFor(60);
        List<String> all = cluster.cloud.runningMachines();
        String zone = all.stream()
                                .filter(m -> cluster.machines.zoneOf(m).equals("za"))
                                .count()
                        > all.size() / 2
                ? "za"
                : "zb";
        List<String> machines = all.stream()
                .filter(m -> cluster.machines.zoneOf(m).equals(zone))
                .toList();
        assertTrue(machines.size() >= 3, all + " are up");
        cluster.faults.partitionZone(zone, 24_000);
        cluster.runFor(4);
        restart(cluster, cluster.leader(), 5000);
        cluster.runFor(10);
        cluster.submit(array(20, "any", JobSpec.Priority.IDLE, 30, 60));
        cluster.runFor(8);
        for (SimulatedUser user : cluster.users.values()) {
            assertTrue(
                    !user.spec.service() || !cluster.tasks.machinesOf(user).isEmpty(),
                    "services of the zone run elsewhere");
        }
        assertTrue(cluster.cloud.runningMachines().containsAll(machines), "they are there when the cut ends");
        assertEquals(
                machines,
                cluster.cloud.runningMachines().stream()
                        .filter(m -> cluster.machines.zoneOf(m).equals(zone))
                        .toList(),
                "nothing was rented in a zone that nobody can reach");
        cluster.runFor(10);
        assertEquals(List.of(), cluster.violations);
    }

    /** What makes the test above hold must not outlive its truth: after a silence that has ended, leases begin anew. */
    @Test
    void aSilenceThatEndedIsNoProofForTheNextLeader() {
        SimulatedCluster cluster = new SimulatedCluster(40, 9, 2, 40);
        cluster.runFor(3);
        for (int i = 0; i < 14; i++) {
            cluster.submit(service(i, 2, 2));
        }
        cluster.runFor(25);
        String zone = cluster.machines.zoneOf(cluster.tasks.machineInUse());
        int ended = cluster.tasks.ends;
        cluster.faults.partitionZone(zone, 7000);
        cluster.runFor(9.5);
        assertEquals(ended, cluster.tasks.ends, "nothing was lost so far");
        cluster.faults.partitionZone(zone, 25_000);
        cluster.leader().crash();
        cluster.runFor(60);
        assertEquals(List.of(), cluster.violations);
        assertTrue(cluster.tasks.ends > ended, "the second cut was longer than a lease");
        assertEquals(28, cluster.tasks.running());
    }

    /**
     * Found on a seeded day: a session seen only in answers to commands, since no report could be answered, was taken
     * for lapsed with the one before it.
     */
    @Test
    void aNewSessionHasALeaseOfItsOwn() {
        SimulatedCluster cluster = new SimulatedCluster(43, 9, 2, 40);
        cluster.runFor(3);
        for (int i = 0; i < 14; i++) {
            cluster.submit(service(i, 2, 2));
        }
        cluster.runFor(25);
        cluster.faults.partitionZone(cluster.machines.zoneOf(cluster.tasks.machineInUse()), 7000);
        cluster.runFor(4.5); // their silence is noted by now
        cluster.faults.storeDown = true; // so nothing can be noted any more
        cluster.runFor(12);
        cluster.faults.storeDown = false;
        cluster.state.renewAllLeases(cluster.now);
        cluster.runFor(20);
        assertEquals(List.of(), cluster.violations);
        assertEquals(28, cluster.tasks.running());
    }
}
