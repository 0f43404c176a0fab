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
        SimulatedCluster w = new SimulatedCluster(31);
        w.play(3);
        for (int i = 0; i < 6; i++) {
            w.submit(service(i, 2, 3));
        }
        w.play(25);
        String machine = w.machineInUse();
        Worker deaf = w.workers.get("w-" + machine + ":1");
        List<SimulatedCluster.User> there = w.users.values().stream()
                .filter(u -> w.machinesOf(u).contains(machine))
                .toList();
        assertFalse(there.isEmpty());
        w.deaf.add(deaf.address());
        w.cancel(there.get(0));
        w.play(10); // the worker's own lease
        for (int i = 10; i < 16; i++) {
            w.submit(service(i, 1, 1));
        }
        w.play(20);
        for (SimulatedCluster.User user : w.users.values()) {
            assertFalse(w.machinesOf(user).contains(machine), user.spec.id() + " is on a machine that hears nothing");
            assertTrue(user.wantsCancel || !w.machinesOf(user).isEmpty(), user.spec.id() + " runs nowhere");
        }
        w.play(50);
        assertFalse(w.cloud.runningMachines().contains(machine), "it is of no use and costs money");
        assertEquals(List.of(), w.violations);
    }

    /** A copy of a report is no sign of life: the machine it tells of may be gone, and a new leader can't know that. */
    @Test
    void lateCopiesMakeNoDeadMachineLookFit() {
        SimulatedCluster w = new SimulatedCluster(32);
        w.play(3);
        w.submit(service(1, 2, 3));
        w.play(20);
        String machine = w.machineInUse();
        var report = w.workers.get("w-" + machine + ":1").heartbeat();
        SimulatedCluster.Node first = w.leader();
        w.cloud.reclaim(machine);
        first.crash();
        w.play(6);
        SimulatedCluster.Node second = w.leader();
        assertTrue(second != null && second != first);
        for (int i = 0; i < 30; i++) {
            w.copy(report, second);
            w.play(1);
        }
        assertEquals(2, w.running(), "copies kept tasks waiting for a dead machine");
        assertEquals(List.of(), w.violations);
    }

    /** It may have led or not: it starts nothing, says so at once, and its workers go to the next leader. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aControllerWithItsWorkersOnlyHandsThemOver(boolean leader) {
        SimulatedCluster w = new SimulatedCluster(33);
        w.play(3);
        w.submit(service(1, 3, 3));
        w.play(25);
        SimulatedCluster.Node node = w.nodes.values().stream()
                .filter(n -> n.coordinator.leads() == leader)
                .findFirst()
                .orElseThrow();
        int ended = w.ended;
        w.alone.add(node.settings.controllerName());
        w.play(60); // six leases
        assertEquals(ended, w.ended, "no task was lost");
        assertFalse(node.coordinator.leads(), "it learns from its workers that another leads");
        SimulatedCluster.Node other = w.leader();
        assertTrue(other != null && other != node);
        w.submit(array(2, "any", JobSpec.Priority.NORMAL, 6, 3));
        w.play(40);
        assertEquals("done", w.users.get("job-2").end, "the others serve on");
        assertEquals(List.of(), w.violations);
    }

    /** Found on the bench: tasks of spot machines taken without a word waited for a whole lease. */
    @Test
    void aSpotMachineTakenWithoutAWordIsGivenUpBeforeItsLease() {
        SimulatedCluster w = new SimulatedCluster(37);
        w.play(3);
        w.submit(array(1, "any", JobSpec.Priority.NORMAL, 12, 200));
        w.play(25);
        assertEquals(12, w.running());
        String machine = w.machineInUse();
        w.cloud.reclaim(machine);
        int left = w.running();
        assertTrue(left < 12);
        w.play(9); // the lease is 10 s, and a lapse takes a little longer
        assertFalse(w.cloud.runningMachines().contains(machine));
        w.play(5.5); // another boots for 5 s
        assertEquals(12, w.running(), "the lost tasks run again");
        assertEquals(List.of(), w.violations);
    }

    /**
     * Found on the bench: services of ordinary machines that died or hung waited for a whole lease, though spot work
     * did not.
     */
    @Test
    void anOrdinaryMachineThatDiesIsGivenUpBeforeItsLease() {
        SimulatedCluster w = new SimulatedCluster(42, 5, 6, 40);
        w.play(3);
        w.submit(service(1, 8, 2));
        w.play(50);
        assertEquals(8, w.running());
        w.cloud.reclaim(w.machineInUse());
        assertTrue(w.running() < 8);
        w.play(24); // the lease is 30 s, and another boots for 5 s
        assertEquals(8, w.running(), "the lost replicas run again");
        assertEquals(List.of(), w.violations);
    }

    /** Found on a day with a partition: machines on the detour by way of other controllers were given up. */
    @Test
    void aShortCutCostsNobodyAMachine() {
        SimulatedCluster w = new SimulatedCluster(38);
        w.play(3);
        w.submit(array(1, "any", JobSpec.Priority.NORMAL, 12, 200));
        w.play(25);
        String machine = w.machineInUse();
        w.cut("w-" + machine + ":1", 3000);
        int ended = w.ended;
        w.play(20);
        assertEquals(ended, w.ended);
        assertTrue(w.cloud.runningMachines().contains(machine));
    }

    /**
     * Found on a day where the leader crashed while a zone was cut off: the new leader began to wait for the leases of
     * the zone's machines anew, and their services ran nowhere for that long.
     */
    @Test
    void aCrashDuringACutDoesNotBeginTheLeasesAnew() {
        SimulatedCluster w = new SimulatedCluster(39);
        w.play(3);
        for (int i = 0; i < 4; i++) {
            w.submit(service(i, 2, 2));
        }
        w.play(25);
        assertEquals(8, w.running());
        String zone = w.zoneOf(w.machineInUse());
        w.cutZone(zone, 30_000);
        w.play(5);
        SimulatedCluster.Node first = w.leader();
        restart(w, first, 5000);
        w.play(13); // the lease is 10 s and counts from the last report that was answered; then a machine has to boot
        assertTrue(w.leader() != first);
        assertEquals(8, w.running(), "services of the zone run elsewhere");
        w.play(30);
        assertEquals(8, w.running());
        assertEquals(List.of(), w.violations);
    }

    /**
     * Found on the same day: the new leader took the machines of the cut zone, which it had never heard, for ones that
     * never came up, returned them all, and rented others in the zone that nobody could reach.
     */
    @Test
    void aNewLeaderLeavesTheMachinesOfACutZoneAlone() {
        SimulatedCluster w = new SimulatedCluster(41, 9, 2, 40);
        w.play(3);
        for (int i = 0; i < 14; i++) {
            w.submit(service(i, 2, 2));
        }
        w.play(60);
        List<String> all = w.cloud.runningMachines();
        String zone = all.stream().filter(m -> w.zoneOf(m).equals("za")).count() > all.size() / 2 ? "za" : "zb";
        List<String> machines =
                all.stream().filter(m -> w.zoneOf(m).equals(zone)).toList();
        assertTrue(machines.size() >= 3, all + " are up");
        w.cutZone(zone, 24_000);
        w.play(4);
        restart(w, w.leader(), 5000);
        w.play(10);
        w.submit(array(20, "any", JobSpec.Priority.IDLE, 30, 60));
        w.play(8);
        for (SimulatedCluster.User user : w.users.values()) {
            assertTrue(!user.spec.service() || !w.machinesOf(user).isEmpty(), "services of the zone run elsewhere");
        }
        assertTrue(w.cloud.runningMachines().containsAll(machines), "they are there when the cut ends");
        assertEquals(
                machines,
                w.cloud.runningMachines().stream()
                        .filter(m -> w.zoneOf(m).equals(zone))
                        .toList(),
                "nothing was rented in a zone that nobody can reach");
        w.play(10);
        assertEquals(List.of(), w.violations);
    }

    /** What makes the test above hold must not outlive its truth: after a silence that has ended, leases begin anew. */
    @Test
    void aSilenceThatEndedIsNoProofForTheNextLeader() {
        SimulatedCluster w = new SimulatedCluster(40, 9, 2, 40);
        w.play(3);
        for (int i = 0; i < 14; i++) {
            w.submit(service(i, 2, 2));
        }
        w.play(25);
        String zone = w.zoneOf(w.machineInUse());
        int ended = w.ended;
        w.cutZone(zone, 7000);
        w.play(9.5);
        assertEquals(ended, w.ended, "nothing was lost so far");
        w.cutZone(zone, 25_000);
        w.leader().crash();
        w.play(60);
        assertEquals(List.of(), w.violations);
        assertTrue(w.ended > ended, "the second cut was longer than a lease");
        assertEquals(28, w.running());
    }

    /**
     * Found on a seeded day: a session seen only in answers to commands, since no report could be answered, was taken
     * for lapsed with the one before it.
     */
    @Test
    void aNewSessionHasALeaseOfItsOwn() {
        SimulatedCluster w = new SimulatedCluster(43, 9, 2, 40);
        w.play(3);
        for (int i = 0; i < 14; i++) {
            w.submit(service(i, 2, 2));
        }
        w.play(25);
        w.cutZone(w.zoneOf(w.machineInUse()), 7000);
        w.play(4.5); // their silence is noted by now
        w.stateDown = true; // so nothing can be noted any more
        w.play(12);
        w.stateDown = false;
        w.state.renewAllLeases(w.now);
        w.play(20);
        assertEquals(List.of(), w.violations);
        assertEquals(28, w.running());
    }
}
