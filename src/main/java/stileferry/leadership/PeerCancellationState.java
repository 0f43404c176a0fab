package stileferry.leadership;

import stileferry.protocol.PeerMessage.CancellationKnowledge;

/** What is known of another controller, in this node's term where it leads. */
final class PeerCancellationState {
    /** How a peer answered in this node's term. */
    enum Version {
        /** It has not answered yet. */
        UNKNOWN,
        /** An older version, whose messages hold no cancellations; it is never informed. */
        WITHOUT_CANCELLATIONS,
        WITH_CANCELLATIONS
    }

    long processId;
    Version version = Version.UNKNOWN;
    boolean informed;

    /** When it was last asked, of all times at which it answered, informed, that it knows of no higher term. */
    long knewNoHigherTermAt = CancellationQuorum.NEVER;

    void beginTerm() {
        version = Version.UNKNOWN;
        informed = false;
        knewNoHigherTermAt = CancellationQuorum.NEVER;
    }

    void receiveReply(CancellationKnowledge knowledge) {
        boolean known = knowledge != null;
        version = known ? Version.WITH_CANCELLATIONS : Version.WITHOUT_CANCELLATIONS;
        processId = known ? knowledge.processId() : 0;
        informed = known && knowledge.informed();
    }
}
