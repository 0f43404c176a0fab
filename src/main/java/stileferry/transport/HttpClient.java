package stileferry.transport;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import org.xnio.OptionMap;
import org.xnio.XnioIoThread;
import stileferry.protocol.Environment;

/** HTTP requests over kept connections, each with a time limit. All of it runs on the one IO thread. */
final class HttpClient {
    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final UndertowClient client = UndertowClient.getInstance();
    private final IdleConnections idleConnections;

    /** Where connections come from; null: the system chooses. */
    private final InetSocketAddress source;

    /** Takes the response to a request. */
    interface ResponseHandler {
        /** Called once, with an HTTP status, {@link Environment#NO_RESPONSE} or {@link Environment#NOT_SENT}. */
        void onResponse(int status, byte[] body);
    }

    HttpClient(XnioIoThread thread, ByteBufferPool buffers, int maxIdleConnections, InetAddress source) {
        this.thread = thread;
        this.buffers = buffers;
        this.idleConnections = new IdleConnections(maxIdleConnections);
        this.source = source == null ? null : new InetSocketAddress(source, 0);
    }

    void request(
            String address, String method, String path, byte[] body, long timeoutMs, ResponseHandler responseHandler) {
        new HttpCall(this, new HttpCall.Request(address, method, path, body), responseHandler).start(timeoutMs);
    }

    IdleConnections idleConnections() {
        return idleConnections;
    }

    XnioIoThread thread() {
        return thread;
    }

    ByteBufferPool buffers() {
        return buffers;
    }

    void connect(String address, ClientCallback<ClientConnection> callback) {
        client.connect(callback, source, URI.create("http://" + address), thread, buffers, OptionMap.EMPTY);
    }
}
