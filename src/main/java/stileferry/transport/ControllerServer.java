package stileferry.transport;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.ConnectorStatistics;
import io.undertow.server.HttpHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import org.xnio.Options;
import stileferry.coordination.Coordinator;
import stileferry.protocol.Features;
import stileferry.protocol.Settings;
import stileferry.protocol.SocketBudget;

/** Servers and HTTP client of one controller, which share one XNIO worker with a single IO thread. */
public final class ControllerServer implements AutoCloseable {
    /** Heartbeat intervals without traffic after which a connection is closed, as its machine may be gone. */
    private static final double IDLE_HEARTBEAT_INTERVALS = 4;

    /** Lower bound of the idle timeout, so that users who repeat requests every few seconds keep their connection. */
    private static final int MIN_IDLE_TIMEOUT_MS = 20_000;

    private final EventLoop loop;
    private final CommandQueue commands;
    private final NetworkEnvironment environment;
    private final Undertow apiServer;
    private final Undertow peerServer;
    private final int idleTimeoutMs;
    private ConnectorStatistics apiConnectionStatistics;

    /**
     * Opens the listeners and starts the controller. The IO thread does all of this while the caller waits: on
     * simulated machines, which rewrite system calls in the running process, the JVM can crash if one thread loads
     * classes while another reads from its sockets.
     *
     * @param sourceAddress local address of outgoing connections, or null if the operating system chooses it
     * @throws IOException if a listener can't be opened, or if the caller is interrupted
     */
    public static ControllerServer open(Settings settings, Features features, InetAddress sourceAddress)
            throws IOException {
        EventLoop loop = new EventLoop(settings.socketBudget().idle(), sourceAddress);
        FutureTask<ControllerServer> opening = new FutureTask<>(() -> new ControllerServer(settings, features, loop));
        loop.ioThread().execute(opening);
        try {
            return opening.get();
        } catch (ExecutionException e) {
            Throwable cause = e.getCause();
            throw new IOException(cause.getCause() == null ? cause : cause.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while starting");
        }
    }

    private ControllerServer(Settings settings, Features features, EventLoop loop) {
        this.loop = loop;
        idleTimeoutMs = (int) Math.max(
                MIN_IDLE_TIMEOUT_MS,
                IDLE_HEARTBEAT_INTERVALS * 1000 * settings.workers().heartbeatIntervalS());
        SocketBudget socketBudget = settings.socketBudget();
        commands = new CommandQueue(loop.ioThread());
        environment = new NetworkEnvironment(commands, loop, socketBudget.forwards());
        Coordinator coordinator = new Coordinator(settings, features, environment);
        commands.afterBatch(coordinator::endOfBatch);
        peerServer = buildServer(settings.peerListen(), socketBudget.peers(), new PeerServer(commands, coordinator));
        apiServer = buildServer(
                settings.clientListen(),
                socketBudget.incoming(),
                new ApiServer(commands, coordinator, ConcurrencyLimit.create(), socketBudget, this::openConnections));
        try {
            peerServer.start();
            apiServer.start();
            apiConnectionStatistics = apiServer.getListenerInfo().get(0).getConnectorStatistics();
            environment.countConnectionsWith(this::openConnections);
        } catch (RuntimeException e) { // broad catch: thrown if an address is in use
            close(); // a failed start must leave neither the other listener nor the threads behind
            throw e;
        }
        commands.submit(coordinator::start);
    }

    @SuppressWarnings("deprecation") // the listener supports no other option for statistics
    private Undertow buildServer(InetSocketAddress listen, int maxConnections, HttpHandler handler) {
        return Undertow.builder()
                .setWorker(loop.xnioWorker())
                .setByteBufferPool(loop.buffers())
                .addHttpListener(listen.getPort(), listen.getAddress().getHostAddress())
                .setServerOption(UndertowOptions.IDLE_TIMEOUT, idleTimeoutMs)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, idleTimeoutMs)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, idleTimeoutMs / 4)
                .setServerOption(UndertowOptions.ENABLE_CONNECTOR_STATISTICS, true)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .setServerOption(UndertowOptions.RECORD_REQUEST_START_TIME, false)
                .setSocketOption(Options.CONNECTION_HIGH_WATER, maxConnections)
                .setSocketOption(Options.CONNECTION_LOW_WATER, maxConnections - 1)
                .setSocketOption(Options.TCP_NODELAY, true)
                .setSocketOption(Options.REUSE_ADDRESSES, true)
                .setHandler(handler)
                .build();
    }

    /** Returns how many connections of users, workers and health checks are open now. */
    private long openConnections() {
        return apiConnectionStatistics.getActiveConnections();
    }

    @Override
    public void close() {
        commands.close();
        environment.close();
        apiServer.stop();
        peerServer.stop();
        loop.close();
    }
}
