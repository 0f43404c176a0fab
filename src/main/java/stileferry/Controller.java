package stileferry;

import java.io.IOException;
import java.net.InetAddress;
import java.util.concurrent.CountDownLatch;
import stileferry.protocol.Features;
import stileferry.protocol.Settings;
import stileferry.transport.ControllerServer;

/** A controller of the scheduler, to be run by the daemon or embedded in another program. */
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

    /** Creates a builder with default features and without settings, which have to be set. */
    public static Builder builder() {
        return new Builder();
    }

    /** Collects the settings and options of a controller, and creates it. */
    public static final class Builder {
        private Settings settings;
        private Features features = Features.NONE;
        private InetAddress sourceAddress;

        private Builder() {}

        /** Sets the settings, which the platform provides; required. */
        public Builder settings(Settings value) {
            settings = value;
            return this;
        }

        /** Sets which optional features are on; by default, all are off. */
        public Builder features(Features value) {
            features = value;
            return this;
        }

        /**
         * Sets the local address of outgoing connections, for machines with several addresses.
         *
         * @param value the address, or null (the default) if the operating system chooses it
         */
        public Builder sourceAddress(InetAddress value) {
            sourceAddress = value;
            return this;
        }

        /**
         * Creates a controller without starting it.
         *
         * @throws IllegalStateException if no settings were set
         */
        public Controller build() {
            if (settings == null) {
                throw new IllegalStateException("settings are required to create a controller");
            }
            return new Controller(this);
        }
    }

    /**
     * Opens the listeners, starts the controller on its own thread and returns.
     *
     * @throws IOException if a listener can't be opened
     * @throws IllegalStateException if the controller is already running
     */
    public synchronized void start() throws IOException {
        if (server != null) {
            throw new IllegalStateException("the controller is already running");
        }
        server = ControllerServer.open(settings, features, sourceAddress);
    }

    /** Closes the listeners and stops all work; durable state remains. */
    @Override
    public synchronized void close() {
        if (server != null) {
            server.close();
            server = null;
        }
        closed.countDown();
    }

    /** Blocks until the controller is closed. */
    public void awaitClosed() throws InterruptedException {
        closed.await();
    }
}
