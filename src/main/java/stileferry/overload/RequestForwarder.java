package stileferry.overload;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import stileferry.protocol.Environment;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.Settings;

/**
 * Sends users' requests to the leader together. While batches are in flight what comes up waits for the next one, so a
 * batch is as large as the leader is slow, and at low load every request goes at once.
 */
final class RequestForwarder {
    /** Requests that may wait: a few full batches. */
    private static final int MAX_WAITING = 4 * PeerMessage.MAX_BATCH_REQUESTS;

    /** Bytes of the bodies in one batch, well below what a record may hold. */
    private static final int MAX_BATCH_BYTES = MessageCodec.MAX_BODY_BYTES;

    private final Environment environment;
    private final int maxBatchesInFlight;
    private final ArrayDeque<Waiting> queue = new ArrayDeque<>();
    private int batchesInFlight;

    /** One request with the time at which its user has to hear something. */
    private record Waiting(
            Settings.Peer leader, PeerMessage.ForwardedRequest request, long deadlineMs, Consumer<PeerMessage> reply) {}

    /** With so many batches in flight at most. */
    RequestForwarder(Environment environment, int maxBatchesInFlight) {
        this.environment = environment;
        this.maxBatchesInFlight = maxBatchesInFlight;
    }

    /** Sends a request with the next batch; null is the reply when it was not answered in time, or not sent. */
    void send(
            Settings.Peer leader, PeerMessage.ForwardedRequest request, long patienceMs, Consumer<PeerMessage> reply) {
        dropExpired();
        if (queue.size() >= MAX_WAITING) {
            reply.accept(null);
            return;
        }
        queue.add(new Waiting(leader, request, environment.now() + patienceMs, reply));
        flush();
    }

    private void dropExpired() {
        while (!queue.isEmpty() && queue.peek().deadlineMs <= environment.now()) {
            queue.poll().reply.accept(null);
        }
    }

    private void flush() {
        dropExpired();
        while (batchesInFlight < maxBatchesInFlight && !queue.isEmpty()) {
            sendBatch(nextBatch());
        }
    }

    /** The oldest request and those behind it that go to the same controller, as many as fit. */
    private List<Waiting> nextBatch() {
        Settings.Peer leader = queue.peek().leader;
        List<Waiting> batch = new ArrayList<>();
        int bytes = 0;
        while (!queue.isEmpty()
                && batch.size() < PeerMessage.MAX_BATCH_REQUESTS
                && queue.peek().leader.equals(leader)
                && (batch.isEmpty() || bytes + queue.peek().request.body().length <= MAX_BATCH_BYTES)) {
            bytes += queue.peek().request.body().length;
            batch.add(queue.poll());
        }
        return batch;
    }

    private void sendBatch(List<Waiting> batch) {
        batchesInFlight++;
        long patienceMs = Math.max(1, batch.get(0).deadlineMs - environment.now());
        List<PeerMessage.ForwardedRequest> requests =
                batch.stream().map(Waiting::request).toList();
        environment.sendToPeer(batch.get(0).leader, new PeerMessage.RequestBatch(requests), patienceMs, message -> {
            batchesInFlight--;
            List<PeerMessage.Response> answers =
                    message instanceof PeerMessage.ResponseBatch batchAnswer ? batchAnswer.responses() : List.of();
            boolean complete = answers.size() == batch.size();
            for (int i = 0; i < batch.size(); i++) {
                batch.get(i).reply.accept(complete ? answers.get(i) : null);
            }
            flush();
        });
    }
}
