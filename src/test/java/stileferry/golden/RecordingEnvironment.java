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
 * A world with a clock of its own around one controller: it records every request that the controller sends, as the
 * exact bytes, and answers with literal messages. What has no scripted answer is not answered.
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

    /** One request of the controller, with its method and path in one line. */
    record SentRequest(String address, String line, byte[] body) {}

    void afterTask(Runnable action) {
        afterTask = action;
    }

    /** From now on requests with this line get this answer; several are given in turn, the last one for good. */
    void respondTo(String line, GoldenMessages.Message... answers) {
        responses.put(line, new ArrayDeque<>(List.of(answers)));
    }

    /** All requests with this line so far, query included. */
    List<SentRequest> sentRequests(String line) {
        return sentRequests.stream()
                .filter(request -> request.line.equals(line))
                .toList();
    }

    /** All requests so far. */
    List<SentRequest> sentRequests() {
        return List.copyOf(sentRequests);
    }

    /** Carries something out on the owner's turn. */
    void runTask(Runnable task) {
        task.run();
        afterTask.run();
    }

    /** Lets so much time pass. */
    void advance(long ms) {
        long end = nowMs + ms;
        while (!timers.isEmpty() && timers.peek().dueAtMs <= end) {
            Timer timer = timers.poll();
            nowMs = timer.dueAtMs;
            runTask(timer.task);
        }
        nowMs = end;
    }

    /** Lets time pass until a request with this line has been sent so many times. */
    SentRequest awaitRequest(String line, int count, long mostMs) {
        long end = nowMs + mostMs;
        while (sentRequests(line).size() < count && !timers.isEmpty() && timers.peek().dueAtMs <= end) {
            advance(timers.peek().dueAtMs - nowMs);
        }
        if (sentRequests(line).size() < count) {
            fail("not sent: " + line + "; sent: "
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
    public void request(String addr, String method, String path, JsonNode body, long timeoutMs, ResponseHandler reply) {
        String line = method + " " + path;
        sentRequests.add(new SentRequest(addr, line, body == null ? new byte[0] : MessageCodec.encode(body)));
        Deque<GoldenMessages.Message> answers = responses.get(line);
        if (answers == null) {
            schedule(timeoutMs, () -> reply.onResponse(Environment.NO_ANSWER, null));
            return;
        }
        GoldenMessages.Message answer = answers.size() > 1 ? answers.poll() : answers.peek();
        byte[] bytes = answer.body();
        schedule(1, () -> reply.onResponse(answer.status(), bytes.length == 0 ? null : MessageCodec.decode(bytes)));
    }

    @Override
    public void sendToPeer(Settings.Peer peer, PeerMessage record, long timeoutMs, Consumer<PeerMessage> reply) {
        schedule(timeoutMs, () -> reply.accept(null)); // the other controllers say nothing
    }
}
