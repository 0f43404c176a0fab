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
 * batch is as large as the leader is slow, and at low load every request goes at once. Found on overloaded days: three
 * of four refusals were polls that got no connection to a leader whose time went into single requests.
 */
final class RequestForwarder {
    /** Requests that may wait: a few full batches. */
    private static final int MOST_WAITING = 4 * PeerMessage.MAX_BATCH_REQUESTS;

    /** Bytes of the bodies in one batch, well below what a record may hold. */
    private static final int MOST_BYTES = MessageCodec.MAX_BODY;

    private final Environment environment;
    private final int mostInFlight;
    private final ArrayDeque<Waiting> queue = new ArrayDeque<>();
    private int inFlight;

    /** One request with the time at which its user has to hear something. */
    private record Waiting(
            Settings.Peer leader, PeerMessage.ForwardedRequest request, long deadline, Consumer<PeerMessage> reply) {}

    /** A lane with so many batches in flight at most. */
    RequestForwarder(Environment environment, int mostInFlight) {
        this.environment = environment;
        this.mostInFlight = mostInFlight;
    }

    /** Sends a request with the next batch; null is the reply when it was not answered in time, or not sent. */
    void send(
            Settings.Peer leader, PeerMessage.ForwardedRequest request, long patienceMs, Consumer<PeerMessage> reply) {
        dropExpired();
        if (queue.size() >= MOST_WAITING) {
            reply.accept(null);
            return;
        }
        queue.add(new Waiting(leader, request, environment.now() + patienceMs, reply));
        flush();
    }

    private void dropExpired() {
        while (!queue.isEmpty() && queue.peek().deadline <= environment.now()) {
            queue.poll().reply.accept(null);
        }
    }

    private void flush() {
        dropExpired();
        while (inFlight < mostInFlight && !queue.isEmpty()) {
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
                && (batch.isEmpty() || bytes + queue.peek().request.body().length <= MOST_BYTES)) {
            bytes += queue.peek().request.body().length;
            batch.add(queue.poll());
        }
        return batch;
    }

    private void sendBatch(List<Waiting> batch) {
        inFlight++;
        long patienceMs = Math.max(1, batch.get(0).deadline - environment.now());
        List<PeerMessage.ForwardedRequest> requests =
                batch.stream().map(Waiting::request).toList();
        environment.sendToPeer(batch.get(0).leader, new PeerMessage.RequestBatch(requests), patienceMs, record -> {
            inFlight--;
            List<PeerMessage.Response> answers =
                    record instanceof PeerMessage.ResponseBatch b ? b.answers() : List.of();
            for (int i = 0; i < batch.size(); i++) {
                batch.get(i).reply.accept(answers.size() == batch.size() ? answers.get(i) : null);
            }
            flush();
        });
    }
}
