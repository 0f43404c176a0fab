package stileferry.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import stileferry.cli.LoopbackCuts.Link;
import stileferry.cli.LoopbackCuts.Result;
import stileferry.protocol.Features;
import stileferry.standin.LinkFaults.Effect;

/**
 * Real controllers with broken links: some of the cases of {@link LoopbackCuts}, with faults of 7 s instead of 10 s, so
 * that they are short enough for CI.
 */
class LoopbackCutsTest {
    private static final long CUT_MS = 7000;

    private static void assertNoViolations(List<Link> links, Effect effect) throws Exception {
        for (Result result : LoopbackCuts.runCases(links, List.of(effect), new Features(true, false), CUT_MS)) {
            assertEquals(List.of(), result.violations(), result.toString());
        }
    }

    @Test
    void noViolationsWhenLeaderRequestsToWorkersOrStoreAreLost() throws Exception {
        assertNoViolations(List.of(Link.LEADER_AND_WORKERS, Link.LEADER_TO_STORE), Effect.REQUEST_LOST);
    }

    @Test
    void noViolationsWhenControllersArePartitioned() throws Exception {
        assertNoViolations(List.of(Link.ALL_CONTROLLERS, Link.LEADER_AND_WORKERS_AND_CONTROLLERS), Effect.REFUSED);
    }

    @Test
    void noViolationsWhenHeartbeatResponsesAreLost() throws Exception {
        assertNoViolations(List.of(Link.WORKERS_TO_LEADER), Effect.ANSWER_LOST);
    }

    /** Ensures that the check of the task histories can fail. */
    @Test
    void taskRunningTwiceAndTeamOverLimitAreDetected() {
        TaskHistory history = new TaskHistory();
        history.add(new TaskHistory.Entry(1, "job-1/0", "host-1", true));
        history.add(new TaskHistory.Entry(2, "job-1/1", "host-2", true));
        assertEquals(List.of(), history.findViolations(Map.of("job-1", 2.0), 4));
        history.add(new TaskHistory.Entry(3, "job-1/0", "host-2", true));
        List<String> violations = history.findViolations(Map.of("job-1", 2.0), 4);
        assertTrue(violations.contains("job-1/0 on host-1 and host-2"), violations.toString());
        assertTrue(violations.stream().anyMatch(violation -> violation.contains("6.0 CPUs")), violations.toString());
    }
}
