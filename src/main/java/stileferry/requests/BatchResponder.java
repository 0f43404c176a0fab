package stileferry.requests;

import java.util.Arrays;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import stileferry.protocol.Environment;
import stileferry.protocol.PeerMessage;

/**
 * Collects the leader's responses to a batch of requests. In a batch of status requests, those that take too long get a
 * 503 response, so that they don't delay the others.
 */
public final class BatchResponder {
    /** Most status requests receive a response at once; one about a completed job may need a key-value store read. */
    private static final long STATUS_TIMEOUT_MS = 500;

    private final PeerMessage.Response[] responses;
    private final Consumer<PeerMessage> reply;
    private int unanswered;

    /** Passes each request of a batch to the handler, and replies as soon as all of them have responses. */
    public static void respondTo(
            List<PeerMessage.ForwardedRequest> requests,
            Environment environment,
            BiConsumer<PeerMessage.ForwardedRequest, Consumer<PeerMessage.Response>> handler,
            Consumer<PeerMessage> reply) {
        BatchResponder batch = new BatchResponder(environment, requests, reply);
        for (int i = 0; i < requests.size(); i++) {
            int index = i;
            handler.accept(requests.get(i), response -> batch.recordResponse(index, response));
        }
    }

    private BatchResponder(
            Environment environment, List<PeerMessage.ForwardedRequest> requests, Consumer<PeerMessage> reply) {
        this.responses = new PeerMessage.Response[requests.size()];
        this.unanswered = responses.length;
        this.reply = reply;
        boolean onlyStatus = requests.stream().allMatch(request -> request.kind() == PeerMessage.RequestKind.STATUS);
        if (onlyStatus) {
            environment.schedule(STATUS_TIMEOUT_MS, this::failUnanswered);
        }
    }

    private void recordResponse(int index, PeerMessage.Response response) {
        if (responses[index] != null) {
            return;
        }
        responses[index] = response;
        unanswered--;
        if (unanswered == 0) {
            reply.accept(new PeerMessage.ResponseBatch(Arrays.asList(responses)));
        }
    }

    private void failUnanswered() {
        for (int i = 0; i < responses.length; i++) {
            recordResponse(i, Responses.unavailable());
        }
    }
}
