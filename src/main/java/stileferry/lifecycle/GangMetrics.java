package stileferry.lifecycle;

import com.fasterxml.jackson.databind.node.ObjectNode;
import stileferry.cluster.TaskAssignment;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.MessageCodec;

/** Counts the outcomes of gang attempts during one term. Each attempt counts once, by its first task that ended. */
public final class GangMetrics {
    private long attempts;
    private long started;
    private long stoppedAndSaved;
    private long incomplete;
    private long lostTask;
    private long failed;

    /** Counts the assignment of a gang to machines. */
    void countAttempt() {
        attempts++;
    }

    /** Counts a gang of which all tasks are running. */
    void countStarted() {
        started++;
    }

    /** Counts the exit of a gang's task without completion, if it is the first of its attempt to end. */
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

    /** Counts a gang's task lost with its machine or by lease expiry, if it is the first of its attempt to end. */
    void countLost(TaskAssignment assignment) {
        lostTask += recordEndOfAttempt(assignment) ? 1 : 0;
    }

    /** Records that an attempt has ended; returns false if that is recorded already. */
    private static boolean recordEndOfAttempt(TaskAssignment assignment) {
        return assignment.job().failureHistory().recordFailedGangAttempt(assignment.attempt());
    }

    /** Returns the counts in the form of the administrative views. */
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
