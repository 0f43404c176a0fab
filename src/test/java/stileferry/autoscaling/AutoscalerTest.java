package stileferry.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.cluster.TaskAssignment;
import stileferry.cluster.TestJob;
import stileferry.cluster.TestMachine;
import stileferry.coordination.ControllerNode;
import stileferry.coordination.SimulatedCluster;
import stileferry.coordination.SimulatedEnvironment;
import stileferry.heartbeat.EventLoopLag;
import stileferry.heartbeat.HeartbeatHandler;
import stileferry.leadership.FencingTokens;
import stileferry.links.LinkHealth;
import stileferry.protocol.JobSpecBuilder;
import stileferry.protocol.MachineType;

/** Checks when a new leader deletes machines that have not reported to it, or presumes them lost. */
class AutoscalerTest {
    private static final MachineType BOX = new MachineType("box", 8, 0, 32, 50, 1, 1, 0.4, 10, List.of("za"));
    private static final int SPOT_MACHINE_COUNT = 8;

    private SimulatedCluster simulation;
    private SimulatedEnvironment environment;
    private ClusterState cluster;
    private HeartbeatHandler heartbeatHandler;

    private void startLeader(long seed) {
        simulation = new SimulatedCluster(seed);
        ControllerNode node = simulation.controllers.get("n0");
        node.start();
        environment = node.environment;
        cluster = new ClusterState(node.settings);
        heartbeatHandler = new HeartbeatHandler(
                cluster, environment, null, new FencingTokens(1, 1), null, null, new EventLoopLag(environment, 1));
    }

    /** The cloud's list lags, so a machine missing from it may be a young one that reports at any moment. */
    @Test
    void unlistedMachineIsNotDeletedBeforeItCouldReport() {
        Autoscaler autoscaler = autoscalerWithUnlistedMachine();
        simulation.runFor(4);
        autoscaler.scaleIn(true);
        assertFalse(cluster.getOrAddMachine("host-000099").instance().terminating(), "it may still report");
    }

    @Test
    void unlistedMachineThatDoesNotReportIsDeleted() {
        Autoscaler autoscaler = autoscalerWithUnlistedMachine();
        simulation.runFor(4);
        autoscaler.scaleIn(true);
        simulation.runFor(20);
        autoscaler.scaleIn(true);
        assertTrue(
                cluster.getOrAddMachine("host-000099").instance().terminating(),
                "a machine that neither is listed nor reports must be deleted eventually");
    }

    private static Job acceptedJob(int tasks) {
        JobSpecBuilder spec = JobSpecBuilder.array(1)
                .team("red")
                .tasks(tasks)
                .allowsSpot(true)
                .runS(10);
        return TestJob.accepted(spec.build(), 1, 0);
    }

    private Autoscaler autoscalerWithUnlistedMachine() {
        startLeader(1);
        Autoscaler autoscaler = new Autoscaler(cluster, environment, heartbeatHandler, 1, LinkHealth.NONE);
        autoscaler.refreshInventory();
        simulation.runFor(1);
        Job job = acceptedJob(1);
        cluster.assign(new TaskAssignment(job, 0, 1, "host-000099", 1, 0));
        return autoscaler;
    }

    /**
     * A new leader waits for part of a lease, not a whole one, for machines that were lost together with the former
     * leader.
     */
    @Test
    void spotMachineThatMissesHeartbeatsIsPresumedLostWithinALease() {
        long leadingSince = addSpotMachines();
        simulation.runFor(7); // more than half a lease
        markHeardFrom(1);
        assertPresumedLost(List.of(machine(0)), leadingSince, "the only machine that has not reported");
    }

    @Test
    void noMachineOfAnUnreachableZoneIsPresumedLost() {
        long leadingSince = addSpotMachines();
        simulation.runFor(7);
        markHeardFrom(1);
        assertPresumedLost(List.of(machine(0)), leadingSince, "the only machine that has not reported");
        simulation.runFor(7);
        assertPresumedLost(List.of(), leadingSince, "no machine reports, so the network is at fault");
    }

    /** After a partition most machines reconnect through followers, one after the other. */
    @Test
    void machinesOfAPartitionedZoneArePresumedLostOnlyALeaseAfterThePartition() {
        long leadingSince = addSpotMachines();
        simulation.runFor(7);
        markHeardFrom(1);
        simulation.runFor(7);
        assertPresumedLost(List.of(), leadingSince, "no machine reports, so the network is at fault");
        markHeardFrom(2);
        assertPresumedLost(List.of(), leadingSince, "the others may still be reconnecting");
        for (int i = 0; i < 5; i++) {
            simulation.runFor(2);
            markHeardFrom(2);
        }
        assertPresumedLost(List.of(machine(0), machine(1)), leadingSince, "a lease has passed since the partition");
    }

    /** Adds spot machines in one zone, each with a task; returns when the leader started. */
    private long addSpotMachines() {
        startLeader(2);
        Job job = acceptedJob(SPOT_MACHINE_COUNT + 1);
        for (int i = 0; i < SPOT_MACHINE_COUNT; i++) {
            Machine machine = machine(i);
            machine.setType(BOX);
            machine.setSpot(true);
            cluster.setZone(machine, "za");
            cluster.assign(new TaskAssignment(job, i, 1, machine.name(), 1, 0));
        }
        return environment.now();
    }

    private Machine machine(int number) {
        return cluster.getOrAddMachine("host-" + number);
    }

    /** Records that the machines from this number on report now. */
    private void markHeardFrom(int first) {
        for (int i = first; i < SPOT_MACHINE_COUNT; i++) {
            if (machine(i).agent().heardThisTerm()) {
                machine(i).agent().markHeard(environment.now());
            } else {
                TestMachine.recordEmptyStatus(machine(i), environment.now());
            }
        }
    }

    private void assertPresumedLost(List<Machine> expected, long leadingSince, String message) {
        assertEquals(expected, heartbeatHandler.failureDetector().presumedLost(leadingSince), message);
    }
}
