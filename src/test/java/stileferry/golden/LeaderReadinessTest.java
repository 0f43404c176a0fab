package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import stileferry.protocol.PeerMessage;

/** A leader that never gets its state is reported; one that was ready counts as a leader seen by health checks. */
class LeaderReadinessTest {
    private static final long TWO_WORKER_LEASES_MS = 20_000;
    private static final long MARGIN_MS = 5000;

    private static long violations(ControllerFixture controller) {
        return controller
                .operatorRequest("GET", "counters", "")
                .body()
                .at("/invariants_violated/leader_becomes_ready")
                .asLong();
    }

    @Test
    void aLeaderThatIsReadyViolatesNothing() {
        ControllerFixture controller = ControllerFixture.startLeader(new FakeKeyValueStore());
        controller.advance(TWO_WORKER_LEASES_MS + MARGIN_MS);
        assertEquals(0, violations(controller));
    }

    @Test
    void healthChecksPassRightAfterALeadershipInWhichNoneWasMade() {
        ControllerFixture controller = ControllerFixture.startLeader(new FakeKeyValueStore());
        PeerMessage higherTerm = new PeerMessage.TermAnnouncement(Integer.MAX_VALUE, "", false);
        controller.runTask(() -> {
            controller.coordinator.handlePeerMessage(higherTerm, reply -> {});
            assertFalse(controller.coordinator.leads());
            assertEquals(200, controller.coordinator.healthCheckStatus());
        });
    }

    @Test
    void aLeaderThatWaitsForItsStateForTooLongIsReported() {
        FakeKeyValueStore store = new FakeKeyValueStore();
        store.unansweredScanPrefix = "l/";
        ControllerFixture controller = ControllerFixture.startLeader(store);
        controller.advance(TWO_WORKER_LEASES_MS - MARGIN_MS);
        assertEquals(0, violations(controller));
        controller.advance(2 * MARGIN_MS);
        assertTrue(violations(controller) > 0);
    }
}
