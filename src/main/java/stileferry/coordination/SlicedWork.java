package stileferry.coordination;

import java.util.Iterator;
import java.util.function.BooleanSupplier;
import stileferry.protocol.Environment;

/**
 * Long work of an event loop, done step by step in slices with pauses in between, so that lease renewals and answers do
 * not wait for all of it.
 */
final class SlicedWork {
    /** Processing time after which a slice ends. */
    private static final long SLICE_MS = 100;

    private static final long PAUSE_MS = 1;

    private final Environment environment;
    private final BooleanSupplier cancelled;
    private final Iterator<Runnable> steps;
    private final Runnable onEnd;

    /**
     * Creates work that has not started.
     *
     * @param steps the steps; each is carried out before the next one is requested
     * @param onEnd runs after the last step
     */
    SlicedWork(Environment environment, BooleanSupplier cancelled, Iterator<Runnable> steps, Runnable onEnd) {
        this.environment = environment;
        this.cancelled = cancelled;
        this.steps = steps;
        this.onEnd = onEnd;
    }

    /** Carries out the first slice now and schedules the next one. */
    void run() {
        long sliceEndsAt = environment.now() + SLICE_MS;
        while (!cancelled.getAsBoolean() && steps.hasNext()) {
            if (environment.now() >= sliceEndsAt) {
                environment.schedule(PAUSE_MS, this::run);
                return;
            }
            steps.next().run();
        }
        if (!cancelled.getAsBoolean()) {
            onEnd.run();
        }
    }
}
