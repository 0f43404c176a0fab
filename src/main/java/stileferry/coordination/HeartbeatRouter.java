package stileferry.coordination;

import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import stileferry.heartbeat.FollowerHeartbeats;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.UserMessages;
import stileferry.requests.Responses;

/**
 * Routes workers' heartbeats to the leader's handler if this controller leads, otherwise to {@link FollowerHeartbeats}.
 */
final class HeartbeatRouter {
    private static final String MALFORMED = "not a report";

    private final ControllerContext controller;
    private final Supplier<Leader> leader;
    private final FollowerHeartbeats followerHeartbeats;

    /** {@code leader} supplies null while this controller does not lead. */
    HeartbeatRouter(ControllerContext controller, Supplier<Leader> leader) {
        this.controller = controller;
        this.leader = leader;
        this.followerHeartbeats = new FollowerHeartbeats(
                controller.settings(),
                controller.environment(),
                controller.election(),
                controller.links(),
                (heartbeat, reply) -> answer(heartbeat, false, reply));
    }

    /** Responds to a heartbeat received directly from its worker, with an HTTP status and a body. */
    void handle(byte[] body, BiConsumer<Integer, byte[]> reply) {
        Leader current = leader.get();
        Heartbeat heartbeat = current == null ? Heartbeat.read(body) : Heartbeat.read(body, current::lastHeartbeat);
        if (heartbeat == null) {
            reply.accept(400, MessageCodec.encode(UserMessages.error(MALFORMED)));
        } else if (current != null) {
            answer(heartbeat, false, reply);
        } else {
            controller.links().heartbeatReceived(heartbeat);
            followerHeartbeats.receive(heartbeat, body, reply);
        }
    }

    /** Responds to a heartbeat that another controller has forwarded; called only while this controller leads. */
    void handleForwarded(byte[] body, Consumer<PeerMessage.Response> reply) {
        Heartbeat heartbeat = Heartbeat.read(body, leader.get()::lastHeartbeat);
        if (heartbeat == null) {
            reply.accept(Responses.error(400, MALFORMED));
        } else {
            answer(heartbeat, true, (status, answer) -> reply.accept(new PeerMessage.Response(status, 0, answer)));
        }
    }

    private void answer(Heartbeat heartbeat, boolean forwarded, BiConsumer<Integer, byte[]> reply) {
        if (heartbeat.fencingToken() > controller.election().term()) {
            controller.election().observeTerm(heartbeat.fencingToken(), "");
        }
        Consumer<byte[]> onAnswer = answer -> {
            if (answer == null) {
                reply.accept(503, MessageCodec.encode(UserMessages.error("not entitled to answer this report")));
            } else {
                controller.links().heartbeatAnswered(heartbeat, forwarded);
                reply.accept(200, answer);
            }
        };
        Leader current = leader.get(); // null if a higher term has just deposed it
        if (current == null) {
            onAnswer.accept(null);
        } else {
            current.receive(heartbeat, onAnswer);
        }
    }
}
