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

/** The one worker with its one IO thread and its buffers, which servers and clients of a process share. */
final class EventLoop implements AutoCloseable {
    private static final int BUFFER_BYTES = 8 * 1024;
    private static final int MAX_POOLED_BUFFERS = 256;
    private static final int THREAD_LOCAL_BUFFERS = 4;

    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final ByteBufferPool buffers =
            new DefaultByteBufferPool(true, BUFFER_BYTES, MAX_POOLED_BUFFERS, THREAD_LOCAL_BUFFERS);
    private final HttpClient http;

    EventLoop(int idleConnections) throws IOException {
        this(idleConnections, null);
    }

    /** An event loop whose outgoing connections come from this address; null: the system chooses. */
    EventLoop(int idleConnections, InetAddress source) throws IOException {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 0)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.TCP_NODELAY, true)
                        .getMap());
        thread = worker.getIoThread();
        http = new HttpClient(thread, buffers, idleConnections, source);
    }

    XnioWorker worker() {
        return worker;
    }

    XnioIoThread thread() {
        return thread;
    }

    ByteBufferPool buffers() {
        return buffers;
    }

    HttpClient http() {
        return http;
    }

    @Override
    public void close() {
        worker.shutdownNow();
    }
}
