package stileferry.connectivity;

import stileferry.validation.InvalidInputException;

/**
 * Decides whether the links permit a decision of the leader. It only withholds: that this controller leads
 * for certain, and what is proven of a task, is checked elsewhere.
 *
 * <ul>
 *   <li>Every decision needs a leader that is not handing over, and a recent answer of the state service.
 *   <li>Scaling out and preempting also need that less than half of the workers are suspect. This is waited for only
 *       until a better connected controller would have been found, so that the leader still serves where none is.
 *   <li>Removing a silent worker also needs that no other controller reaches it.
 * </ul>
 */
public final class DecisionGate {
    /** Heartbeat intervals for which many suspects withhold scaling out and preempting. */
    private static final int MAX_WAIT_HEARTBEAT_INTERVALS = 4;

    /** Worker leases for which a silent worker that another controller reaches is kept. */
    private static final int MAX_REMOVAL_DELAY_WORKER_LEASES = 3;

    /** Short exchange intervals within which the other controllers must have probed a suspect. */
    private static final int PEER_PROBE_EXCHANGE_INTERVALS = 5;

    private final ConnectivityConfig config;

    /** Creates a gate with the times of a deployment. */
    public DecisionGate(ConnectivityConfig config) {
        this.config = config;
    }

    /** Whether the evidence permits a decision. */
    public Verdict check(Decision decision, LinkEvidence evidence) {
        InvalidInputException.require(decision != null, "decision", "missing");
        InvalidInputException.require(evidence != null, "evidence", "missing");
        if (!evidence.leading()) {
            return Verdict.withheld("this controller does not lead", config.leaderLeaseMs());
        }
        if (evidence.handingOver()) {
            return Verdict.withheld("the leadership is being handed over", config.leaderLeaseMs());
        }
        if (evidence.storeAnswerAgeMs() < 0 || evidence.storeAnswerAgeMs() > config.storeAnswerMaxAgeMs()) {
            return Verdict.withheld("the state service has not answered lately", config.leaderLeaseMs());
        }
        return checkSuspects(decision, evidence);
    }

    private Verdict checkSuspects(Decision decision, LinkEvidence evidence) {
        boolean affected = decision == Decision.SCALE_OUT || decision == Decision.PREEMPT;
        long maxWaitMs = MAX_WAIT_HEARTBEAT_INTERVALS * config.heartbeatIntervalMs();
        if (affected && evidence.manySuspects() && evidence.manySuspectsMs() < maxWaitMs) {
            return Verdict.withheld("half of the workers are suspect", maxWaitMs - evidence.manySuspectsMs());
        }
        return Verdict.ALLOWED;
    }

    /**
     * Whether a silent worker may be removed, where {@link #check} allows removals.
     *
     * @param suspectMs for how long its links have been suspect
     * @param reachedByPeer whether a fresh view of another controller says that it reaches the worker
     * @param peersUnsure whether a fresh view of another controller does not say if it reaches the worker
     * @param keptMs for how long the worker has been kept because another controller reaches it
     */
    Verdict checkRemoval(long suspectMs, boolean reachedByPeer, boolean peersUnsure, long keptMs) {
        if (reachedByPeer && keptMs < MAX_REMOVAL_DELAY_WORKER_LEASES * config.workerLeaseMs()) {
            return Verdict.withheld("another controller reaches the worker", config.heartbeatIntervalMs());
        }
        long peerAnswerMs = PEER_PROBE_EXCHANGE_INTERVALS * config.exchangeIntervalMs(true);
        if (peersUnsure && suspectMs < peerAnswerMs) {
            return Verdict.withheld("the other controllers were just asked", peerAnswerMs - suspectMs);
        }
        return Verdict.ALLOWED;
    }
}
