package stileferry.transport;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.xnio.XnioIoThread;
import stileferry.protocol.Environment;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.PeerMessageCodec;
import stileferry.protocol.Settings;

/** Environment of a running controller: system clocks, timers and sockets. Timers and replies use the command queue. */
final class NetworkEnvironment implements Environment {
    static final String PEER_PATH = "/peer";

    private static final long BYTES_PER_MB = 1024 * 1024;
    private static final byte[] NO_BODY = new byte[0];

    private final CommandQueue commands;
    private final XnioIoThread ioThread;
    private final HttpClient httpClient;
    private final RandomGenerator random = new SplittableRandom();
    private final int maxForwards;

    /** Forwarded requests without a response yet, by the address of the peer. */
    private final Map<String, Integer> forwardsInFlight = new HashMap<>();

    private LongSupplier openConnections = () -> 0;
    private volatile boolean closed;

    NetworkEnvironment(CommandQueue commands, EventLoop loop, int maxForwards) {
        this.maxForwards = maxForwards;
        this.commands = commands;
        this.ioThread = loop.ioThread();
        this.httpClient = loop.httpClient();
    }

    void close() {
        closed = true;
    }

    /** Sets what counts the open connections, once the servers have been started. */
    void countConnectionsWith(LongSupplier counter) {
        openConnections = counter;
    }

    @Override
    public long now() {
        return System.nanoTime() / 1_000_000;
    }

    @Override
    public long timeOfDay() {
        return System.currentTimeMillis();
    }

    @Override
    public RandomGenerator random() {
        return random;
    }

    @Override
    public void setLogLevel(String level) {
        LogLevel.set(level);
    }

    @Override
    public long usedHeapMb() {
        return (Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory()) / BYTES_PER_MB;
    }

    @Override
    public long maxHeapMb() {
        return Runtime.getRuntime().maxMemory() / BYTES_PER_MB;
    }

    @Override
    public long openConnections() {
        return openConnections.getAsLong();
    }

    @Override
    public void schedule(long delayMs, Runnable task) {
        if (!closed) {
            ioThread.executeAfter(
                    () -> {
                        if (!commands.offer(task)) {
                            commands.submit(task); // the queue is full; a timer must not be lost
                        }
                    },
                    Math.max(1, delayMs),
                    TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void request(
            String address, String method, String path, JsonNode body, long timeoutMs, ResponseHandler handler) {
        httpClient.request(
                address,
                method,
                path,
                body == null ? NO_BODY : MessageCodec.encode(body),
                timeoutMs,
                (status, bytes) -> commands.submit(
                        () -> handler.onResponse(status, bytes.length == 0 ? null : MessageCodec.decode(bytes))));
    }

    @Override
    public void sendToPeer(Settings.Peer peer, PeerMessage message, long timeoutMs, Consumer<PeerMessage> reply) {
        boolean isForward = message instanceof PeerMessage.ForwardedRequest;
        if (isForward && forwardsInFlight.getOrDefault(peer.address(), 0) >= maxForwards) {
            commands.submit(() -> reply.accept(null)); // an unresponsive peer must not use up all sockets
            return;
        }
        if (isForward) {
            forwardsInFlight.merge(peer.address(), 1, Integer::sum);
        }
        httpClient.requestKeepingLateConnection(
                peer.address(),
                "POST",
                PEER_PATH,
                PeerMessageCodec.encode(message),
                timeoutMs,
                (status, bytes) -> commands.submit(() -> {
                    if (isForward) {
                        forwardsInFlight.merge(peer.address(), -1, Integer::sum);
                    }
                    reply.accept(status == 200 ? PeerMessageCodec.decode(bytes) : null);
                }));
    }
}
