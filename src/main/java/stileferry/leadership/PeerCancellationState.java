package stileferry.leadership;

import stileferry.protocol.PeerMessage.CancellationKnowledge;

/**
 * The knowledge that a leader has of one peer with regard to cancellations; replies received in the leader's term
 * update it.
 */
final class PeerCancellationState {
    /** Which kind of reply the peer sent last in this controller's term. */
    enum Version {
        /** The peer has not replied yet. */
        UNKNOWN,
        /** The peer runs an older version, whose messages carry no cancellations; it never becomes informed. */
        WITHOUT_CANCELLATIONS,
        /** The peer's messages carry cancellations. */
        WITH_CANCELLATIONS
    }

    /** Identifies the peer's process, as stated in its last reply, or 0 if it is unknown. */
    long processId;

    Version version = Version.UNKNOWN;
    boolean informed;

    /**
     * The latest send time of an announcement to which the peer, while informed, replied with this controller's
     * term: it knew no higher term then.
     */
    long knewNoHigherTermAt = CancellationQuorum.NEVER;

    void beginTerm() {
        version = Version.UNKNOWN;
        informed = false;
        knewNoHigherTermAt = CancellationQuorum.NEVER;
    }

    void receiveReply(CancellationKnowledge knowledge) {
        boolean carriesCancellations = knowledge != null;
        version = carriesCancellations ? Version.WITH_CANCELLATIONS : Version.WITHOUT_CANCELLATIONS;
        processId = carriesCancellations ? knowledge.processId() : 0;
        informed = carriesCancellations && knowledge.informed();
    }
}
