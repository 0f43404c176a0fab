package stileferry.coordination;

import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.protocol.PeerMessage;
import stileferry.requests.BatchResponder;
import stileferry.requests.Responses;

/** Dispatches the messages that other controllers send, and replies to them. */
final class PeerMessageHandler {
    private static final Logger LOG = LoggerFactory.getLogger("coordinator");

    private final ControllerContext controller;
    private final Supplier<Leader> leader;
    private final UserRequestRouter userRequests;

    /** {@code leader} supplies null while this controller does not lead. */
    PeerMessageHandler(ControllerContext controller, Supplier<Leader> leader, UserRequestRouter userRequests) {
        this.controller = controller;
        this.leader = leader;
        this.userRequests = userRequests;
    }

    void handle(PeerMessage message, Consumer<PeerMessage> reply) {
        if (message instanceof PeerMessage.TermAnnouncement announcement) {
            if (announcement.senderLeads()) {
                controller.links().announcementReceived(announcement.leader(), announcement);
            }
            reply.accept(controller.election().receive(announcement));
        } else if (message instanceof PeerMessage.ForwardedRequest request) {
            userRequests.handleForwarded(request, reply::accept);
        } else if (message instanceof PeerMessage.RequestBatch batch && leader.get() != null) {
            BatchResponder.respondTo(batch.requests(), controller.environment(), userRequests::handleForwarded, reply);
        } else if (message instanceof PeerMessage.AdmissionExchange exchange) {
            reply.accept(orUnavailable(controller.admission().exchange(exchange)));
        } else if (message instanceof PeerMessage.LinkView view) {
            reply.accept(orUnavailable(controller.links().receiveView(view)));
        } else {
            LOG.debug("unexpected message from peer: message={}", message);
            reply.accept(Responses.unavailable());
        }
    }

    private static PeerMessage orUnavailable(PeerMessage answer) {
        return answer == null ? Responses.unavailable() : answer;
    }
}
