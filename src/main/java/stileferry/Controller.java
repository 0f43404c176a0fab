package stileferry;

import java.io.IOException;
import java.net.InetAddress;
import java.util.concurrent.CountDownLatch;
import stileferry.protocol.Features;
import stileferry.protocol.Settings;
import stileferry.transport.ControllerServer;

/** One controller, for programs that embed it and for the daemon. */
public final class Controller implements AutoCloseable {
    private final Settings settings;
    private final Features features;
    private final InetAddress sourceAddress;
    private final CountDownLatch closed = new CountDownLatch(1);
    private ControllerServer server;

    private Controller(Builder builder) {
        this.settings = builder.settings;
        this.features = builder.features;
        this.sourceAddress = builder.sourceAddress;
    }

    /** Starts describing a controller. */
    public static Builder builder() {
        return new Builder();
    }

    /** Describes a controller. */
    public static final class Builder {
        private Settings settings;
        private Features features = Features.NONE;
        private InetAddress sourceAddress;

        private Builder() {}

        /** What the platform hands over. */
        public Builder settings(Settings value) {
            settings = value;
            return this;
        }

        /** Which optional parts are on; none unless this is called. */
        public Builder features(Features value) {
            features = value;
            return this;
        }

        /** The address that outgoing connections come from, on machines with several; null: the system chooses. */
        public Builder sourceAddress(InetAddress value) {
            sourceAddress = value;
            return this;
        }

        /** A controller that has not started. */
        public Controller build() {
            if (settings == null) {
                throw new IllegalStateException("a controller needs settings");
            }
            return new Controller(this);
        }
    }

    /** Opens the addresses and begins to work; returns at once. */
    public synchronized void start() throws IOException {
        if (server != null) {
            throw new IllegalStateException("started already");
        }
        server = ControllerServer.open(settings, features, sourceAddress);
    }

    /** Closes the addresses and stops all work; what is durable stays. */
    @Override
    public synchronized void close() {
        if (server != null) {
            server.close();
            server = null;
        }
        closed.countDown();
    }

    /** Waits until the controller is closed. */
    public void awaitClosed() throws InterruptedException {
        closed.await();
    }
}
