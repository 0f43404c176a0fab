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

/** Leadership handovers in which a step is the last, comes late, or meets an older version. */
class HandoverTest {
    /** Brings the leader to hand over, and plays until the nominee has been asked. */
    private static SimulatedCluster withHandoverInProgress(long seed) {
        SimulatedCluster cluster = withLongJobs(seed, LINK_MONITORING);
        cluster.network.injectFaultBothWays(cluster.leader().name(), WORKERS, LinkFault.LOST);
        ControllerNode old = cluster.leader();
        for (int i = 0; i < 3000 && !old.coordinator.links().handingOver(); i++) {
            cluster.runFor(0.01);
        }
        assertTrue(old.coordinator.links().handingOver(), "no handover began");
        return cluster;
    }

    @Test
    void workContinuesIfPeersLoseTheStoreDuringAHandover() {
        SimulatedCluster cluster = withHandoverInProgress(540);
        ControllerNode old = cluster.leader();
        cluster.peersOf(old)
                .forEach(n -> cluster.network.injectFaultBothWays(n.name(), SimulatedCluster.STORE, LinkFault.LOST));
        cluster.runFor(8);
        assertEquals(List.of(), cluster.violations);
        cluster.peersOf(old).forEach(n -> cluster.network.restoreBothWays(n.name(), SimulatedCluster.STORE));
        cluster.runFor(25);
        assertTrue(secondsToStart(cluster, 50, 30) < 30, "somebody leads and work goes on");
        assertRecovered(cluster);
    }

    /** Each step may be the last: the leader's process pauses before, within or after its release. */
    @ParameterizedTest
    @ValueSource(ints = {0, 5, 20, 60, 120, 300, 1000})
    void workContinuesIfTheLeaderPausesAroundItsRelease(int afterMs) {
        SimulatedCluster cluster = withHandoverInProgress(541);
        ControllerNode old = cluster.leader();
        cluster.runFor(afterMs / 1000.0);
        old.environment.pause(12_000);
        cluster.runFor(32);
        assertEquals(List.of(), cluster.violations);
        assertTrue(cluster.leader() != null, "somebody leads");
        assertTrue(secondsToStart(cluster, 50, 30) < 30, "work goes on");
        assertRecovered(cluster);
    }

    @ParameterizedTest
    @CsvSource({"0,100", "30,100", "100,200", "500,100"})
    void workContinuesIfAControllerRestartsDuringAHandover(int afterMs, int awayMs) {
        for (int who = 0; who < 3; who++) {
            SimulatedCluster cluster = withHandoverInProgress(550 + who);
            cluster.runFor(afterMs / 1000.0);
            cluster.faults.restart(List.copyOf(cluster.controllers.values()).get(who), awayMs);
            cluster.runFor(30);
            assertEquals(List.of(), cluster.violations);
            assertTrue(secondsToStart(cluster, 50, 30) < 30, "work goes on");
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
        assertTrue(secondsToStart(cluster, 50, 30) < 30, "work goes on");
        assertRecovered(cluster);
    }

    /** A version that knows nothing of link views is neither sent any nor handed anything over to. */
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
        assertEquals(leader, cluster.leader(), "as before");
        assertRecovered(cluster);
    }
}
