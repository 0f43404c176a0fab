package stileferry.heartbeat;

import java.util.Locale;
import stileferry.cluster.LeaseState;

/**
 * The latest time at which any controller can have renewed the lease of an agent's incarnation, for the leader of one
 * term.
 *
 * <p>This leader knows its own renewals. A former leader may have gone on renewing the lease, unheard by this one,
 * until something stopped it for certain: the agent or every controller acknowledged this term, or it recorded for the
 * next leader that it renews no more. The earliest time that one of these proves counts. An incarnation that was seen
 * only in responses to direct requests has a lease of its own, which no answered heartbeat has started.
 *
 * @param at in milliseconds on the controller's steady clock
 * @param formerLeadersStopped what proves that no former leader renewed the lease later
 */
record LatestRenewal(long at, Proof formerLeadersStopped) {
    /** Proves that no former leader renews an agent's lease after some time. */
    enum Proof {
        /** The agent has acknowledged the term, so it drops responses of former leaders. */
        ACKNOWLEDGED_BY_AGENT,

        /** Every controller has acknowledged the term, so none acts for an older one. */
        ACKNOWLEDGED_BY_CONTROLLERS,

        /** The previous leader recorded the last heartbeat that it answered, and would have withdrawn the record. */
        RECORDED_BY_PREVIOUS_LEADER;

        /** Returns the name for log lines. */
        String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * Determines the latest renewal from what this leader knows of the lease.
     *
     * @param acknowledgedByAllPeersAt when the last controller acknowledged this term, or negative if not all of them
     *     have
     * @return null as long as a former leader may still renew the lease
     */
    static LatestRenewal of(LeaseState lease, long incarnation, long acknowledgedByAllPeersAt) {
        LatestRenewal ofFormerLeaders = null;
        if (lease.termAcknowledgedAt() >= 0) {
            ofFormerLeaders = earlier(ofFormerLeaders, lease.termAcknowledgedAt(), Proof.ACKNOWLEDGED_BY_AGENT);
        }
        if (acknowledgedByAllPeersAt >= 0) {
            ofFormerLeaders = earlier(ofFormerLeaders, acknowledgedByAllPeersAt, Proof.ACKNOWLEDGED_BY_CONTROLLERS);
        }
        if (lease.answeredByPreviousLeaderAt() >= 0 && incarnation <= lease.answeredByPreviousLeaderIncarnation()) {
            ofFormerLeaders =
                    earlier(ofFormerLeaders, lease.answeredByPreviousLeaderAt(), Proof.RECORDED_BY_PREVIOUS_LEADER);
        }
        return ofFormerLeaders == null
                ? null
                : ofFormerLeaders.notBefore(Math.max(lease.lastAnsweredAt(), lease.incarnationSeenAt()));
    }

    private static LatestRenewal earlier(LatestRenewal known, long at, Proof proof) {
        return known == null || at < known.at ? new LatestRenewal(at, proof) : known;
    }

    private LatestRenewal notBefore(long renewedAt) {
        return renewedAt > at ? new LatestRenewal(renewedAt, formerLeadersStopped) : this;
    }
}
