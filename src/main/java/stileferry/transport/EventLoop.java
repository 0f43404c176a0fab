package stileferry.transport;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetAddress;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** XNIO worker with a single IO thread, a buffer pool and an HTTP client; the servers of a process share it. */
final class EventLoop implements AutoCloseable {
    private static final int BUFFER_BYTES = 8 * 1024;
    private static final int MAX_POOLED_BUFFERS = 256;
    private static final int BUFFERS_PER_THREAD = 4;

    private final XnioWorker xnioWorker;
    private final XnioIoThread ioThread;
    private final ByteBufferPool buffers =
            new DefaultByteBufferPool(true, BUFFER_BYTES, MAX_POOLED_BUFFERS, BUFFERS_PER_THREAD);
    private final HttpClient httpClient;

    EventLoop(int maxIdleConnections) throws IOException {
        this(maxIdleConnections, null);
    }

    /**
     * Starts an event loop.
     *
     * @param maxIdleConnections outgoing connections that are kept for reuse
     * @param sourceAddress local address of outgoing connections, or null if the operating system chooses it
     */
    EventLoop(int maxIdleConnections, InetAddress sourceAddress) throws IOException {
        xnioWorker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 0)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.TCP_NODELAY, true)
                        .getMap());
        ioThread = xnioWorker.getIoThread();
        httpClient = new HttpClient(ioThread, buffers, maxIdleConnections, sourceAddress);
    }

    XnioWorker xnioWorker() {
        return xnioWorker;
    }

    XnioIoThread ioThread() {
        return ioThread;
    }

    ByteBufferPool buffers() {
        return buffers;
    }

    HttpClient httpClient() {
        return httpClient;
    }

    @Override
    public void close() {
        xnioWorker.shutdownNow();
    }
}
