package stileferry.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import stileferry.cli.AnswerChecker.Answer;
import stileferry.cli.AnswerChecker.JobRecord;
import stileferry.cli.AnswerChecker.Request;

/** Each rule of the checker finds a planted violation, and finds nothing where answers may overtake each other. */
class AnswerCheckerTest {
    private static final long CANCEL_DEADLINE_MS = 1000;
    private static final int TASKS = 2;

    private final AnswerChecker checker = new AnswerChecker();
    private final TaskHistory history = new TaskHistory();
    private final JobRecord job = checker.add("job-1", TASKS, 2, false);

    private void answer(long askedAt, long answeredAt, int status, String state) {
        checker.check(job, new Answer(Request.STATUS, 0, askedAt, answeredAt, status, state));
    }

    private void task(int index, String machine, long startMs, long endMs) {
        history.add(new TaskHistory.Entry(startMs, "job-1/" + index, machine, true));
        if (endMs > 0) {
            history.add(new TaskHistory.Entry(endMs, "job-1/" + index, machine, false));
        }
    }

    private void assertFound(String rule) {
        List<String> violations = checker.findViolations(history, CANCEL_DEADLINE_MS);
        assertEquals(1, violations.size(), violations.toString());
        assertTrue(violations.get(0).startsWith(rule), violations.toString());
    }

    private void assertNothingFound() {
        assertEquals(List.of(), checker.findViolations(history, CANCEL_DEADLINE_MS));
    }

    @Test
    void findsAnAcceptedJobThatIsUnknownLater() {
        answer(0, 10, 201, "pending");
        answer(20, 30, 404, "");
        assertFound("forgotten");
    }

    @Test
    void findsAnAcceptedJobThatIsRejectedWhenSubmittedAgain() {
        answer(0, 10, 201, "pending");
        answer(20, 30, 422, "");
        assertFound("rejected though accepted");
    }

    @Test
    void findsADoneJobThatRunsLater() {
        task(0, "host-1", 1, 2);
        task(1, "host-1", 1, 2);
        answer(0, 10, 200, "done");
        answer(20, 30, 200, "running");
        assertFound("went back");
    }

    @Test
    void findsACancelledJobThatIsDoneLater() {
        checker.cancelRequested(job, 5);
        answer(6, 10, 200, "cancelled");
        answer(20, 30, 200, "running");
        assertFound("went back");
    }

    @Test
    void findsACancellationThatNobodyAskedFor() {
        answer(0, 10, 200, "cancelled");
        assertFound("cancelled by nobody");
    }

    @Test
    void findsAJobThatIsDoneBeforeAllOfItsTasks() {
        task(0, "host-1", 1, 5);
        task(1, "host-1", 1, 50);
        answer(0, 10, 200, "done");
        assertFound("not done");
    }

    @Test
    void findsATaskThatStartsLongAfterTheCancellation() {
        checker.cancelRequested(job, 5);
        answer(6, 10, 200, "cancelled");
        history.add(new TaskHistory.Entry(10 + CANCEL_DEADLINE_MS + 1, "job-1/0", "host-1", true));
        history.add(new TaskHistory.Entry(10 + CANCEL_DEADLINE_MS + 1, "job-1/0", "host-1", false));
        assertEquals(2, checker.findViolations(history, CANCEL_DEADLINE_MS).size());
    }

    @Test
    void findsATaskOfACancelledJobThatNeverEnds() {
        checker.cancelRequested(job, 5);
        answer(6, 10, 200, "cancelled");
        task(0, "host-1", 8, 0);
        assertFound("runs cancelled");
    }

    @Test
    void findsAnAnswerAboutAJobThatNobodySubmitted() {
        checker.checkUnknownJob("job-9", 200);
        assertFound("invented");
    }

    @Test
    void allowsAnOlderAnswerThatWasAskedForBeforeTheNewerOneArrived() {
        task(0, "host-1", 1, 2);
        task(1, "host-1", 1, 2);
        answer(0, 10, 200, "done");
        answer(5, 30, 200, "running");
        answer(5, 30, 404, "");
        assertNothingFound();
    }

    @Test
    void allowsATaskOfACancelledJobWithinTheDeadline() {
        checker.cancelRequested(job, 5);
        answer(6, 10, 200, "cancelled");
        task(0, "host-1", 8, 10 + CANCEL_DEADLINE_MS);
        assertNothingFound();
    }

    @Test
    void findsATaskOnTwoMachinesAndATeamAboveItsLimit() {
        task(0, "host-1", 1, 0);
        task(0, "host-2", 2, 0);
        assertEquals(2, history.findViolations(Map.of("job-1", 2.0), 3).size());
    }

    @Test
    void aScheduleRepeatsWithItsSeedAndEndsInTime() {
        for (long seed = 0; seed < 200; seed++) {
            List<SoakFault> faults = SoakFault.schedule(seed, 40_000);
            assertEquals(faults, SoakFault.schedule(seed, 40_000));
            assertTrue(faults.stream().allMatch(fault -> fault.endMs() <= 40_000));
        }
    }
}
