package stileferry.autoscaling;

import com.fasterxml.jackson.databind.node.ObjectNode;
import stileferry.protocol.Environment;
import stileferry.storage.RateLimiter;

/** Calls the cloud within its rate limit, during one term. */
final class CloudClient {
    /** Share of the cloud's rate limit that this client uses. */
    private static final double RATE_SHARE = 0.8;

    private static final double BURST_S = 1.5;
    private static final long TIMEOUT_MS = 5000;

    private final Environment environment;
    private final String address;
    private final RateLimiter rateLimiter;
    private boolean closed;

    CloudClient(Environment environment, String address, double callsPerSecond) {
        this.environment = environment;
        this.address = address;
        this.rateLimiter = new RateLimiter(environment, callsPerSecond * RATE_SHARE, BURST_S);
    }

    /** Stops passing responses on. */
    void close() {
        closed = true;
    }

    /** Takes a permit for one call; returns false if the rate limit allows none now. */
    boolean tryAcquire() {
        return rateLimiter.tryAcquire(1, 0);
    }

    /** Calls the cloud; the caller has to have acquired a permit. */
    void call(String method, String path, ObjectNode body, Environment.ResponseHandler reply) {
        environment.request(address, method, path, body, TIMEOUT_MS, (status, answer) -> {
            if (!closed) {
                reply.onResponse(status, answer);
            }
        });
    }
}
