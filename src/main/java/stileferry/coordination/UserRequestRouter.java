package stileferry.coordination;

import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.PeerMessage.ForwardedRequest;
import stileferry.protocol.PeerMessage.RequestKind;
import stileferry.protocol.Settings;
import stileferry.requests.AdministrationRequest;
import stileferry.requests.UnavailableReason;

/** Routes users' requests to the leader, which is this controller or another one. */
final class UserRequestRouter {
    private static final Logger LOG = LoggerFactory.getLogger("coordinator");

    /** Shorter than the users' own timeout for a query, which is 2 s. */
    private static final long STATUS_FORWARD_TIMEOUT_MS = 1500;

    /** Shorter than the users' own timeout for a change, which is 5 s. */
    private static final long CHANGE_FORWARD_TIMEOUT_MS = 4000;

    private final ControllerContext controller;
    private final Supplier<Leader> leader;
    private final HeartbeatRouter heartbeats;
    private final UnansweredQuestionsCheck unansweredQuestions;
    private final QuestionForwarder questions;

    /** {@code leader} supplies null while this controller does not lead. */
    UserRequestRouter(ControllerContext controller, Supplier<Leader> leader, HeartbeatRouter heartbeats) {
        this.controller = controller;
        this.leader = leader;
        this.heartbeats = heartbeats;
        this.questions = new QuestionForwarder(controller.environment());
        this.unansweredQuestions = new UnansweredQuestionsCheck(controller.environment(), controller.metrics());
    }

    /**
     * Responds to a request received by this controller: locally if it leads, otherwise by forwarding it to the leader.
     */
    void handle(ForwardedRequest request, Consumer<PeerMessage.Response> reply) {
        long receivedAt = controller.environment().now();
        route(request, response -> {
            long tookMs = controller.environment().now() - receivedAt;
            controller.metrics().record(request.kind(), response.status(), tookMs);
            unansweredQuestions.responded(request.kind(), response.status());
            if (request.kind() == RequestKind.SUBMIT) {
                LOG.debug(
                        "submission answered: status={} took_ms={} leader={}",
                        response.status(),
                        tookMs,
                        controller.election().leader());
            }
            reply.accept(response);
        });
    }

    /**
     * Returns whether a request costs hardly more to answer than to refuse: a question that the leader answers from
     * memory, or that is forwarded to it.
     */
    boolean passesConcurrencyLimit(RequestKind kind, String id) {
        Leader current = leader.get();
        return kind == RequestKind.STATUS && (current == null || current.knowsJob(id));
    }

    /** Counts a request that was refused, and not handled, because too many are in progress. */
    void countRefused(RequestKind kind) {
        PeerMessage.Response response = controller.metrics().unavailable(UnavailableReason.TOO_MANY_IN_PROGRESS);
        controller.metrics().record(kind, response.status(), 0);
        unansweredQuestions.responded(kind, response.status());
    }

    private void route(ForwardedRequest request, Consumer<PeerMessage.Response> reply) {
        Leader current = leader.get();
        if (current != null) {
            handleAsLeader(current, request, reply);
            return;
        }
        Settings.Peer peer = controller.election().leaderPeer();
        if (peer == null || controller.links().peerUnreachable(peer.name())) {
            reply.accept(controller.metrics().unavailable(UnavailableReason.NO_LEADER_KNOWN));
            return;
        }
        if (request.kind() == RequestKind.SUBMIT) {
            controller.admission().admit(request.body(), reply, answer -> forward(peer, request, answer));
        } else {
            forward(peer, request, reply);
        }
    }

    private void forward(Settings.Peer peer, ForwardedRequest request, Consumer<PeerMessage.Response> reply) {
        long timeoutMs = request.kind() == RequestKind.STATUS ? STATUS_FORWARD_TIMEOUT_MS : CHANGE_FORWARD_TIMEOUT_MS;
        Consumer<PeerMessage> onAnswer = answer -> reply.accept(
                answer instanceof PeerMessage.Response response
                        ? response
                        : controller.metrics().unavailable(UnavailableReason.LEADER_DID_NOT_ANSWER));
        boolean batched = request.kind() != RequestKind.ADMINISTRATION
                && controller.admission().acceptsBatches(peer);
        if (batched) {
            controller.admission().forward(peer, request, timeoutMs, onAnswer);
        } else if (request.kind() == RequestKind.STATUS) {
            questions.send(peer, controller.election().term(), request, timeoutMs, onAnswer);
        } else {
            controller.environment().sendToPeer(peer, request, timeoutMs, onAnswer);
        }
    }

    /** Responds to a request that another controller has forwarded; rejects it if this controller does not lead. */
    void handleForwarded(ForwardedRequest request, Consumer<PeerMessage.Response> reply) {
        Leader current = leader.get();
        if (current == null) {
            reply.accept(controller.metrics().unavailable(UnavailableReason.NOT_LEADING));
        } else {
            handleAsLeader(current, request, reply);
        }
    }

    private void handleAsLeader(Leader current, ForwardedRequest request, Consumer<PeerMessage.Response> reply) {
        switch (request.kind()) {
            case SUBMIT ->
                controller.admission().admit(request.body(), reply, answer -> current.jobRequests()
                        .submit(request.body(), answer));
            case STATUS -> current.jobRequests().status(request.id(), reply);
            case CANCEL -> current.jobRequests().cancel(request.id(), reply);
            case ADMINISTRATION -> current.administer(AdministrationRequest.read(request.id(), request.body()), reply);
            case HEARTBEAT -> heartbeats.handleForwarded(request.body(), reply);
        }
    }
}
