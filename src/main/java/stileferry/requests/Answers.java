package stileferry.requests;

import com.fasterxml.jackson.databind.node.ObjectNode;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.Messages;
import stileferry.protocol.PeerRecord;

/** The answers to users and operators that several parts give. */
public final class Answers {
    private Answers() {}

    public static PeerRecord.Answer ok(int status, ObjectNode body) {
        return new PeerRecord.Answer(status, 0, MessageCodec.encode(body));
    }

    public static PeerRecord.Answer unavailable() {
        return new PeerRecord.Answer(503, 1, MessageCodec.encode(Messages.error("not available, try again")));
    }

    public static PeerRecord.Answer refusal(int status, String reason) {
        return new PeerRecord.Answer(status, 0, MessageCodec.encode(Messages.error(reason)));
    }
}
