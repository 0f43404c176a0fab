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
import stileferry.cluster.TestMachine;
import stileferry.coordination.ControllerNode;
import stileferry.coordination.SimulatedCluster;
import stileferry.coordination.SimulatedEnvironment;
import stileferry.heartbeat.EventLoopLag;
import stileferry.heartbeat.HeartbeatHandler;
import stileferry.links.LinkHealth;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MachineType;

/** Which machines are returned to the cloud, and when. */
class AutoscalerTest {
    /**
     * Found in a recorded day: a new leader returned young machines, which the list did not show yet, with all their
     * tasks a few seconds after it took over.
     */
    @Test
    void aNewLeaderGivesUnlistedMachinesTimeToReport() {
        SimulatedCluster w = new SimulatedCluster(1);
        ControllerNode node = w.controllers.get("n0");
        node.start();
        SimulatedEnvironment environment = node.environment;
        ClusterState cluster = new ClusterState(node.settings);
        HeartbeatHandler fleet =
                new HeartbeatHandler(cluster, environment, null, 1, null, null, new EventLoopLag(environment, 1));
        Autoscaler provisioning = new Autoscaler(cluster, environment, fleet, 1, LinkHealth.NONE);
        provisioning.refreshInventory();
        w.runFor(1);
        Job job = new Job(
                new JobSpec(
                        "job-1",
                        "any",
                        "red",
                        JobSpec.Kind.ARRAY,
                        JobSpec.Priority.NORMAL,
                        1,
                        1,
                        0,
                        1,
                        "img",
                        1,
                        null,
                        null,
                        false,
                        false,
                        true,
                        10,
                        0,
                        0,
                        -1),
                1,
                0,
                0);
        cluster.assign(new TaskAssignment(job, 0, 1, "host-000099", 1, 0));
        w.runFor(4);
        provisioning.scaleIn(true);
        assertFalse(cluster.machine("host-000099").instance().terminating(), "it may report any moment");
        w.runFor(20);
        provisioning.scaleIn(true);
        assertTrue(
                cluster.machine("host-000099").instance().terminating(),
                "what neither list nor report shows must end some day");
    }

    /**
     * Found on a day where a wave of losses met a crash: the new leader waited a whole lease from its own beginning for
     * machines that were gone. And when a zone is cut off, silence says nothing about each machine there.
     */
    @Test
    void aNewLeaderGivesUpSpotMachinesThatDoNotReport() {
        SimulatedCluster w = new SimulatedCluster(2);
        ControllerNode node = w.controllers.get("n0");
        node.start();
        SimulatedEnvironment environment = node.environment;
        ClusterState cluster = new ClusterState(node.settings);
        HeartbeatHandler fleet =
                new HeartbeatHandler(cluster, environment, null, 1, null, null, new EventLoopLag(environment, 1));
        MachineType box = new MachineType("box", 8, 0, 32, 50, 1, 1, 0.4, 10, List.of("za"));
        Job job = new Job(
                new JobSpec(
                        "job-1",
                        "any",
                        "red",
                        JobSpec.Kind.ARRAY,
                        JobSpec.Priority.NORMAL,
                        9,
                        1,
                        0,
                        1,
                        "img",
                        1,
                        null,
                        null,
                        false,
                        false,
                        true,
                        10,
                        0,
                        0,
                        -1),
                1,
                0,
                0);
        for (int i = 0; i < 8; i++) {
            Machine machine = cluster.machine("host-" + i);
            machine.setType(box);
            machine.setSpot(true);
            cluster.setZone(machine, "za");
            cluster.assign(new TaskAssignment(job, i, 1, machine.name(), 1, 0));
        }
        long since = environment.now();
        w.runFor(7); // more than half a lease
        for (int i = 1; i < 8; i++) {
            TestMachine.heard(cluster.machine("host-" + i), environment.now());
        }
        assertEquals(List.of(cluster.machine("host-0")), fleet.failureDetector().presumedLost(since));
        w.runFor(7);
        assertEquals(List.of(), fleet.failureDetector().presumedLost(since), "nobody reports: the network is at fault");
        for (int i = 2; i < 8; i++) {
            cluster.machine("host-" + i).agent().markHeard(environment.now());
        }
        // found on a day where the leader could not hear its workers: most had come back by way of the others
        assertEquals(List.of(), fleet.failureDetector().presumedLost(since), "the rest may be on their way");
        for (int t = 0; t < 5; t++) {
            w.runFor(2);
            for (int i = 2; i < 8; i++) {
                cluster.machine("host-" + i).agent().markHeard(environment.now());
            }
        }
        assertEquals(
                List.of(cluster.machine("host-0"), cluster.machine("host-1")),
                fleet.failureDetector().presumedLost(since));
    }
}
