package stileferry.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * All that the single owner of the state can see and do outside itself. Every reply comes back on the owner's
 * own turn, so whoever implements this decides what the world is: sockets, or a simulation.
 */
public interface Environment {
    /** The status of a request whose outcome is unknown. */
    int NO_RESPONSE = 0;

    /** The status of a request that certainly never left this process. */
    int NOT_SENT = -1;

    /** A steady clock in milliseconds. */
    long now();

    /** The time of day in milliseconds since the epoch. */
    long timeOfDay();

    /** Random numbers, for jitter only. */
    RandomGenerator random();

    /** Sets how much is logged: error, info, debug, or default for what the process was started with. */
    void setLogLevel(String level);

    /** Runs something later, on the owner's turn. */
    void schedule(long delayMs, Runnable task);

    /** Sends a MessagePack request; a null body is an empty one. The handler is called exactly once. */
    void request(String address, String method, String path, JsonNode body, long timeoutMs, ResponseHandler handler);

    /** Sends a message to another controller; the reply comes exactly once, null stands for no answer. */
    void sendToPeer(Settings.Peer peer, PeerMessage message, long timeoutMs, Consumer<PeerMessage> reply);

    /** Takes the answer to a request; the body may be null. */
    interface ResponseHandler {
        /** Called with an HTTP status, {@link #NO_RESPONSE} or {@link #NOT_SENT}. */
        void onResponse(int status, JsonNode body);
    }
}
