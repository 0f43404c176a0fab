package stileferry.protocol;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** The bodies of answers to users; a refusal has the same form for everybody. */
public final class UserMessages {
    private UserMessages() {}

    /** The state of a job, with the numbers of its completed and running tasks. */
    public static ObjectNode jobState(String id, String state, int done, int running) {
        return MessageCodec.map()
                .put(WireNames.NAME_ID, id)
                .put(WireNames.STATE, state)
                .put(WireNames.DONE, done)
                .put(WireNames.RUNNING, running);
    }

    /** A refusal with its reason. */
    public static ObjectNode error(String reason) {
        return MessageCodec.map().put(WireNames.ERROR, reason);
    }
}
