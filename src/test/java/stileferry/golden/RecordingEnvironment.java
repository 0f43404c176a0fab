package stileferry.golden;

import static org.junit.jupiter.api.Assertions.fail;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import stileferry.protocol.Environment;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.Settings;

/**
 * The environment of one controller, with a simulated clock: records the exact bytes of every request that the
 * controller sends, and responds with literal messages. Requests without a scripted response time out.
 */
final class RecordingEnvironment implements Environment {
    private static final long START_MS = 1_000_000;
    private static final long WALL_CLOCK_MS = 1_700_000_000_000L;

    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final Map<String, Deque<GoldenMessages.Message>> responses = new HashMap<>();
    private final RandomGenerator random = new SplittableRandom(1);
    private final List<SentRequest> sentRequests = new ArrayList<>();
    private long nowMs = START_MS;
    private long nextTimerId;
    private Runnable afterTask = () -> {};

    private record Timer(long dueAtMs, long id, Runnable task) implements Comparable<Timer> {
        @Override
        public int compareTo(Timer other) {
            return dueAtMs != other.dueAtMs ? Long.compare(dueAtMs, other.dueAtMs) : Long.compare(id, other.id);
        }
    }

    /**
     * A request that the controller sent.
     *
     * @param line method and path, including the query
     */
    record SentRequest(String address, String line, byte[] body) {}

    /** Sets what runs after each task, as the event loop does after each batch of commands. */
    void afterTask(Runnable action) {
        afterTask = action;
    }

    /**
     * Sets the responses to further requests with this method and path. They are returned in order, and the last one is
     * repeated for all requests after it.
     */
    void respondTo(String line, GoldenMessages.Message... scripted) {
        responses.put(line, new ArrayDeque<>(List.of(scripted)));
    }

    /** Returns the requests with this method and path that were sent so far, in order. */
    List<SentRequest> sentRequests(String line) {
        return sentRequests.stream()
                .filter(request -> request.line.equals(line))
                .toList();
    }

    /** Returns all requests that were sent so far, in order. */
    List<SentRequest> sentRequests() {
        return List.copyOf(sentRequests);
    }

    /** Runs a task as the controller's event loop would, followed by the action set with {@link #afterTask}. */
    void runTask(Runnable task) {
        task.run();
        afterTask.run();
    }

    /** Advances the clock by some milliseconds, running the timers that become due. */
    void advance(long ms) {
        long endMs = nowMs + ms;
        while (!timers.isEmpty() && timers.peek().dueAtMs <= endMs) {
            Timer timer = timers.poll();
            nowMs = timer.dueAtMs;
            runTask(timer.task);
        }
        nowMs = endMs;
    }

    /**
     * Advances the clock until a request with this method and path has been sent {@code count} times in all.
     *
     * @param maxMs milliseconds after which the test fails
     * @return the last of these requests
     */
    SentRequest awaitRequest(String line, int count, long maxMs) {
        long endMs = nowMs + maxMs;
        while (sentRequests(line).size() < count && !timers.isEmpty() && timers.peek().dueAtMs <= endMs) {
            advance(timers.peek().dueAtMs - nowMs);
        }
        if (sentRequests(line).size() < count) {
            fail("request not sent: " + line + "; sent: "
                    + sentRequests.stream().map(SentRequest::line).distinct().toList());
        }
        return sentRequests(line).get(count - 1);
    }

    @Override
    public long now() {
        return nowMs;
    }

    @Override
    public long timeOfDay() {
        return WALL_CLOCK_MS;
    }

    @Override
    public RandomGenerator random() {
        return random;
    }

    @Override
    public void setLogLevel(String level) {}

    @Override
    public void schedule(long delayMs, Runnable task) {
        timers.add(new Timer(nowMs + Math.max(0, delayMs), nextTimerId++, task));
    }

    @Override
    public void request(
            String address, String method, String path, JsonNode body, long timeoutMs, ResponseHandler handler) {
        String line = method + " " + path;
        sentRequests.add(new SentRequest(address, line, body == null ? new byte[0] : MessageCodec.encode(body)));
        Deque<GoldenMessages.Message> scripted = responses.get(line);
        if (scripted == null) {
            schedule(timeoutMs, () -> handler.onResponse(Environment.NO_RESPONSE, null));
            return;
        }
        GoldenMessages.Message response = scripted.size() > 1 ? scripted.poll() : scripted.peek();
        byte[] responseBytes = response.body();
        schedule(
                1,
                () -> handler.onResponse(
                        response.status(), responseBytes.length == 0 ? null : MessageCodec.decode(responseBytes)));
    }

    @Override
    public void sendToPeer(Settings.Peer peer, PeerMessage message, long timeoutMs, Consumer<PeerMessage> handler) {
        schedule(timeoutMs, () -> handler.accept(null)); // no other controller ever responds
    }
}
