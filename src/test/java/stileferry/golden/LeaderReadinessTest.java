package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** A leader that holds its lease but never gets its state violates an invariant that it checks itself. */
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
