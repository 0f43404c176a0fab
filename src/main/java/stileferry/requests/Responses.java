package stileferry.requests;

import com.fasterxml.jackson.databind.node.ObjectNode;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.UserMessages;

/** The answers to users and operators that several parts give. */
public final class Responses {
    private Responses() {}

    public static PeerMessage.Response ok(int status, ObjectNode body) {
        return new PeerMessage.Response(status, 0, MessageCodec.encode(body));
    }

    public static PeerMessage.Response unavailable() {
        return new PeerMessage.Response(503, 1, MessageCodec.encode(UserMessages.error("not available, try again")));
    }

    public static PeerMessage.Response refusal(int status, String reason) {
        return new PeerMessage.Response(status, 0, MessageCodec.encode(UserMessages.error(reason)));
    }
}
