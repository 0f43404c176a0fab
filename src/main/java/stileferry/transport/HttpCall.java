package stileferry.transport;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;
import stileferry.protocol.Environment;

/** One outgoing HTTP request, from the choice of a connection to the response. */
final class HttpCall implements ClientCallback<ClientExchange> {
    /** Larger than any response that this service requests, except that of a watch, which has no limit of its own. */
    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

    private static final int INITIAL_BUFFER_BYTES = 256;

    /** How long a late response is awaited on its connection, in timeouts of the request. */
    private static final int LATE_RESPONSE_TIMEOUTS = 3;

    private static final byte[] NO_BODY = new byte[0];

    private final HttpClient client;
    private final Request request;
    private final HttpClient.ResponseHandler responseHandler;
    private final ByteArrayOutputStream responseBody = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
    private XnioExecutor.Key timeout;
    private ClientConnection connection;
    private State state = State.CONNECTING;

    /**
     * The request line, server address and body of a call.
     *
     * @param keepsLateConnection whether the connection is kept for some time after the timeout, for a late response
     */
    record Request(String address, String method, String path, byte[] body, boolean keepsLateConnection) {}

    private enum State {
        CONNECTING,
        /** The request was passed to a connection, so the server may have received it. */
        SENT,
        /** The handler was called because of the timeout; the response may still arrive. */
        EXPIRED,
        /** The handler was called with the response or with a failure. */
        COMPLETED
    }

    HttpCall(HttpClient client, Request request, HttpClient.ResponseHandler responseHandler) {
        this.client = client;
        this.request = request;
        this.responseHandler = responseHandler;
    }

    void start(long timeoutMs) {
        timeout = client.ioThread().executeAfter(() -> expire(timeoutMs), timeoutMs, TimeUnit.MILLISECONDS);
        ClientConnection idle = client.idleConnections().take(request.address());
        if (idle != null) {
            send(idle);
        } else {
            client.openConnection(request.address(), new ConnectCallback());
        }
    }

    /** Called when a new connection is open or has failed. */
    private final class ConnectCallback implements ClientCallback<ClientConnection> {
        @Override
        public void completed(ClientConnection newConnection) {
            if (state == State.COMPLETED) {
                IoUtils.safeClose(newConnection);
            } else {
                send(newConnection);
            }
        }

        @Override
        public void failed(IOException cause) {
            fail();
        }
    }

    private void send(ClientConnection chosenConnection) {
        connection = chosenConnection;
        state = State.SENT;
        ClientRequest message =
                new ClientRequest().setMethod(new HttpString(request.method())).setPath(request.path());
        message.getRequestHeaders().put(Headers.HOST, request.address());
        message.getRequestHeaders().put(Headers.CONTENT_LENGTH, request.body().length);
        if (request.body().length > 0) {
            message.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/msgpack");
        }
        chosenConnection.sendRequest(message, this);
    }

    @Override
    public void completed(ClientExchange exchange) {
        exchange.setResponseListener(new ResponseCallback());
        write(exchange.getRequestChannel(), ByteBuffer.wrap(request.body()));
    }

    @Override
    public void failed(IOException cause) {
        fail();
    }

    /** Called when the headers of the response have arrived or the exchange has failed. */
    private final class ResponseCallback implements ClientCallback<ClientExchange> {
        @Override
        public void completed(ClientExchange exchange) {
            receive(exchange);
        }

        @Override
        public void failed(IOException cause) {
            fail();
        }
    }

    private void write(StreamSinkChannel out, ByteBuffer data) {
        try {
            while (data.hasRemaining()) {
                if (out.write(data) == 0) {
                    out.getWriteSetter().set(channel -> write(channel, data));
                    out.resumeWrites();
                    return;
                }
            }
            out.shutdownWrites();
            if (!out.flush()) {
                out.getWriteSetter().set(this::flush);
                out.resumeWrites();
            } else {
                out.suspendWrites();
            }
        } catch (IOException e) {
            fail();
        }
    }

    private void flush(StreamSinkChannel out) {
        try {
            if (out.flush()) {
                out.suspendWrites();
            }
        } catch (IOException e) {
            fail();
        }
    }

    private void receive(ClientExchange exchange) {
        int status = exchange.getResponse().getResponseCode();
        StreamSourceChannel in = exchange.getResponseChannel();
        in.getReadSetter().set(channel -> read(channel, status));
        read(in, status);
    }

    private void read(StreamSourceChannel in, int status) {
        try (PooledByteBuffer pooled = client.buffers().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            while (state != State.COMPLETED) {
                buffer.clear();
                int count = in.read(buffer);
                if (count == 0) {
                    in.resumeReads();
                    return;
                }
                if (count < 0) {
                    finish(status);
                    return;
                }
                buffer.flip();
                append(buffer, count);
            }
        } catch (IOException e) {
            fail();
        }
    }

    private void append(ByteBuffer buffer, int count) {
        byte[] chunk = new byte[count];
        buffer.get(chunk);
        responseBody.writeBytes(chunk);
        if (responseBody.size() > MAX_RESPONSE_BYTES) {
            fail();
        }
    }

    private void finish(int status) {
        if (state == State.COMPLETED) {
            return;
        }
        boolean expired = state == State.EXPIRED;
        state = State.COMPLETED;
        timeout.remove();
        client.idleConnections().release(request.address(), connection);
        if (expired) {
            client.lateConnections().ended(request.address());
        } else {
            responseHandler.onResponse(status, responseBody.toByteArray());
        }
    }

    /**
     * Ends the call for its caller. If the request keeps its connection, the connection remains open for some time: a
     * server that is merely late would otherwise have to accept a new one for each of the next requests.
     */
    private void expire(long timeoutMs) {
        boolean keepsConnection = state == State.SENT
                && request.keepsLateConnection()
                && client.lateConnections().tryKeep(request.address());
        if (!keepsConnection) {
            fail();
            return;
        }
        state = State.EXPIRED;
        timeout = client.ioThread().executeAfter(this::fail, LATE_RESPONSE_TIMEOUTS * timeoutMs, TimeUnit.MILLISECONDS);
        responseHandler.onResponse(Environment.NO_RESPONSE, NO_BODY);
    }

    private void fail() {
        if (state == State.COMPLETED) {
            return;
        }
        State before = state;
        state = State.COMPLETED;
        timeout.remove();
        IoUtils.safeClose(connection);
        if (before == State.EXPIRED) {
            client.lateConnections().ended(request.address());
        } else {
            int status = before == State.SENT ? Environment.NO_RESPONSE : Environment.NOT_SENT;
            responseHandler.onResponse(status, NO_BODY);
        }
    }
}
