package stileferry.protocol;

import java.util.List;

/** What controllers send one another; {@link PeerMessageCodec} writes and reads it. */
public sealed interface PeerMessage {

    /** What a forwarded request asks. It travels by its ordinal, so new kinds go to the end. */
    enum RequestKind {
        SUBMIT("submit"),
        STATUS("status"),
        CANCEL("withdraw"),
        HEARTBEAT("report"),
        ADMINISTRATION("admin");

        private final String wireName;

        RequestKind(String wireName) {
            this.wireName = wireName;
        }

        /** The word that stands for it in the administration API. */
        public String wireName() {
            return wireName;
        }
    }

    /**
     * A request forwarded to the leader; for {@link RequestKind#ADMINISTRATION} the id is the method and the rest of
     * the path.
     */
    record ForwardedRequest(RequestKind kind, String id, byte[] body) implements PeerMessage {}

    /** The leader's answer to a forwarded request. */
    record Response(int status, int retryAfterS, byte[] body) implements PeerMessage {}

    /** The highest term its sender knows, who leads in it (empty: nobody known), and whether the sender does. */
    record TermAnnouncement(
            long term,
            String leader,
            boolean senderLeads,
            CancellationKnowledge knowledge,
            List<String> linkViewParticipants)
            implements PeerMessage {
        /** A term whose sender does not watch its links. */
        public TermAnnouncement(long term, String leader, boolean leading, CancellationKnowledge knowledge) {
            this(term, leader, leading, knowledge, List.of());
        }

        /** A term of the older form, which says nothing of cancellations. */
        public TermAnnouncement(long term, String leader, boolean leading) {
            this(term, leader, leading, null);
        }

        /** The same with the controllers that are known to exchange views of their links, the sender first. */
        public TermAnnouncement withLinkViewParticipants(List<String> controllers) {
            return new TermAnnouncement(term, leader, senderLeads, knowledge, controllers);
        }
    }

    /**
     * A controller's view of its links, in the form that {@code stileferry.connectivity} writes, and the answer to one.
     * It is sent only to controllers that have shown, in a {@link TermAnnouncement}, that they exchange views.
     */
    record LinkView(byte[] view) implements PeerMessage {}

    /**
     * A controller's demand for admissions on its way to the leader, and the leader's table of admission windows in
     * answer, in the forms that {@code stileferry.admission} writes. A controller that does not take part answers with
     * something else.
     */
    record AdmissionExchange(byte[] message) implements PeerMessage {}

    /**
     * Requests forwarded to the leader together. Sent only to a leader that has answered {@link AdmissionExchange}.
     */
    record RequestBatch(List<ForwardedRequest> requests) implements PeerMessage {
        /** Copies the list. */
        public RequestBatch {
            requests = List.copyOf(requests);
        }
    }

    /** The leader's answers to a batch, in its order. */
    record ResponseBatch(List<Response> responses) implements PeerMessage {
        /** Copies the list. */
        public ResponseBatch {
            responses = List.copyOf(responses);
        }
    }

    /** Requests that one batch may hold. */
    int MAX_BATCH_REQUESTS = 256;

    /**
     * What the sender of a term knows of cancelled jobs. Controllers of version 0.1 neither write this nor read it: it
     * stands behind all that they know.
     *
     * @param processId tells the sender's process from its former lives
     * @param recipientProcessId the process that the sender takes the receiver for; 0: not known
     * @param informed whether the sender counts as informed, see {@code CancellationQuorum}
     * @param complete whether the sender leads for sure and names every cancellation that may have been confirmed
     * @param cancelledJobs the jobs
     */
    record CancellationKnowledge(
            long processId, long recipientProcessId, boolean informed, boolean complete, List<String> cancelledJobs) {}

    /** Jobs that one record may name; a complete list is no longer. */
    int MAX_CANCELLED_JOBS = 2000;
}
