package stileferry.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.Arrays;
import org.junit.jupiter.api.Test;
import stileferry.protocol.Heartbeat;

/** Tests that an attempt is noticed which an agent reports after it was told to forget it. */
class ForgottenAttemptsTest {
    private final ForgottenAttempts attempts = new ForgottenAttempts();

    @Test
    void anAttemptThatWasForgottenAndIsReportedAgainIsFound() {
        attempts.recordClear("job-1/0#7");
        assertNull(attempts.update(status("job-1/0")), "it was not forgotten yet");
        assertNull(attempts.update(status()));
        assertEquals("job-1/0#7", attempts.update(status("job-1/0")).attemptId());
    }

    @Test
    void anotherTaskOfTheSameGangAttemptIsNotTakenForAForgottenOne() {
        attempts.recordClear("job-1/0#7");
        assertNull(attempts.update(status("job-1/1")));
        assertNull(attempts.update(status("job-1/1")));
    }

    private static Heartbeat status(String... taskIds) {
        return new Heartbeat(
                "m",
                "",
                "box",
                "za",
                false,
                1,
                1,
                1,
                -1,
                Arrays.stream(taskIds)
                        .map(id -> new Heartbeat.TaskStatus(id, 7, Heartbeat.TaskPhase.RUNNING, null, false))
                        .toList(),
                null);
    }
}
