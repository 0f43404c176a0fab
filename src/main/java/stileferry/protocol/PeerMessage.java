package stileferry.protocol;

import java.util.List;

/** A message between controllers, encoded and decoded by {@link PeerMessageCodec}. */
public sealed interface PeerMessage {

    /** The kind of a forwarded request. It is encoded as its ordinal, so new kinds must be added at the end. */
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

        /** Returns the name of the kind in the administration API. */
        public String wireName() {
            return wireName;
        }
    }

    /**
     * A request forwarded to the leader.
     *
     * @param id the job's id for requests of users, the machine's name for {@link RequestKind#HEARTBEAT}, the HTTP
     *     method and the rest of the path for {@link RequestKind#ADMINISTRATION}
     * @param body the body as received
     */
    record ForwardedRequest(RequestKind kind, String id, byte[] body) implements PeerMessage {}

    /**
     * The leader's response to a forwarded request.
     *
     * @param status the HTTP status
     * @param retryAfterS seconds after which the client should retry; 0 if not specified
     */
    record Response(int status, int retryAfterS, byte[] body) implements PeerMessage {}

    /**
     * Announces the highest term that the sender knows.
     *
     * @param leader the name of the leader in this term; empty: not known
     * @param senderLeads whether the sender is this leader
     * @param knowledge what the sender knows of cancelled jobs; null: the sender's version doesn't announce it
     * @param linkViewParticipants the controllers known to exchange views of their links, the sender first; empty if
     *     the sender doesn't monitor its links
     */
    record TermAnnouncement(
            long term,
            String leader,
            boolean senderLeads,
            CancellationKnowledge knowledge,
            List<String> linkViewParticipants)
            implements PeerMessage {
        /** Creates an announcement of a sender that doesn't monitor its links. */
        public TermAnnouncement(long term, String leader, boolean senderLeads, CancellationKnowledge knowledge) {
            this(term, leader, senderLeads, knowledge, List.of());
        }

        /** Creates an announcement in the older form, without cancellations. */
        public TermAnnouncement(long term, String leader, boolean senderLeads) {
            this(term, leader, senderLeads, null);
        }

        /** Returns a copy with the controllers known to exchange views of their links, the sender first. */
        public TermAnnouncement withLinkViewParticipants(List<String> participants) {
            return new TermAnnouncement(term, leader, senderLeads, knowledge, participants);
        }
    }

    /**
     * A controller's view of its links, encoded by {@code stileferry.connectivity}. The reply is a message of the same
     * kind. It is sent only to controllers that have shown in a {@link TermAnnouncement} that they exchange views.
     */
    record LinkView(byte[] view) implements PeerMessage {}

    /**
     * A controller's demand estimate, sent to the leader, or the leader's reply with its table of admission windows,
     * both encoded by {@code stileferry.admission}. A controller without fair admission replies with another kind of
     * message.
     */
    record AdmissionExchange(byte[] message) implements PeerMessage {}

    /**
     * Requests forwarded to the leader in one message. Sent only to a leader that has replied with an
     * {@link AdmissionExchange}.
     */
    record RequestBatch(List<ForwardedRequest> requests) implements PeerMessage {
        /** Makes an immutable copy of the list. */
        public RequestBatch {
            requests = List.copyOf(requests);
        }
    }

    /** The leader's responses to a batch, in the order of its requests. */
    record ResponseBatch(List<Response> responses) implements PeerMessage {
        /** Makes an immutable copy of the list. */
        public ResponseBatch {
            responses = List.copyOf(responses);
        }
    }

    /** The maximum number of requests in one batch. */
    int MAX_BATCH_REQUESTS = 256;

    /**
     * What the sender of a term announcement knows of cancelled jobs. Controllers of version 0.1 neither write nor read
     * this; it follows after all fields that they know.
     *
     * @param processId distinguishes the sender's process from earlier ones of the same controller
     * @param recipientProcessId the id of the recipient's process as last known to the sender; 0: not known
     * @param informed whether the sender counts as informed, see {@code CancellationQuorum}
     * @param complete whether the sender is certainly the leader and the list has every cancellation that may have been
     *     confirmed
     * @param cancelledJobs the ids of cancelled jobs
     */
    record CancellationKnowledge(
            long processId, long recipientProcessId, boolean informed, boolean complete, List<String> cancelledJobs) {}

    /** The maximum number of jobs in {@link CancellationKnowledge}; a longer list can't be sent as complete. */
    int MAX_CANCELLED_JOBS = 2000;
}
