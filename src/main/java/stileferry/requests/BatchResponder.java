package stileferry.requests;

import java.util.Arrays;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import stileferry.protocol.Environment;
import stileferry.protocol.PeerMessage;

/**
 * Gathers the leader's answers to a batch. Questions that take long are answered 503, so that the others don't wait.
 */
public final class BatchResponder {
    /** Most questions are answered at once; one about an ended job may need a read. */
    private static final long LONGEST_QUESTION_MS = 500;

    private final PeerMessage.Response[] answers;
    private final Consumer<PeerMessage> reply;
    private int missing;
    private boolean sent;

    /** Has each request of a batch answered, and replies as soon as all of them are. */
    public static void to(
            List<PeerMessage.ForwardedRequest> requests,
            Environment environment,
            BiConsumer<PeerMessage.ForwardedRequest, Consumer<PeerMessage.Response>> handler,
            Consumer<PeerMessage> reply) {
        BatchResponder batch = new BatchResponder(environment, requests, reply);
        for (int i = 0; i < requests.size(); i++) {
            int number = i;
            handler.accept(requests.get(i), answer -> batch.answer(number, answer));
        }
    }

    private BatchResponder(
            Environment environment, List<PeerMessage.ForwardedRequest> requests, Consumer<PeerMessage> reply) {
        this.answers = new PeerMessage.Response[requests.size()];
        this.missing = answers.length;
        this.reply = reply;
        boolean questions = requests.stream().allMatch(r -> r.kind() == PeerMessage.RequestKind.STATUS);
        if (questions) {
            environment.schedule(LONGEST_QUESTION_MS, this::giveUp);
        }
    }

    private void answer(int request, PeerMessage.Response answer) {
        if (answers[request] != null) {
            return;
        }
        answers[request] = answer;
        missing--;
        if (missing == 0) {
            send();
        }
    }

    private void giveUp() {
        for (int i = 0; i < answers.length; i++) {
            answer(i, Responses.unavailable());
        }
    }

    private void send() {
        if (!sent) {
            sent = true;
            reply.accept(new PeerMessage.ResponseBatch(Arrays.asList(answers)));
        }
    }
}
