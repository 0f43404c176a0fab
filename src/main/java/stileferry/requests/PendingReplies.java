package stileferry.requests;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import stileferry.protocol.PeerMessage;

/** Users who wait for one job's acceptance, cancellation or end to be durable. */
final class PendingReplies {
    private final long since;
    private final List<Consumer<PeerMessage.Response>> replies = new ArrayList<>();

    /** Nobody waits yet; {@code since}: when the first of them came, in milliseconds on the steady clock. */
    PendingReplies(long since) {
        this.since = since;
    }

    void add(Consumer<PeerMessage.Response> reply) {
        replies.add(reply);
    }

    /** When the first of them came. */
    long since() {
        return since;
    }

    void answer(PeerMessage.Response response) {
        replies.forEach(reply -> reply.accept(response));
    }
}
