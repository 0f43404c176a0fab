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

/** One request from its connection to its response. */
final class HttpCall implements ClientCallback<ClientExchange> {
    /** No response that this service asks for is larger, but for a watch's, which has no limit of its own. */
    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

    private static final int INITIAL_BYTES = 256;
    private static final byte[] NO_BODY = new byte[0];

    private final HttpClient client;
    private final Request request;
    private final HttpClient.ResponseHandler responseHandler;
    private final ByteArrayOutputStream received = new ByteArrayOutputStream(INITIAL_BYTES);
    private XnioExecutor.Key timeout;
    private ClientConnection connection;
    private State state = State.CONNECTING;

    /** What is asked for, and where. */
    record Request(String address, String method, String path, byte[] body) {}

    private enum State {
        CONNECTING,
        /** Given to a connection, so the other side may have it. */
        SENT,
        /** The handler was told the response, or that there is none. */
        OVER
    }

    HttpCall(HttpClient client, Request request, HttpClient.ResponseHandler responseHandler) {
        this.client = client;
        this.request = request;
        this.responseHandler = responseHandler;
    }

    void start(long timeoutMs) {
        timeout = client.thread().executeAfter(this::fail, timeoutMs, TimeUnit.MILLISECONDS);
        ClientConnection idle = client.idleConnections().take(request.address());
        if (idle != null) {
            send(idle);
        } else {
            client.connect(request.address(), new ConnectCallback());
        }
    }

    /** Told of a new connection. */
    private final class ConnectCallback implements ClientCallback<ClientConnection> {
        @Override
        public void completed(ClientConnection connected) {
            if (state == State.OVER) {
                IoUtils.safeClose(connected);
            } else {
                send(connected);
            }
        }

        @Override
        public void failed(IOException cause) {
            fail();
        }
    }

    private void send(ClientConnection over) {
        connection = over;
        state = State.SENT;
        ClientRequest message =
                new ClientRequest().setMethod(new HttpString(request.method())).setPath(request.path());
        message.getRequestHeaders().put(Headers.HOST, request.address());
        message.getRequestHeaders().put(Headers.CONTENT_LENGTH, request.body().length);
        if (request.body().length > 0) {
            message.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/msgpack");
        }
        over.sendRequest(message, this);
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

    /** Told of the head of the response. */
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
            while (state != State.OVER) {
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
                keep(buffer, count);
            }
        } catch (IOException e) {
            fail();
        }
    }

    private void keep(ByteBuffer buffer, int count) {
        byte[] chunk = new byte[count];
        buffer.get(chunk);
        received.writeBytes(chunk);
        if (received.size() > MAX_RESPONSE_BYTES) {
            fail();
        }
    }

    private void finish(int status) {
        if (state == State.OVER) {
            return;
        }
        state = State.OVER;
        timeout.remove();
        client.idleConnections().keep(request.address(), connection);
        responseHandler.onResponse(status, received.toByteArray());
    }

    private void fail() {
        if (state == State.OVER) {
            return;
        }
        int status = state == State.SENT ? Environment.NO_RESPONSE : Environment.NOT_SENT;
        state = State.OVER;
        timeout.remove();
        IoUtils.safeClose(connection);
        responseHandler.onResponse(status, NO_BODY);
    }
}
