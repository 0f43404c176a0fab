package stileferry.requests;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import stileferry.protocol.Environment;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.Settings;

/**
 * Forwards users' requests to the leader in batches. While the maximum number of batches is in flight, further requests
 * wait for the next one. So batches grow when the leader slows down, and at low load every request is sent at once.
 */
public final class RequestForwarder {
    /** The maximum number of queued requests: a few full batches. */
    private static final int MAX_QUEUED_REQUESTS = 4 * PeerMessage.MAX_BATCH_REQUESTS;

    /** The maximum bytes of request bodies in one batch, well below what a message between controllers may hold. */
    private static final int MAX_BATCH_BYTES = MessageCodec.MAX_BODY_BYTES;

    private final Environment environment;
    private final int maxBatchesInFlight;
    private final BatchEnd endsWith;
    private final ArrayDeque<QueuedRequest> queue = new ArrayDeque<>();
    private int batchesInFlight;

    /** A queued request with the time by which its user must receive a response. */
    private record QueuedRequest(
            Settings.Peer leader, PeerMessage.ForwardedRequest request, long deadlineMs, Consumer<PeerMessage> reply) {}

    /** With the timeout of which of its requests a batch is given up. */
    public enum BatchEnd {
        /** No request gets its response late. */
        OLDEST_REQUEST,
        /** The newest requests are not given up with the oldest, whose responses may come late. */
        NEWEST_REQUEST
    }

    /** Creates a forwarder with a limit on the batches in flight. */
    public RequestForwarder(Environment environment, int maxBatchesInFlight, BatchEnd endsWith) {
        this.environment = environment;
        this.maxBatchesInFlight = maxBatchesInFlight;
        this.endsWith = endsWith;
    }

    /**
     * Queues a request for the next batch; the reply is null if no response arrived in time or it was not sent.
     *
     * @return false, without a reply, if too many requests are queued
     */
    public boolean send(
            Settings.Peer leader, PeerMessage.ForwardedRequest request, long timeoutMs, Consumer<PeerMessage> reply) {
        dropExpired();
        if (queue.size() >= MAX_QUEUED_REQUESTS) {
            return false;
        }
        queue.add(new QueuedRequest(leader, request, environment.now() + timeoutMs, reply));
        flush();
        return true;
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

    /**
     * Dequeues the oldest request and those directly behind it for the same controller, as many as fit into one batch.
     */
    private List<QueuedRequest> nextBatch() {
        Settings.Peer leader = queue.peek().leader;
        List<QueuedRequest> batch = new ArrayList<>();
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

    private void sendBatch(List<QueuedRequest> batch) {
        batchesInFlight++;
        QueuedRequest last = batch.get(endsWith == BatchEnd.NEWEST_REQUEST ? batch.size() - 1 : 0);
        long timeoutMs = Math.max(1, last.deadlineMs - environment.now());
        List<PeerMessage.ForwardedRequest> requests =
                batch.stream().map(QueuedRequest::request).toList();
        environment.sendToPeer(batch.get(0).leader, new PeerMessage.RequestBatch(requests), timeoutMs, message -> {
            batchesInFlight--;
            List<PeerMessage.Response> responses =
                    message instanceof PeerMessage.ResponseBatch responseBatch ? responseBatch.responses() : List.of();
            boolean complete = responses.size() == batch.size();
            for (int i = 0; i < batch.size(); i++) {
                batch.get(i).reply.accept(complete ? responses.get(i) : null);
            }
            flush();
        });
    }
}
