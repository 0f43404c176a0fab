package stileferry.requests;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Supplier;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.UserMessages;

/** The answers to users and operators that several parts give. */
public final class Responses {
    private static final int RETRY_AFTER_S = 1;

    private Responses() {}

    /** A success with its body. */
    public static PeerMessage.Response ok(int status, ObjectNode body) {
        return new PeerMessage.Response(status, 0, MessageCodec.encode(body));
    }

    /** What a user's request that can't be answered now gets. */
    public static PeerMessage.Response unavailable() {
        return unavailable("not available, try again");
    }

    /** What an operator's request that only a leader can answer gets when there is none, or it is not sure to lead. */
    public static PeerMessage.Response noLeader() {
        return unavailable("no leader, or not sure of it");
    }

    /** A refusal that is the same however often the request is repeated. */
    public static PeerMessage.Response error(int status, String reason) {
        return new PeerMessage.Response(status, 0, MessageCodec.encode(UserMessages.error(reason)));
    }

    /** A view of the administration API, which can only be read. */
    public static PeerMessage.Response readOnlyView(boolean isGet, Supplier<ObjectNode> view) {
        return isGet ? ok(200, view.get()) : error(405, "only GET here");
    }

    private static PeerMessage.Response unavailable(String reason) {
        return new PeerMessage.Response(503, RETRY_AFTER_S, MessageCodec.encode(UserMessages.error(reason)));
    }
}
