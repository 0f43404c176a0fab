package stileferry.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;
import stileferry.protocol.InvalidJobSpecException;
import stileferry.protocol.JobSpecBuilder;
import stileferry.protocol.MessageCodec;

/** Checks the phases of a job and of its cancellation. */
class JobTest {
    private static Job submittedJob() {
        return new Job(JobSpecBuilder.array(1).tasks(2).build(), 1, 0, 0);
    }

    @Test
    void onlyAcceptedJobHasPendingTasks() {
        Job job = submittedJob();
        assertEquals(-1, job.nextPendingTask(0));
        job.markAccepted();
        assertEquals(0, job.nextPendingTask(0));
        assertEquals(2, job.pendingCount());
        job.markCompleting();
        assertEquals(-1, job.nextPendingTask(0));
        assertTrue(job.accepted());
        assertFalse(job.completed());
        job.markCompleted();
        assertTrue(job.completing());
        assertTrue(job.completed());
    }

    @Test
    void phasesOnlyMoveForward() {
        Job job = submittedJob();
        job.markCompleting();
        job.markAccepted();
        assertTrue(job.completing());
        job.markCancellationConfirmed();
        job.markCancellationDurable();
        assertTrue(job.cancellationConfirmed());
    }

    @Test
    void cancelledJobCompletesInAnyCancellationPhase() {
        Job job = submittedJob();
        job.markAccepted();
        job.requestCancellation();
        assertTrue(job.cancelled());
        assertEquals(0, job.pendingCount());
        job.markCompleting();
        assertFalse(job.cancellationDurable());
        job.markCancellationDurable();
        assertTrue(job.cancellationDurable());
        assertFalse(job.cancellationReplicated());
    }

    @Test
    void cancellationOfStoredJobIsDurable() throws InvalidJobSpecException {
        ObjectNode stored = submittedJob().entry().value();
        assertFalse(Job.read(stored, 1).cancelled());
        Job cancelled = Job.read(stored.put("cancelled", true), 1);
        assertTrue(cancelled.accepted());
        assertTrue(cancelled.cancellationDurable());
        assertFalse(cancelled.cancellationReplicated());
        assertEquals(
                MessageCodec.encode(stored).length,
                MessageCodec.encode(cancelled.entry().value()).length);
    }
}
