package stileferry.requests;

import java.util.Arrays;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import stileferry.protocol.Environment;
import stileferry.protocol.PeerRecord;

/**
 * Gathers the leader's answers to a batch. Questions that take long are answered 503, so that the others don't wait.
 */
public final class BatchReply {
    /** Most questions are answered at once; one about an ended job may need a read. */
    private static final long LONGEST_QUESTION_MS = 500;

    private final PeerRecord.Answer[] answers;
    private final Consumer<PeerRecord> reply;
    private int missing;
    private boolean sent;

    /** Has each request of a batch answered, and replies as soon as all of them are. */
    public static void to(
            List<PeerRecord.Forward> requests,
            Environment environment,
            BiConsumer<PeerRecord.Forward, Consumer<PeerRecord.Answer>> handler,
            Consumer<PeerRecord> reply) {
        BatchReply batch = new BatchReply(environment, requests, reply);
        for (int i = 0; i < requests.size(); i++) {
            int number = i;
            handler.accept(requests.get(i), answer -> batch.answer(number, answer));
        }
    }

    private BatchReply(Environment environment, List<PeerRecord.Forward> requests, Consumer<PeerRecord> reply) {
        this.answers = new PeerRecord.Answer[requests.size()];
        this.missing = answers.length;
        this.reply = reply;
        boolean questions = requests.stream().allMatch(r -> r.ask() == PeerRecord.Ask.STATUS);
        if (questions) {
            environment.after(LONGEST_QUESTION_MS, this::giveUp);
        }
    }

    private void answer(int request, PeerRecord.Answer answer) {
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
            answer(i, Answers.unavailable());
        }
    }

    private void send() {
        if (!sent) {
            sent = true;
            reply.accept(new PeerRecord.BatchAnswer(Arrays.asList(answers)));
        }
    }
}
