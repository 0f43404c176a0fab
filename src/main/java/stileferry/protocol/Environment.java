package stileferry.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Everything outside the controller's state machine: clocks, timers, random numbers, and requests to other processes.
 * All callbacks run on the one thread that owns the state. An implementation is based on sockets or on a simulation.
 */
public interface Environment {
    /** The status of a request that got no response, so that its outcome is unknown. */
    int NO_RESPONSE = 0;

    /** The status of a request that was certainly never sent. */
    int NOT_SENT = -1;

    /** Returns the reading of a monotonic clock in milliseconds; its origin is arbitrary. */
    long now();

    /** Returns the wall clock time in milliseconds since the epoch. */
    long timeOfDay();

    /** Returns a random number generator, to be used for jitter only. */
    RandomGenerator random();

    /** Sets the log level: error, info, debug, or default for the level that the process was started with. */
    void setLogLevel(String level);

    /** Returns the megabytes of heap in use, garbage included; 0 if the implementation does not measure it. */
    default long usedHeapMb() {
        return 0;
    }

    /** Returns the maximum size of the heap in megabytes; 0 if the implementation does not measure it. */
    default long maxHeapMb() {
        return 0;
    }

    /**
     * Returns the number of open connections from users, workers and health checks; 0 if the implementation does not
     * measure it.
     */
    default long openConnections() {
        return 0;
    }

    /** Runs a task after a delay, on the thread that owns the state. */
    void schedule(long delayMs, Runnable task);

    /** Sends an HTTP request with a MessagePack body (null: empty). The handler is called exactly once. */
    void request(String address, String method, String path, JsonNode body, long timeoutMs, ResponseHandler handler);

    /** Sends a message to a peer. The callback is called exactly once, with null if there was no reply. */
    void sendToPeer(Settings.Peer peer, PeerMessage message, long timeoutMs, Consumer<PeerMessage> reply);

    /** Handles the response to a request. */
    interface ResponseHandler {
        /**
         * Called with the outcome of the request.
         *
         * @param status an HTTP status, {@link #NO_RESPONSE} or {@link #NOT_SENT}
         * @param body the decoded body, or null if there is none
         */
        void onResponse(int status, JsonNode body);
    }
}
