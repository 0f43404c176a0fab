package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.coordination.LinkFaultCluster.LINK_MONITORING;
import static stileferry.coordination.LinkFaultCluster.assertRecovered;
import static stileferry.coordination.LinkFaultCluster.secondsToStart;
import static stileferry.coordination.LinkFaultCluster.withLongJobs;
import static stileferry.coordination.SimulatedNetwork.WORKERS;
import static stileferry.coordination.Workloads.service;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import stileferry.coordination.SimulatedNetwork.LinkFault;

/** Tests leadership handovers that are interrupted, delayed, or involve controllers of an older version. */
class HandoverTest {
    /** Returns a cluster whose leader has lost its workers and has asked a nominee to take leadership over. */
    private static SimulatedCluster withHandoverInProgress(long seed) {
        SimulatedCluster cluster = withLongJobs(seed, LINK_MONITORING);
        cluster.network.injectFaultBothWays(cluster.leader().name(), WORKERS, LinkFault.LOST);
        ControllerNode oldLeader = cluster.leader();
        for (int i = 0; i < 3000 && !oldLeader.coordinator.links().handingOver(); i++) {
            cluster.runFor(0.01);
        }
        assertTrue(oldLeader.coordinator.links().handingOver(), "no handover began");
        return cluster;
    }

    @Test
    void workContinuesIfPeersLoseTheStoreDuringAHandover() {
        SimulatedCluster cluster = withHandoverInProgress(540);
        ControllerNode oldLeader = cluster.leader();
        cluster.peersOf(oldLeader)
                .forEach(n -> cluster.network.injectFaultBothWays(n.name(), SimulatedCluster.STORE, LinkFault.LOST));
        cluster.runFor(8);
        assertEquals(List.of(), cluster.violations);
        cluster.peersOf(oldLeader).forEach(n -> cluster.network.restoreBothWays(n.name(), SimulatedCluster.STORE));
        cluster.runFor(25);
        assertTrue(secondsToStart(cluster, 50, 30) < 30, "new work must start");
        assertRecovered(cluster);
    }

    /** The leader's process may pause before, during or after the release of its leadership. */
    @ParameterizedTest
    @ValueSource(ints = {0, 5, 20, 60, 120, 300, 1000})
    void workContinuesIfTheLeaderPausesAroundItsRelease(int afterMs) {
        SimulatedCluster cluster = withHandoverInProgress(541);
        ControllerNode oldLeader = cluster.leader();
        cluster.runFor(afterMs / 1000.0);
        oldLeader.environment.pause(12_000);
        cluster.runFor(32);
        assertEquals(List.of(), cluster.violations);
        assertTrue(cluster.leader() != null, "a leader is elected");
        assertTrue(secondsToStart(cluster, 50, 30) < 30, "new work must start");
        assertRecovered(cluster);
    }

    @ParameterizedTest
    @CsvSource({"0,100", "30,100", "100,200", "500,100"})
    void workContinuesIfAControllerRestartsDuringAHandover(int afterMs, int restartDelayMs) {
        for (int index = 0; index < 3; index++) {
            SimulatedCluster cluster = withHandoverInProgress(550 + index);
            cluster.runFor(afterMs / 1000.0);
            cluster.faults.restart(List.copyOf(cluster.controllers.values()).get(index), restartDelayMs);
            cluster.runFor(30);
            assertEquals(List.of(), cluster.violations);
            assertTrue(secondsToStart(cluster, 50, 30) < 30, "new work must start");
            assertRecovered(cluster);
        }
    }

    @Test
    void workContinuesAfterPartialPartitionsOverlapWithAStoreOutage() {
        SimulatedCluster cluster = withLongJobs(560, LINK_MONITORING);
        ControllerNode leader = cluster.leader();
        cluster.network.injectFaultBothWays(leader.name(), WORKERS, LinkFault.LOST);
        cluster.runFor(4);
        cluster.network.injectFaultBothWays(
                leader.name(), cluster.peersOf(leader).get(0).name(), LinkFault.REFUSED);
        cluster.faults.storeDown = true;
        cluster.runFor(15);
        cluster.faults.endStoreOutage();
        cluster.runFor(25);
        assertEquals(List.of(), cluster.violations);
        assertTrue(secondsToStart(cluster, 50, 30) < 30, "new work must start");
        assertRecovered(cluster);
    }

    /** Controllers of a version without link views receive none, and leadership is not handed over to them. */
    @Test
    void olderVersionsTakeNoPartInHandovers() {
        SimulatedCluster cluster = new SimulatedCluster(590);
        cluster.features = LINK_MONITORING;
        cluster.controllersWithoutFeatures.addAll(List.of("n1", "n2"));
        cluster.runFor(3);
        cluster.submit(service(6, 2, 2));
        cluster.runFor(30);
        ControllerNode leader = cluster.leader();
        cluster.network.injectFaultBothWays(leader.name(), WORKERS, LinkFault.LOST);
        cluster.runFor(40);
        assertEquals(List.of(), cluster.violations);
        assertEquals(leader, cluster.leader(), "leadership must not have moved");
        assertRecovered(cluster);
    }
}
