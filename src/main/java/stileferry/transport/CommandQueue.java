package stileferry.transport;

import java.util.concurrent.atomic.AtomicBoolean;
import org.agrona.concurrent.ManyToOneConcurrentArrayQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

/** The queue of commands for the owner of the state, drained in batches on the one IO thread. */
final class CommandQueue {
    private static final Logger LOG = LoggerFactory.getLogger("command-queue");
    private static final int CAPACITY = 16 * 1024;
    private static final int MAX_BATCH = 256;

    private final XnioIoThread ioThread;
    private final ManyToOneConcurrentArrayQueue<Runnable> queue = new ManyToOneConcurrentArrayQueue<>(CAPACITY);
    private final AtomicBoolean scheduled = new AtomicBoolean();
    private Runnable afterBatch = () -> {};
    private volatile boolean closed;

    /** A batch is being carried out; only looked at on the IO thread. */
    private boolean draining;

    CommandQueue(XnioIoThread thread) {
        this.ioThread = thread;
    }

    /** Sets what runs after each batch; called before the first command. */
    void afterBatch(Runnable task) {
        afterBatch = task;
    }

    /** From now on nothing is taken any more. */
    void close() {
        closed = true;
    }

    /**
     * Takes a command that may be refused when the owner is far behind. On the IO thread, outside of any batch, it is
     * carried out at once: to have the thread woken up by itself takes several system calls a command.
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

    /** Queues a command that must not be lost and has to wait until its caller, on any thread, is done: a reply. */
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
            // also after an error that is not caught here, else nothing would ever be carried out again
            draining = false;
        }
        if (!queue.isEmpty()) {
            schedule();
        }
    }

    private static void run(Runnable command) {
        try {
            command.run();
        } catch (RuntimeException e) { // broad catch: one command's defect must not end the owner's thread
            LOG.error("command failed", e);
        }
    }
}
