package stileferry.connectivity;

import stileferry.validation.InvalidInputException;

/**
 * Which links a decision needs. It only ever withholds what would be allowed without it: whether this controller is
 * sure to lead, and what is proven of a task, is for others to say.
 *
 * <ul>
 *   <li>Every decision needs a leader that is not handing over, and an answer of the state service within its bound.
 *   <li>To rent and to preempt needs, in addition, that not half of the workers are suspect; but no longer than until
 *       it is known whether another controller reaches them, and never longer than a bound: if every controller is
 *       poor, the leader still serves.
 *   <li>To give a silent worker up needs, in addition, that no other controller reaches it.
 * </ul>
 */
public final class DecisionGate {
    /** Report intervals for which many suspect workers keep back what they would cause. */
    private static final int MAX_WAIT_HEARTBEATS = 4;

    /** Leases for which a worker that only another controller reaches is kept. */
    private static final int MAX_KEPT_LEASES = 3;

    /** Exchanges with others, while something is suspect, after which their silence on a worker means nothing. */
    private static final int PEER_ANSWER_EXCHANGES = 5;

    private final ConnectivityConfig config;

    /** A gate with the bounds of a deployment. */
    public DecisionGate(ConnectivityConfig config) {
        this.config = config;
    }

    /** Whether a decision may be made on this evidence. */
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
        boolean waits = decision == Decision.SCALE_OUT || decision == Decision.PREEMPT;
        long patienceMs = MAX_WAIT_HEARTBEATS * config.heartbeatIntervalMs();
        if (waits && evidence.manySuspects() && evidence.manySuspectsMs() < patienceMs) {
            return Verdict.withheld("half of the workers are suspect", patienceMs - evidence.manySuspectsMs());
        }
        return Verdict.ALLOWED;
    }

    /**
     * Whether a silent worker may be given up, where that is allowed as such.
     *
     * @param suspectMs for how long its links have been suspect
     * @param reachedByPeer whether another controller says, lately, that it reaches the worker
     * @param peersSayNothing whether a controller that takes part has not said yet whether it reaches the worker
     * @param keptMs for how long the worker has been kept for that reason
     */
    Verdict checkRemoval(long suspectMs, boolean reachedByPeer, boolean peersSayNothing, long keptMs) {
        if (reachedByPeer && keptMs < MAX_KEPT_LEASES * config.workerLeaseMs()) {
            return Verdict.withheld("another controller reaches the worker", config.heartbeatIntervalMs());
        }
        long askMs = PEER_ANSWER_EXCHANGES * config.exchangeIntervalMs(true);
        if (peersSayNothing && suspectMs < askMs) {
            return Verdict.withheld("the other controllers were just asked", askMs - suspectMs);
        }
        return Verdict.ALLOWED;
    }
}
