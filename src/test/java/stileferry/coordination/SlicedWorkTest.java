package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import stileferry.protocol.Environment;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.Settings;

/** Tests that long work leaves the event loop to others between its slices. */
class SlicedWorkTest {
    private static final int STEPS = 100;
    private static final long STEP_MS = 30;

    /** A third of the shortest lease of a leader. */
    private static final long MAX_SLICE_MS = 333;

    private final ManualEnvironment environment = new ManualEnvironment();
    private final List<Integer> done = new ArrayList<>();
    private boolean cancelled;
    private int ends;

    private void start() {
        new SlicedWork(
                        environment,
                        () -> cancelled,
                        IntStream.range(0, STEPS).mapToObj(this::step).iterator(),
                        () -> ends++)
                .run();
    }

    private Runnable step(int number) {
        return () -> {
            environment.now += STEP_MS;
            done.add(number);
        };
    }

    /** Guards against a recovery that keeps the event loop for longer than the leader's lease. */
    @Test
    void noSliceKeepsTheEventLoopForLong() {
        start();
        for (int slices = 1; ; slices++) {
            assertTrue(environment.now - environment.sliceBeganAt <= MAX_SLICE_MS, slices + " slices");
            if (!environment.runNextTimer()) {
                break;
            }
        }
        assertEquals(IntStream.range(0, STEPS).boxed().toList(), done);
        assertEquals(1, ends);
    }

    @Test
    void nothingIsDoneOnceItIsCancelled() {
        start();
        int before = done.size();
        cancelled = true;
        while (environment.runNextTimer()) {
            assertEquals(before, done.size());
        }
        assertEquals(0, ends);
    }

    /** A clock that only the steps advance, and timers that run when the test says so. */
    private static final class ManualEnvironment implements Environment {
        private final ArrayDeque<Runnable> timers = new ArrayDeque<>();
        private long now = 1000;
        private long sliceBeganAt = now;

        boolean runNextTimer() {
            Runnable timer = timers.poll();
            sliceBeganAt = now;
            if (timer != null) {
                timer.run();
            }
            return timer != null;
        }

        @Override
        public long now() {
            return now;
        }

        @Override
        public long timeOfDay() {
            return now;
        }

        @Override
        public RandomGenerator random() {
            return new SplittableRandom(1);
        }

        @Override
        public void setLogLevel(String level) {}

        @Override
        public void schedule(long delayMs, Runnable task) {
            timers.add(task);
        }

        @Override
        public void request(
                String address, String method, String path, JsonNode body, long timeoutMs, ResponseHandler handler) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void sendToPeer(Settings.Peer peer, PeerMessage message, long timeoutMs, Consumer<PeerMessage> reply) {
            throw new UnsupportedOperationException();
        }
    }
}
