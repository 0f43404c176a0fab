package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.coordination.Workloads.array;

import java.util.List;
import org.junit.jupiter.api.Test;
import stileferry.protocol.JobSpec;

/**
 * Tests failovers during a partition: the last heartbeats that the former leader journalled prove that leases expired.
 */
class LastHeartbeatJournalTest {
    /**
     * The leader crashes while a zone is partitioned. The new leader must not wait for a full lease of the zone's
     * machines again, since their services would run nowhere for that long.
     */
    @Test
    void aFailoverDuringAZonePartitionDoesNotRestartLeases() {
        SimulatedCluster cluster = SimulatedCluster.started(39);
        Workloads.submitServices(cluster, 4);
        cluster.runFor(25);
        assertEquals(8, cluster.tasks.running());
        String zone = cluster.machines.zoneOf(cluster.tasks.busyMachine());
        cluster.faults.partitionZone(zone, 30_000);
        cluster.runFor(5);
        ControllerNode firstLeader = cluster.leader();
        cluster.faults.restart(firstLeader, 5000);
        // the lease of 10 s counts from the last heartbeat with a response; then another machine has to boot
        cluster.runFor(13);
        assertTrue(cluster.leader() != firstLeader);
        assertEquals(8, cluster.tasks.running(), "the zone's services must run in the other zone");
        cluster.runFor(30);
        assertEquals(8, cluster.tasks.running());
        assertEquals(List.of(), cluster.violations);
    }

    /**
     * A new leader that has received no heartbeat from the machines of a partitioned zone must not take them for
     * machines that failed to boot, delete them all, and scale out in the unreachable zone.
     */
    @Test
    void aNewLeaderKeepsTheMachinesOfAPartitionedZone() {
        SimulatedCluster cluster = SimulatedCluster.started(41, 9, 2, 40);
        Workloads.submitServices(cluster, 14);
        cluster.runFor(60);
        List<String> runningMachines = cluster.cloud.runningMachines();
        String zone = runningMachines.stream()
                                .filter(m -> cluster.machines.zoneOf(m).equals("za"))
                                .count()
                        > runningMachines.size() / 2
                ? "za"
                : "zb";
        List<String> machines = runningMachines.stream()
                .filter(m -> cluster.machines.zoneOf(m).equals(zone))
                .toList();
        assertTrue(machines.size() >= 3, runningMachines + " are running, too few of them in one zone");
        cluster.faults.partitionZone(zone, 24_000);
        cluster.runFor(4);
        cluster.faults.restart(cluster.leader(), 5000);
        cluster.runFor(10);
        cluster.submit(array(20, "any", JobSpec.Priority.IDLE, 30, 60));
        cluster.runFor(8);
        for (SimulatedUser user : cluster.users.values()) {
            assertTrue(
                    !user.spec.isService() || !cluster.tasks.machinesOf(user).isEmpty(),
                    "the zone's services must run in the other zone");
        }
        assertTrue(
                cluster.cloud.runningMachines().containsAll(machines),
                "the machines must still exist when the partition ends");
        assertEquals(
                machines,
                cluster.cloud.runningMachines().stream()
                        .filter(m -> cluster.machines.zoneOf(m).equals(zone))
                        .toList(),
                "no scale-out in an unreachable zone");
        cluster.runFor(10);
        assertEquals(List.of(), cluster.violations);
    }

    /**
     * A machine that got a response after a silence has a new lease; the journalled last heartbeat is no longer valid.
     */
    @Test
    void aSilenceThatEndedProvesNoLeaseExpiry() {
        SimulatedCluster cluster = SimulatedCluster.started(40, 9, 2, 40);
        Workloads.submitServices(cluster, 14);
        cluster.runFor(25);
        String zone = cluster.machines.zoneOf(cluster.tasks.busyMachine());
        int endsBefore = cluster.tasks.ends;
        cluster.faults.partitionZone(zone, 7000);
        cluster.runFor(9.5);
        assertEquals(endsBefore, cluster.tasks.ends, "no task may be lost in the first partition");
        cluster.faults.partitionZone(zone, 25_000);
        cluster.leader().crash();
        cluster.runFor(60);
        assertEquals(List.of(), cluster.violations);
        assertTrue(cluster.tasks.ends > endsBefore, "the second partition is longer than a lease, so tasks must end");
        assertEquals(28, cluster.tasks.running());
    }

    /**
     * No heartbeat gets a response, so a new incarnation is seen only in responses to commands. Its lease must not be
     * taken for expired together with that of the previous incarnation.
     */
    @Test
    void aNewIncarnationHasALeaseOfItsOwn() {
        SimulatedCluster cluster = SimulatedCluster.started(43, 9, 2, 40);
        Workloads.submitServices(cluster, 14);
        cluster.runFor(25);
        cluster.faults.partitionZone(cluster.machines.zoneOf(cluster.tasks.busyMachine()), 7000);
        cluster.runFor(4.5); // the last heartbeats are journalled by now
        cluster.faults.storeDown = true; // so nothing can be journalled from now on
        cluster.runFor(12);
        cluster.faults.endStoreOutage();
        cluster.runFor(20);
        assertEquals(List.of(), cluster.violations);
        assertEquals(28, cluster.tasks.running());
    }
}
