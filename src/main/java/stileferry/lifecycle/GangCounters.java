package stileferry.lifecycle;

import com.fasterxml.jackson.databind.node.ObjectNode;
import stileferry.cluster.Claim;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.Report;

/** Counts what became of the attempts of gangs in one term, each attempt once, by the first task that ended. */
public final class GangCounters {
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
    void exited(Claim claim, Report.TaskState task) {
        if (!isFirstOfItsAttempt(claim)) {
            return;
        }
        switch (task.reason()) {
            case HALTED -> saved += task.saved() ? 1 : 0;
            case GANG_INCOMPLETE -> incomplete++;
            case PEER_LOST -> lost++;
            default -> failed++;
        }
    }

    /** A task of a gang is gone with its machine or its lease. */
    void gone(Claim claim) {
        lost += isFirstOfItsAttempt(claim) ? 1 : 0;
    }

    private static boolean isFirstOfItsAttempt(Claim claim) {
        boolean first = claim.job().endedAttempt() != claim.attempt();
        claim.job().setEndedAttempt(claim.attempt());
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
