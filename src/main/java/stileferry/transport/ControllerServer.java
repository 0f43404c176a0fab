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

/** One controller's sockets: both servers and the client share one worker with one IO thread. */
public final class ControllerServer implements AutoCloseable {
    /** Heartbeat intervals without a word after which a connection is closed: its machine may be gone. */
    private static final double IDLE_HEARTBEAT_INTERVALS = 4;

    /** At least this long: users ask again within some seconds. */
    private static final int MIN_IDLE_MS = 20_000;

    private final EventLoop loop;
    private final CommandQueue commands;
    private final NetworkEnvironment environment;
    private final Undertow apiServer;
    private final Undertow peerServer;
    private final int idleMs;
    private ConnectorStatistics statistics;

    /**
     * Opens the addresses and begins to work. All of it is done by the IO thread while the caller waits: on simulated
     * machines, which rewrite system calls in the running process, a thread that loads classes while another reads from
     * its sockets can end the runtime.
     */
    public static ControllerServer open(Settings settings, Features features, InetAddress source) throws IOException {
        EventLoop loop = new EventLoop(settings.socketBudget().idle(), source);
        FutureTask<ControllerServer> opening = new FutureTask<>(() -> new ControllerServer(settings, features, loop));
        loop.ioThread().execute(opening);
        try {
            return opening.get();
        } catch (ExecutionException e) {
            Throwable problem = e.getCause();
            throw new IOException(problem.getCause() == null ? problem : problem.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while starting");
        }
    }

    private ControllerServer(Settings settings, Features features, EventLoop loop) {
        this.loop = loop;
        idleMs = (int) Math.max(
                MIN_IDLE_MS,
                IDLE_HEARTBEAT_INTERVALS * 1000 * settings.workers().heartbeatIntervalS());
        SocketBudget sockets = settings.socketBudget();
        commands = new CommandQueue(loop.ioThread());
        environment = new NetworkEnvironment(commands, loop, sockets.forwards());
        Coordinator coordinator = new Coordinator(settings, features, environment);
        commands.afterBatch(coordinator::endOfBatch);
        peerServer = buildServer(settings.peerListen(), sockets.peers(), new PeerServer(commands, coordinator));
        apiServer = buildServer(
                settings.clientListen(),
                sockets.incoming(),
                new ApiServer(commands, coordinator, ConcurrencyLimit.create(), sockets, this::openConnections));
        try {
            peerServer.start();
            apiServer.start();
            statistics = apiServer.getListenerInfo().get(0).getConnectorStatistics();
        } catch (RuntimeException e) { // broad catch: an address in use comes as one
            close(); // the other address and the threads must not outlive a failed start
            throw e;
        }
        commands.submit(coordinator::start);
    }

    @SuppressWarnings("deprecation") // the listener reads no other option for its statistics
    private Undertow buildServer(InetSocketAddress listen, int maxConnections, HttpHandler handler) {
        return Undertow.builder()
                .setWorker(loop.worker())
                .setByteBufferPool(loop.buffers())
                .addHttpListener(listen.getPort(), listen.getAddress().getHostAddress())
                .setServerOption(UndertowOptions.IDLE_TIMEOUT, idleMs)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, idleMs)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, idleMs / 4)
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

    /** Connections of users, workers and health checks that are open now. */
    private long openConnections() {
        return statistics.getActiveConnections();
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
