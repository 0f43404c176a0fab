package stileferry.lifecycle;

import com.fasterxml.jackson.databind.node.ObjectNode;
import stileferry.cluster.TaskAssignment;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.MessageCodec;

/** Counts what became of the attempts of gangs in one term, each attempt once, by the first task that ended. */
public final class GangMetrics {
    private long attempts;
    private long started;
    private long saved;
    private long incomplete;
    private long lost;
    private long failed;

    /** A gang's claims were decided on. */
    void attempted() {
        attempts++;
    }

    /** All tasks of a gang run. */
    void started() {
        started++;
    }

    /** A task of a gang has exited without being done. */
    void exited(TaskAssignment claim, Heartbeat.TaskStatus task) {
        if (!isFirstOfItsAttempt(claim)) {
            return;
        }
        switch (task.exitReason()) {
            case STOPPED -> saved += task.checkpointSaved() ? 1 : 0;
            case GANG_INCOMPLETE -> incomplete++;
            case GANG_MEMBER_LOST -> lost++;
            default -> failed++;
        }
    }

    /** A task of a gang is gone with its machine or its lease. */
    void gone(TaskAssignment claim) {
        lost += isFirstOfItsAttempt(claim) ? 1 : 0;
    }

    private static boolean isFirstOfItsAttempt(TaskAssignment claim) {
        boolean first = claim.job().lastFailedAttempt() != claim.attempt();
        claim.job().setLastFailedAttempt(claim.attempt());
        return first;
    }

    public ObjectNode describe() {
        return MessageCodec.map()
                .put("attempts", attempts)
                .put("started", started)
                .put("stopped_and_saved", saved)
                .put("incomplete", incomplete)
                .put("lost_a_task", lost)
                .put("failed", failed);
    }
}
