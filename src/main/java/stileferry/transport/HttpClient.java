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

/** HTTP client with connection reuse and a timeout for each request. All of it runs on the single IO thread. */
final class HttpClient {
    private final XnioIoThread ioThread;
    private final ByteBufferPool buffers;
    private final UndertowClient client = UndertowClient.getInstance();
    private final IdleConnections idleConnections;
    private final LateConnections lateConnections = new LateConnections();

    /** Local address of outgoing connections, or null if the operating system chooses it. */
    private final InetSocketAddress sourceAddress;

    /** Receives the response to a request. */
    interface ResponseHandler {
        /** Called once, with an HTTP status, {@link Environment#NO_RESPONSE} or {@link Environment#NOT_SENT}. */
        void onResponse(int status, byte[] body);
    }

    HttpClient(XnioIoThread ioThread, ByteBufferPool buffers, int maxIdleConnections, InetAddress sourceAddress) {
        this.ioThread = ioThread;
        this.buffers = buffers;
        this.idleConnections = new IdleConnections(maxIdleConnections);
        this.sourceAddress = sourceAddress == null ? null : new InetSocketAddress(sourceAddress, 0);
    }

    void request(
            String address, String method, String path, byte[] body, long timeoutMs, ResponseHandler responseHandler) {
        new HttpCall(this, new HttpCall.Request(address, method, path, body, false), responseHandler).start(timeoutMs);
    }

    /** Sends a request whose connection is kept for some time if the response does not arrive before the timeout. */
    void requestKeepingLateConnection(
            String address, String method, String path, byte[] body, long timeoutMs, ResponseHandler responseHandler) {
        new HttpCall(this, new HttpCall.Request(address, method, path, body, true), responseHandler).start(timeoutMs);
    }

    IdleConnections idleConnections() {
        return idleConnections;
    }

    LateConnections lateConnections() {
        return lateConnections;
    }

    XnioIoThread ioThread() {
        return ioThread;
    }

    ByteBufferPool buffers() {
        return buffers;
    }

    void openConnection(String address, ClientCallback<ClientConnection> callback) {
        client.connect(callback, sourceAddress, URI.create("http://" + address), ioThread, buffers, OptionMap.EMPTY);
    }
}
