package stileferry.requests;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Supplier;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.UserMessages;

/** Builds the responses to users and operators that several classes share. */
public final class Responses {
    private static final int RETRY_AFTER_S = 1;

    private Responses() {}

    /** Returns a successful response. */
    public static PeerMessage.Response ok(int status, ObjectNode body) {
        return new PeerMessage.Response(status, 0, MessageCodec.encode(body));
    }

    /** Returns the 503 response to a user's request that can't be processed now. */
    public static PeerMessage.Response unavailable() {
        return unavailable("not available, try again");
    }

    /**
     * Returns the 503 response to an operator's request that only the leader can respond to, when there is no leader or
     * this controller is not certain to lead.
     */
    public static PeerMessage.Response noLeader() {
        return unavailable("no leader, or not sure of it");
    }

    /** Returns an error response without a retry time, as retrying the request gives the same result. */
    public static PeerMessage.Response error(int status, String reason) {
        return new PeerMessage.Response(status, 0, MessageCodec.encode(UserMessages.error(reason)));
    }

    /** Returns a view of the administration API, or a 405 response if the request is not a GET. */
    public static PeerMessage.Response readOnlyView(boolean isGet, Supplier<ObjectNode> view) {
        return isGet ? ok(200, view.get()) : error(405, "only GET here");
    }

    private static PeerMessage.Response unavailable(String reason) {
        return new PeerMessage.Response(503, RETRY_AFTER_S, MessageCodec.encode(UserMessages.error(reason)));
    }
}
