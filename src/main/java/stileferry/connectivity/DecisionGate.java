package stileferry.connectivity;

import stileferry.validation.InvalidInputException;

/**
 * Checks whether the state of the links permits a decision of the leader. A permission is necessary but not sufficient:
 * that this controller certainly leads, and that a task has certainly ended, is checked elsewhere.
 *
 * <ul>
 *   <li>Every decision requires that this controller leads, is not handing over, and has a recent response from the
 *       key-value store.
 *   <li>Scaling out and preempting also require that less than half of the workers are suspect. They are withheld only
 *       for the time in which a better connected controller would take over, so that the leader continues to serve if
 *       there is none.
 *   <li>Removing a silent worker also requires that no other controller reaches it. This withholds the removal only for
 *       a bounded time.
 * </ul>
 */
public final class DecisionGate {
    /** Heartbeat intervals for which many suspect workers withhold scaling out and preempting. */
    private static final int MAX_WAIT_HEARTBEAT_INTERVALS = 4;

    /** Worker leases for which the removal of a silent worker is withheld because another controller reaches it. */
    private static final int MAX_REMOVAL_DELAY_WORKER_LEASES = 3;

    /** Short exchange intervals for which a removal waits until the other controllers have probed the worker. */
    private static final int PEER_PROBE_EXCHANGE_INTERVALS = 5;

    private final ConnectivityConfig config;

    /** Creates a gate whose waiting times are multiples of the deployment's intervals. */
    public DecisionGate(ConnectivityConfig config) {
        this.config = config;
    }

    /** Checks whether the evidence permits a decision; a removal needs {@link #checkRemoval} as well. */
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
            return Verdict.withheld("the key-value store has not answered recently", config.leaderLeaseMs());
        }
        return checkSuspects(decision, evidence);
    }

    private Verdict checkSuspects(Decision decision, LinkEvidence evidence) {
        boolean needsFewSuspects = decision == Decision.SCALE_OUT || decision == Decision.PREEMPT;
        long maxWaitMs = MAX_WAIT_HEARTBEAT_INTERVALS * config.heartbeatIntervalMs();
        if (needsFewSuspects && evidence.manySuspects() && evidence.manySuspectsMs() < maxWaitMs) {
            return Verdict.withheld("half of the workers are suspect", maxWaitMs - evidence.manySuspectsMs());
        }
        return Verdict.ALLOWED;
    }

    /**
     * Checks whether a silent worker may be removed, provided that {@link #check} permits removals.
     *
     * @param suspectMs milliseconds for which its links have been suspect
     * @param reachedByPeer whether a fresh view of another controller reports that it reaches the worker
     * @param peerOutboundUnknown whether a fresh view of another controller has no recent outcome of a request to the
     *     worker
     * @param withheldMs milliseconds since the removal was first withheld because another controller reaches the worker
     */
    Verdict checkRemoval(long suspectMs, boolean reachedByPeer, boolean peerOutboundUnknown, long withheldMs) {
        if (reachedByPeer && withheldMs < MAX_REMOVAL_DELAY_WORKER_LEASES * config.workerLeaseMs()) {
            return Verdict.withheld("another controller reaches the worker", config.heartbeatIntervalMs());
        }
        long peerProbeMs = PEER_PROBE_EXCHANGE_INTERVALS * config.exchangeIntervalMs(true);
        if (peerOutboundUnknown && suspectMs < peerProbeMs) {
            return Verdict.withheld("another controller has not probed the worker yet", peerProbeMs - suspectMs);
        }
        return Verdict.ALLOWED;
    }
}
