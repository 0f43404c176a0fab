package stileferry;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import stileferry.protocol.Settings;
import stileferry.transport.Node;

/** One controller, for programs that embed it and for the daemon. */
public final class Controller implements AutoCloseable {
    private final Settings settings;
    private final CountDownLatch closed = new CountDownLatch(1);
    private Node node;

    private Controller(Settings settings) {
        this.settings = settings;
    }

    /** Starts describing a controller. */
    public static Builder builder() {
        return new Builder();
    }

    /** Describes a controller. */
    public static final class Builder {
        private Settings settings;

        private Builder() {}

        /** What the platform hands over. */
        public Builder settings(Settings value) {
            settings = value;
            return this;
        }

        /** A controller that has not started. */
        public Controller build() {
            if (settings == null) {
                throw new IllegalStateException("a controller needs settings");
            }
            return new Controller(settings);
        }
    }

    /** Opens the addresses and begins to work; returns at once. */
    public synchronized void start() throws IOException {
        if (node != null) {
            throw new IllegalStateException("started already");
        }
        node = Node.open(settings);
    }

    /** Closes the addresses and stops all work; what is durable stays. */
    @Override
    public synchronized void close() {
        if (node != null) {
            node.close();
            node = null;
        }
        closed.countDown();
    }

    /** Waits until the controller is closed. */
    public void awaitClosed() throws InterruptedException {
        closed.await();
    }
}
