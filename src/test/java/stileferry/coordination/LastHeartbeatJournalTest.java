package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.coordination.Workloads.array;

import java.util.List;
import org.junit.jupiter.api.Test;
import stileferry.protocol.JobSpec;

/** Failovers during a partition: what the former leader recorded of last heartbeats proves that leases expired. */
class LastHeartbeatJournalTest {
    /**
     * The leader crashes while a zone is partitioned: the new leader must not wait for the leases of the zone's
     * machines from the beginning, as their services run nowhere for that long.
     */
    @Test
    void aFailoverDuringAZonePartitionDoesNotRestartLeases() {
        SimulatedCluster cluster = SimulatedCluster.started(39);
        Workloads.submitServices(cluster, 4);
        cluster.runFor(25);
        assertEquals(8, cluster.tasks.running());
        String zone = cluster.machines.zoneOf(cluster.tasks.machineInUse());
        cluster.faults.partitionZone(zone, 30_000);
        cluster.runFor(5);
        ControllerNode first = cluster.leader();
        cluster.faults.restart(first, 5000);
        // the lease is 10 s and counts from the last heartbeat that was answered; then a machine has to boot
        cluster.runFor(13);
        assertTrue(cluster.leader() != first);
        assertEquals(8, cluster.tasks.running(), "services of the zone run elsewhere");
        cluster.runFor(30);
        assertEquals(8, cluster.tasks.running());
        assertEquals(List.of(), cluster.violations);
    }

    /**
     * A new leader that has never heard the machines of a partitioned zone must not take them for ones that never came
     * up, delete them all, and scale out in the zone that nobody can reach.
     */
    @Test
    void aNewLeaderKeepsTheMachinesOfAPartitionedZone() {
        SimulatedCluster cluster = SimulatedCluster.started(41, 9, 2, 40);
        Workloads.submitServices(cluster, 14);
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
        cluster.faults.restart(cluster.leader(), 5000);
        cluster.runFor(10);
        cluster.submit(array(20, "any", JobSpec.Priority.IDLE, 30, 60));
        cluster.runFor(8);
        for (SimulatedUser user : cluster.users.values()) {
            assertTrue(
                    !user.spec.isService() || !cluster.tasks.machinesOf(user).isEmpty(),
                    "services of the zone run elsewhere");
        }
        assertTrue(cluster.cloud.runningMachines().containsAll(machines), "they are there when the cut ends");
        assertEquals(
                machines,
                cluster.cloud.runningMachines().stream()
                        .filter(m -> cluster.machines.zoneOf(m).equals(zone))
                        .toList(),
                "nothing was scaled out in a zone that nobody can reach");
        cluster.runFor(10);
        assertEquals(List.of(), cluster.violations);
    }

    /** A machine that was silent and was answered again since has a new lease; the record of its silence is void. */
    @Test
    void aSilenceThatEndedProvesNoLeaseExpiry() {
        SimulatedCluster cluster = SimulatedCluster.started(40, 9, 2, 40);
        Workloads.submitServices(cluster, 14);
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
     * An incarnation seen only in answers to commands, since no heartbeat could be answered, must not be taken for
     * expired with the one before it.
     */
    @Test
    void aNewIncarnationHasALeaseOfItsOwn() {
        SimulatedCluster cluster = SimulatedCluster.started(43, 9, 2, 40);
        Workloads.submitServices(cluster, 14);
        cluster.runFor(25);
        cluster.faults.partitionZone(cluster.machines.zoneOf(cluster.tasks.machineInUse()), 7000);
        cluster.runFor(4.5); // their silence is recorded by now
        cluster.faults.storeDown = true; // so nothing can be recorded any more
        cluster.runFor(12);
        cluster.faults.endStoreOutage();
        cluster.runFor(20);
        assertEquals(List.of(), cluster.violations);
        assertEquals(28, cluster.tasks.running());
    }
}
