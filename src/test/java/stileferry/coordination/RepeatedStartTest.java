package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import stileferry.protocol.JobSpec;
import stileferry.protocol.JobSpecBuilder;
import stileferry.standin.Worker;

/**
 * Tests that a copy of a start command, carried out and answered before, never starts a task again on a machine that
 * was told to forget the attempt, whatever has become of the task since.
 */
class RepeatedStartTest {
    /** Time for an exit to become durable, and for the machine to be told to forget the attempt. */
    private static final double FORGOTTEN_AFTER_S = 6;

    /** Time in which a task that starts again pulls its image and runs. */
    private static final double STARTED_AGAIN_WITHIN_S = 4;

    private static final int CPUS_OF_RED = 40;

    private SimulatedCluster cluster;

    /** Boots machines with room for the tests' tasks beside a long job. */
    @BeforeEach
    void bootMachines() {
        cluster = SimulatedCluster.started(53, 5, 2, CPUS_OF_RED);
        cluster.repeatedRequests.recording = true;
        for (int i = 0; i < 4; i++) {
            cluster.submit(JobSpecBuilder.array(i)
                    .tasks(1)
                    .cpus(5)
                    .allowsSpot(true)
                    .runS(600)
                    .build());
        }
        cluster.runFor(15);
    }

    /** The sequence of the incident: the task fails on two machines and runs on a third one; both starts come again. */
    @Test
    void aTaskThatFailedAndMovedIsNotStartedAgain() {
        cluster.workers.values().forEach(worker -> worker.setFaulty(true));
        SimulatedUser user = cluster.submit(Workloads.array(10, 1, 60));
        cluster.runFor(5);
        cluster.workers.values().forEach(worker -> worker.setFaulty(false));
        cluster.runFor(FORGOTTEN_AFTER_S);
        assertEquals(1, cluster.tasks.running(user));
        assertNothingStartsAgain();
        assertEquals(1, cluster.tasks.running(user));
    }

    @Test
    void aTaskThatMovedAfterASpotNoticeIsNotStartedAgain() {
        SimulatedUser user = cluster.submit(Workloads.array(10, 1, 60));
        cluster.runFor(4);
        Worker worker = workerOf(user);
        worker.setReclaimNoticeS(10);
        cluster.runFor(2.5);
        assertEquals(1, cluster.tasks.running(user));
        assertTrue(worker != workerOf(user));
        assertNothingStartsAgain();
    }

    @Test
    void aTaskThatWasPreemptedIsNotStartedAgain() {
        cluster.submit(Workloads.array(10, "any", JobSpec.Priority.IDLE, 200, 300));
        cluster.runFor(30);
        int endsBefore = cluster.tasks.ends;
        cluster.submit(Workloads.service(11, 4, 3));
        cluster.runFor(20);
        assertTrue(cluster.tasks.ends > endsBefore, "no task was preempted");
        assertNothingStartsAgain();
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aCancelledTaskIsNotStartedAgain(boolean afterCancelDeadline) {
        SimulatedUser user = cluster.submit(Workloads.array(10, 2, 60));
        cluster.runFor(4);
        cluster.cancel(user);
        cluster.runFor(afterCancelDeadline ? SimulatedCluster.CANCEL_S + FORGOTTEN_AFTER_S : FORGOTTEN_AFTER_S);
        assertTrue(user.cancelConfirmedAt > 0);
        assertNothingStartsAgain();
    }

    @Test
    void aTaskOfAJobThatIsDoneIsNotStartedAgain() {
        SimulatedUser user = cluster.submit(Workloads.array(10, 3, 2));
        cluster.runFor(4 + FORGOTTEN_AFTER_S);
        assertEquals("done", user.endState);
        assertNothingStartsAgain();
    }

    @Test
    void aCompletedTaskOfATeamAtItsLimitIsNotStartedAgain() {
        cluster.submit(arrayOfRed(10, 4, 3));
        cluster.runFor(4 + FORGOTTEN_AFTER_S);
        SimulatedUser atLimit = cluster.submit(arrayOfRed(11, CPUS_OF_RED / 2, 100));
        cluster.runFor(20);
        assertEquals(CPUS_OF_RED / 2, cluster.tasks.running(atLimit));
        assertNothingStartsAgain();
    }

    private static JobSpec arrayOfRed(int number, int tasks, double runS) {
        return JobSpecBuilder.array(number)
                .team("red")
                .tasks(tasks)
                .cpus(2)
                .allowsSpot(true)
                .runS(runS)
                .build();
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aGangThatEndedIsNotStartedAgain(boolean cancelled) {
        SimulatedUser user = cluster.submit(JobSpecBuilder.gang(10)
                .tasks(4)
                .cpus(1)
                .runS(cancelled ? 60 : 3)
                .build());
        cluster.runFor(8);
        if (cancelled) {
            cluster.cancel(user);
        }
        cluster.runFor(FORGOTTEN_AFTER_S);
        assertEquals(cancelled ? "cancelled" : "done", user.endState);
        assertNothingStartsAgain();
    }

    /** The start is late, its answer is lost, and the request arrives once more after the task's job was cancelled. */
    @Test
    void aStartWithoutAnAnswerThatArrivesLateAndOnceMoreDoesNotStartACancelledTask() {
        SimulatedUser user = cluster.submit(Workloads.array(10, 2, 60));
        String leader = cluster.leader().name();
        cluster.network.injectFault(SimulatedNetwork.WORKERS, leader, SimulatedNetwork.LinkFault.LOST);
        cluster.runFor(1);
        cluster.network.restoreAll();
        cluster.cancel(user);
        cluster.runFor(FORGOTTEN_AFTER_S);
        assertTrue(user.cancelConfirmedAt > 0);
        assertNothingStartsAgain();
    }

    /** A controller is back within a second: another one leads, which the machines may not know yet. */
    @ParameterizedTest
    @CsvSource({"100, 0.05", "100, 0.5", "300, 3", "3000, 8"})
    void aTaskThatEndedBeforeAFailoverIsNotStartedAgain(long downMs, double copiesAfterS) {
        cluster.submit(Workloads.array(10, 3, 2));
        cluster.runFor(4 + FORGOTTEN_AFTER_S);
        cluster.faults.restartLeader(downMs);
        cluster.runFor(copiesAfterS);
        assertNothingStartsAgain();
    }

    @Test
    void aTaskThatEndedIsNotStartedAgainInTheNextSessionOfItsMachine() {
        cluster.submit(Workloads.array(10, 3, 2));
        cluster.runFor(4 + FORGOTTEN_AFTER_S);
        cluster.workers.keySet().forEach(address -> cluster.faults.partition(address, 13_000));
        cluster.runFor(14);
        assertNothingStartsAgain();
    }

    /** The copies come three times, as long apart as a task needs to start. */
    private void assertNothingStartsAgain() {
        for (int copy = 0; copy < 3; copy++) {
            int starts = cluster.repeatedRequests.deliverRecorded(RepeatedRequests.AnsweredRequest::starts);
            assertTrue(starts > 0, "no start was recorded");
            cluster.runFor(STARTED_AGAIN_WITHIN_S);
            assertEquals(List.of(), cluster.violations);
        }
    }

    private Worker workerOf(SimulatedUser user) {
        String machine = cluster.tasks.machinesOf(user).iterator().next();
        return cluster.workers.get(SimulatedMachines.address(machine));
    }
}
