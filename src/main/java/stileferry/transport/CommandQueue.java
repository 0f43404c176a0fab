package stileferry.transport;

import java.util.concurrent.atomic.AtomicBoolean;
import org.agrona.concurrent.ManyToOneConcurrentArrayQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

/**
 * Queue of commands for the coordinator. Commands run in batches on the single IO thread, which owns the coordinator's
 * state.
 */
final class CommandQueue {
    private static final Logger LOG = LoggerFactory.getLogger("command-queue");
    private static final int CAPACITY = 16 * 1024;
    private static final int MAX_BATCH = 256;

    private final XnioIoThread ioThread;
    private final ManyToOneConcurrentArrayQueue<Runnable> queue = new ManyToOneConcurrentArrayQueue<>(CAPACITY);
    private final AtomicBoolean scheduled = new AtomicBoolean();
    private Runnable afterBatch = () -> {};
    private volatile boolean closed;

    /** Whether a batch is running; used only on the IO thread. */
    private boolean draining;

    CommandQueue(XnioIoThread ioThread) {
        this.ioThread = ioThread;
    }

    /** Sets the task that runs after each batch; must be called before the first command is queued. */
    void afterBatch(Runnable task) {
        afterBatch = task;
    }

    /** Stops accepting commands. */
    void close() {
        closed = true;
    }

    /**
     * Queues a command unless the queue is full or closed. When called on the IO thread outside of a batch, it drains
     * the queue at once, because waking the thread up takes several system calls per command.
     *
     * @return whether the command was accepted
     */
    boolean offer(Runnable command) {
        if (closed || !queue.offer(command)) {
            return false;
        }
        if (Thread.currentThread() != ioThread) {
            schedule();
        } else if (!draining) {
            drain();
        }
        return true;
    }

    /**
     * Queues a command that must not be lost, such as a reply to a request. May be called on any thread and never runs
     * the command within the call. If the queue is full, the command is submitted again later; after {@link #close} it
     * is dropped.
     */
    void submit(Runnable command) {
        if (closed) {
            return;
        }
        if (queue.offer(command)) {
            schedule();
        } else {
            ioThread.execute(() -> submit(command));
        }
    }

    private void schedule() {
        if (scheduled.compareAndSet(false, true)) {
            ioThread.execute(this::drain);
        }
    }

    private void drain() {
        scheduled.set(false);
        draining = true;
        try {
            for (int i = 0; i < MAX_BATCH; i++) {
                Runnable command = queue.poll();
                if (command == null) {
                    break;
                }
                run(command);
            }
            run(afterBatch);
        } finally {
            // reset even after an uncaught error; otherwise commands would never run again
            draining = false;
        }
        if (!queue.isEmpty()) {
            schedule();
        }
    }

    private static void run(Runnable command) {
        try {
            command.run();
        } catch (RuntimeException e) { // broad catch: a fault in one command must not end the IO thread
            LOG.error("command failed", e);
        }
    }
}
