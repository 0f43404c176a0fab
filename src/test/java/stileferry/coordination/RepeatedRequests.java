package stileferry.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Predicate;
import stileferry.protocol.Environment;

/**
 * Delivers requests of controllers once more, or several times, after they were carried out and answered. Nobody waits
 * for the answers to these copies.
 */
final class RepeatedRequests {
    private static final long MIN_DELAY_MS = 200;
    private static final int MAX_DELAY_IN_LEASES = 3;
    private static final int MAX_COPIES = 3;

    private final SimulatedCluster cluster;
    private final List<AnsweredRequest> recorded = new ArrayList<>();

    /** Has a sequence of its own, so that runs without repeated requests do not depend on this class. */
    private final SplittableRandom random;

    /** The share of answered requests that arrive again. */
    double rate;

    /** Whether answered requests are kept for {@link #deliverRecorded}. */
    boolean recording;

    /**
     * A request that was answered.
     *
     * @param receiver the address of a machine's agent, or the name of a controller or of the store
     * @param body the body, or null if it is not a message to a worker
     * @param serve handles the request at its receiver once more
     */
    record AnsweredRequest(String receiver, JsonNode body, Consumer<Environment.ResponseHandler> serve) {
        /** Returns whether the request starts tasks on a machine. */
        boolean starts() {
            return body != null && body.toString().contains("\"run\"");
        }

        private void deliver() {
            serve.accept((status, response) -> {});
        }
    }

    RepeatedRequests(SimulatedCluster cluster, long seed) {
        this.cluster = cluster;
        this.random = new SplittableRandom(seed);
    }

    /** Returns a handler that serves a request like {@code serve} and has it repeated after its answer. */
    Consumer<Environment.ResponseHandler> repeating(
            String receiver, JsonNode body, Consumer<Environment.ResponseHandler> serve) {
        return reply -> serve.accept((status, response) -> {
            reply.onResponse(status, response);
            answered(new AnsweredRequest(receiver, body, serve));
        });
    }

    private void answered(AnsweredRequest request) {
        if (recording) {
            recorded.add(request);
        }
        if (rate > 0 && random.nextDouble() < rate) {
            int copies = 1 + random.nextInt(MAX_COPIES);
            for (int copy = 0; copy < copies; copy++) {
                long delayMs = MIN_DELAY_MS + random.nextLong(MAX_DELAY_IN_LEASES * cluster.leaseMs);
                cluster.after(delayMs, request::deliver);
            }
        }
    }

    /** Delivers the recorded requests that match once more, and returns how many these are. */
    int deliverRecorded(Predicate<AnsweredRequest> condition) {
        List<AnsweredRequest> matching = recorded.stream().filter(condition).toList();
        matching.forEach(AnsweredRequest::deliver);
        return matching.size();
    }
}
