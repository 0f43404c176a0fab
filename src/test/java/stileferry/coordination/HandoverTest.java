package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.coordination.InvariantsUnderFaultsTest.restart;
import static stileferry.coordination.InvariantsUnderFaultsTest.service;
import static stileferry.coordination.PartialCutsTest.ON;
import static stileferry.coordination.PartialCutsTest.busy;
import static stileferry.coordination.PartialCutsTest.mended;
import static stileferry.coordination.PartialCutsTest.name;
import static stileferry.coordination.PartialCutsTest.others;
import static stileferry.coordination.PartialCutsTest.secondsToRun;
import static stileferry.coordination.SimulatedNetwork.WORKERS;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import stileferry.coordination.SimulatedNetwork.Mode;

/** Handovers in which a step is the last, comes late, or meets an older version. */
class HandoverTest {
    /** Brings the leader to hand over, and plays until the nominee has been asked. */
    private static SimulatedCluster handingOver(long seed) {
        SimulatedCluster w = busy(seed, ON);
        w.network.blockBoth(name(w.leader()), WORKERS, Mode.LOST);
        SimulatedCluster.Node old = w.leader();
        for (int i = 0; i < 3000 && !old.coordinator.links().handingOver(); i++) {
            w.play(0.01);
        }
        assertTrue(old.coordinator.links().handingOver(), "no handover began");
        return w;
    }

    @Test
    void theNomineeLosesItsLinkDuringTheHandover() {
        SimulatedCluster w = handingOver(540);
        SimulatedCluster.Node old = w.leader();
        others(w, old).forEach(n -> w.network.blockBoth(name(n), SimulatedCluster.STATE, Mode.LOST));
        w.play(8);
        assertEquals(List.of(), w.violations);
        others(w, old).forEach(n -> w.network.restoreBoth(name(n), SimulatedCluster.STATE));
        w.play(25);
        assertTrue(secondsToRun(w, 50, 30) < 30, "somebody leads and work goes on");
        mended(w);
    }

    /** Each step may be the last: the leader's process stands still before, within or after its release. */
    @ParameterizedTest
    @ValueSource(ints = {0, 5, 20, 60, 120, 300, 1000})
    void aLeaderFrozenAroundItsRelease(int afterMs) {
        SimulatedCluster w = handingOver(541);
        SimulatedCluster.Node old = w.leader();
        w.play(afterMs / 1000.0);
        old.environment.freeze(12_000);
        w.play(32);
        assertEquals(List.of(), w.violations);
        assertTrue(w.leader() != null, "somebody leads");
        assertTrue(secondsToRun(w, 50, 30) < 30, "work goes on");
        mended(w);
    }

    @ParameterizedTest
    @CsvSource({"0,100", "30,100", "100,200", "500,100"})
    void aProcessIsBackInASplitSecondDuringAHandover(int afterMs, int awayMs) {
        for (int who = 0; who < 3; who++) {
            SimulatedCluster w = handingOver(550 + who);
            w.play(afterMs / 1000.0);
            restart(w, List.copyOf(w.nodes.values()).get(who), awayMs);
            w.play(30);
            assertEquals(List.of(), w.violations);
            assertTrue(secondsToRun(w, 50, 30) < 30, "work goes on");
            mended(w);
        }
    }

    @Test
    void twoCutsThatOverlapWithAnOutageOfTheStateService() {
        SimulatedCluster w = busy(560, ON);
        SimulatedCluster.Node leader = w.leader();
        w.network.blockBoth(name(leader), WORKERS, Mode.LOST);
        w.play(4);
        w.network.blockBoth(name(leader), name(others(w, leader).get(0)), Mode.REFUSED);
        w.stateDown = true;
        w.play(15);
        w.stateDown = false;
        w.state.renewAllLeases(w.now);
        w.play(25);
        assertEquals(List.of(), w.violations);
        assertTrue(secondsToRun(w, 50, 30) < 30, "work goes on");
        mended(w);
    }

    /** A version that knows nothing of views is neither sent any nor handed anything over to. */
    @Test
    void olderVersionsTakeNoPart() {
        SimulatedCluster w = new SimulatedCluster(590);
        w.features = ON;
        w.withoutFeatures.addAll(List.of("n1", "n2"));
        w.play(3);
        w.submit(service(6, 2, 2));
        w.play(30);
        SimulatedCluster.Node leader = w.leader();
        w.network.blockBoth(name(leader), WORKERS, Mode.LOST);
        w.play(40);
        assertEquals(List.of(), w.violations);
        assertEquals(leader, w.leader(), "as before");
        mended(w);
    }
}
