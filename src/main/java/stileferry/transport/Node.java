package stileferry.transport;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import stileferry.coordination.Coordinator;
import stileferry.protocol.Settings;

/** One controller's sockets: both servers and the client share one worker with one IO thread. */
public final class Node implements AutoCloseable {
    private static final int BUFFER_BYTES = 8 * 1024;

    /** Connections that say nothing for this long are closed; users poll every 5 s, workers report more often. */
    private static final int IDLE_MS = 60_000;

    private final XnioWorker worker;
    private final NetworkOutside outside;
    private final Undertow users;
    private final Undertow peers;

    /** Opens the addresses and begins to work. */
    public Node(Settings settings) throws IOException {
        worker = Xnio.getInstance().createWorker(OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 0)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.TCP_NODELAY, true)
                .getMap());
        XnioIoThread thread = worker.getIoThread();
        ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, 256, 4);
        Owner owner = new Owner(thread);
        outside = new NetworkOutside(owner, thread, new HttpCaller(thread, buffers));
        Coordinator coordinator = new Coordinator(settings, outside);
        owner.afterBatch(coordinator::endOfBatch);
        peers = server(settings.peerListen(), buffers, new PeerServer(owner, coordinator));
        users = server(settings.clientListen(), buffers, new UserServer(owner, coordinator));
        peers.start();
        try {
            users.start();
        } catch (RuntimeException e) {
            peers.stop();
            worker.shutdownNow();
            throw e;
        }
        owner.submit(coordinator::start);
    }

    private Undertow server(InetSocketAddress listen, ByteBufferPool buffers, HttpHandler handler) {
        return Undertow.builder()
                .setWorker(worker)
                .setByteBufferPool(buffers)
                .addHttpListener(listen.getPort(), listen.getAddress().getHostAddress())
                .setServerOption(UndertowOptions.IDLE_TIMEOUT, IDLE_MS)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_MS)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, IDLE_MS / 4)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setServerOption(UndertowOptions.RECORD_REQUEST_START_TIME, false)
                .setSocketOption(Options.TCP_NODELAY, true)
                .setSocketOption(Options.REUSE_ADDRESSES, true)
                .setHandler(handler)
                .build();
    }

    @Override
    public void close() {
        outside.close();
        users.stop();
        peers.stop();
        worker.shutdownNow();
    }
}
