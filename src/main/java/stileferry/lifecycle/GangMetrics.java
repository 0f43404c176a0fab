package stileferry.lifecycle;

import com.fasterxml.jackson.databind.node.ObjectNode;
import stileferry.cluster.TaskAssignment;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.MessageCodec;

/** Counts what became of the attempts of gangs in one term, each attempt once, by the first task that ended. */
public final class GangMetrics {
    private long attempts;
    private long started;
    private long stoppedAndSaved;
    private long incomplete;
    private long lostTask;
    private long failed;

    /** A gang was assigned to machines. */
    void countAttempt() {
        attempts++;
    }

    /** All tasks of a gang run. */
    void countStarted() {
        started++;
    }

    /** A task of a gang has exited without completing. */
    void countExit(TaskAssignment assignment, Heartbeat.TaskStatus status) {
        if (!recordEndOfAttempt(assignment)) {
            return;
        }
        switch (status.exitReason()) {
            case STOPPED -> stoppedAndSaved += status.checkpointSaved() ? 1 : 0;
            case GANG_INCOMPLETE -> incomplete++;
            case GANG_MEMBER_LOST -> lostTask++;
            default -> failed++;
        }
    }

    /** A task of a gang was lost with its machine or by lease expiry. */
    void countLost(TaskAssignment assignment) {
        lostTask += recordEndOfAttempt(assignment) ? 1 : 0;
    }

    private static boolean recordEndOfAttempt(TaskAssignment assignment) {
        return assignment.job().failures().recordFailedAttempt(assignment.attempt());
    }

    /** The counts in the form of the administration's views. */
    public ObjectNode describe() {
        return MessageCodec.map()
                .put("attempts", attempts)
                .put("started", started)
                .put("stopped_and_saved", stoppedAndSaved)
                .put("incomplete", incomplete)
                .put("lost_a_task", lostTask)
                .put("failed", failed);
    }
}
