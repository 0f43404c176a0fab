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
    private static final long TIME_OF_DAY_MS = 1_700_000_000_000L;

    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final Map<String, Deque<GoldenMessages.Message>> script = new HashMap<>();
    private final RandomGenerator random = new SplittableRandom(1);
    private final List<Sent> sent = new ArrayList<>();
    private long now = START_MS;
    private long timerIds;
    private Runnable afterTurn = () -> {};

    private record Timer(long at, long id, Runnable task) implements Comparable<Timer> {
        @Override
        public int compareTo(Timer other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(id, other.id);
        }
    }

    /** One request of the controller, with its method and path in one line. */
    record Sent(String address, String line, byte[] body) {}

    void afterTurn(Runnable action) {
        afterTurn = action;
    }

    /** From now on requests with this line get this answer; several are given in turn, the last one for good. */
    void answer(String line, GoldenMessages.Message... answers) {
        script.put(line, new ArrayDeque<>(List.of(answers)));
    }

    /** All requests with this line so far, query included. */
    List<Sent> sent(String line) {
        return sent.stream().filter(request -> request.line.equals(line)).toList();
    }

    /** All requests so far. */
    List<Sent> sent() {
        return List.copyOf(sent);
    }

    /** Carries something out on the owner's turn. */
    void turn(Runnable task) {
        task.run();
        afterTurn.run();
    }

    /** Lets so much time pass. */
    void play(long ms) {
        long end = now + ms;
        while (!timers.isEmpty() && timers.peek().at <= end) {
            Timer timer = timers.poll();
            now = timer.at;
            turn(timer.task);
        }
        now = end;
    }

    /** Lets time pass until a request with this line has been sent so many times. */
    Sent awaitSent(String line, int count, long mostMs) {
        long end = now + mostMs;
        while (sent(line).size() < count && !timers.isEmpty() && timers.peek().at <= end) {
            play(timers.peek().at - now);
        }
        if (sent(line).size() < count) {
            fail("not sent: " + line + "; sent: "
                    + sent.stream().map(Sent::line).distinct().toList());
        }
        return sent(line).get(count - 1);
    }

    @Override
    public long now() {
        return now;
    }

    @Override
    public long timeOfDay() {
        return TIME_OF_DAY_MS;
    }

    @Override
    public RandomGenerator random() {
        return random;
    }

    @Override
    public void setLogLevel(String level) {}

    @Override
    public void schedule(long delayMs, Runnable task) {
        timers.add(new Timer(now + Math.max(0, delayMs), timerIds++, task));
    }

    @Override
    public void request(String addr, String method, String path, JsonNode body, long timeoutMs, ResponseHandler reply) {
        String line = method + " " + path;
        sent.add(new Sent(addr, line, body == null ? new byte[0] : MessageCodec.encode(body)));
        Deque<GoldenMessages.Message> answers = script.get(line);
        if (answers == null) {
            schedule(timeoutMs, () -> reply.onResponse(Environment.NO_RESPONSE, null));
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
