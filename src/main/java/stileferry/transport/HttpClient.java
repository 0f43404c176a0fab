package stileferry.transport;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;
import stileferry.protocol.Environment;

/** HTTP requests over kept connections, each with a time limit. All of it runs on the one IO thread. */
final class HttpClient {
    private static final int MAX_IDLE_EACH = 8;

    /** No answer that this service asks for is larger, but for a watch's, which has no limit of its own. */
    private static final int MAX_ANSWER = 4 * 1024 * 1024;

    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final UndertowClient client = UndertowClient.getInstance();
    private final Map<String, ArrayDeque<ClientConnection>> idle = new HashMap<>();

    /** Idle connections with their addresses, the least lately used first. */
    private final LinkedHashMap<ClientConnection, String> byUse = new LinkedHashMap<>();

    private final int maxIdle;

    /** Takes an answer. */
    interface ResponseHandler {
        /** Called once, with an HTTP status, {@link Environment#NO_ANSWER} or {@link Environment#NOT_SENT}. */
        void done(int status, byte[] body);
    }

    /** Null stands for an address that the system chooses. */
    private final InetSocketAddress source;

    HttpClient(XnioIoThread thread, ByteBufferPool buffers, int maxIdle, InetAddress source) {
        this.source = source == null ? null : new InetSocketAddress(source, 0);
        this.maxIdle = maxIdle;
        this.thread = thread;
        this.buffers = buffers;
    }

    void call(String addr, String method, String path, byte[] body, long timeoutMs, ResponseHandler answer) {
        new Call(addr, method, path, body, answer).start(timeoutMs);
    }

    private ClientConnection takeIdle(String addr) {
        ArrayDeque<ClientConnection> kept = idle.get(addr);
        while (kept != null && !kept.isEmpty()) {
            ClientConnection connection = kept.pollLast();
            byUse.remove(connection);
            if (connection.isOpen()) {
                return connection;
            }
        }
        return null;
    }

    /** Keeps a connection for the next request; with many addresses the least used one makes room. */
    private void keep(String addr, ClientConnection connection) {
        if (!connection.isOpen()) {
            return;
        }
        ArrayDeque<ClientConnection> kept = idle.computeIfAbsent(addr, a -> new ArrayDeque<>(2));
        if (kept.size() >= MAX_IDLE_EACH) {
            IoUtils.safeClose(connection);
            return;
        }
        kept.addLast(connection);
        byUse.put(connection, addr);
        if (byUse.size() > maxIdle) {
            Map.Entry<ClientConnection, String> eldest =
                    byUse.entrySet().iterator().next();
            ArrayDeque<ClientConnection> there = idle.get(eldest.getValue());
            there.remove(eldest.getKey());
            if (there.isEmpty()) {
                idle.remove(eldest.getValue());
            }
            byUse.remove(eldest.getKey());
            IoUtils.safeClose(eldest.getKey());
        }
    }

    /** One request from its connection to its answer. */
    private final class Call implements ClientCallback<ClientExchange> {
        private final String addr;
        private final String method;
        private final String path;
        private final byte[] body;
        private final ResponseHandler answer;
        private final ByteArrayOutputStream received = new ByteArrayOutputStream(256);
        private XnioExecutor.Key timer;
        private ClientConnection connection;
        private boolean sent;
        private boolean over;

        Call(String addr, String method, String path, byte[] body, ResponseHandler answer) {
            this.addr = addr;
            this.method = method;
            this.path = path;
            this.body = body;
            this.answer = answer;
        }

        void start(long timeoutMs) {
            timer = thread.executeAfter(this::fail, timeoutMs, TimeUnit.MILLISECONDS);
            ClientConnection reuse = takeIdle(addr);
            if (reuse != null) {
                send(reuse);
                return;
            }
            client.connect(
                    new ClientCallback<>() {
                        @Override
                        public void completed(ClientConnection connection) {
                            if (over) {
                                IoUtils.safeClose(connection);
                            } else {
                                send(connection);
                            }
                        }

                        @Override
                        public void failed(IOException e) {
                            fail();
                        }
                    },
                    source,
                    URI.create("http://" + addr),
                    thread,
                    buffers,
                    OptionMap.EMPTY);
        }

        private void send(ClientConnection c) {
            connection = c;
            sent = true;
            ClientRequest request =
                    new ClientRequest().setMethod(new HttpString(method)).setPath(path);
            request.getRequestHeaders().put(Headers.HOST, addr);
            request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
            if (body.length > 0) {
                request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/msgpack");
            }
            c.sendRequest(request, this);
        }

        @Override
        public void completed(ClientExchange exchange) {
            exchange.setResponseListener(new ClientCallback<>() {
                @Override
                public void completed(ClientExchange exchange) {
                    receive(exchange);
                }

                @Override
                public void failed(IOException e) {
                    fail();
                }
            });
            write(exchange.getRequestChannel(), ByteBuffer.wrap(body));
        }

        @Override
        public void failed(IOException e) {
            fail();
        }

        private void write(StreamSinkChannel out, ByteBuffer data) {
            try {
                while (data.hasRemaining()) {
                    if (out.write(data) == 0) {
                        out.getWriteSetter().set(ch -> write(ch, data));
                        out.resumeWrites();
                        return;
                    }
                }
                out.shutdownWrites();
                if (!out.flush()) {
                    out.getWriteSetter().set(ch -> flush(ch));
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
            in.getReadSetter().set(ch -> read(ch, status));
            read(in, status);
        }

        private void read(StreamSourceChannel in, int status) {
            try (PooledByteBuffer pooled = buffers.allocate()) {
                ByteBuffer buffer = pooled.getBuffer();
                while (!over) {
                    buffer.clear();
                    int n = in.read(buffer);
                    if (n == 0) {
                        in.resumeReads();
                        return;
                    }
                    if (n < 0) {
                        finish(status);
                        return;
                    }
                    buffer.flip();
                    byte[] chunk = new byte[n];
                    buffer.get(chunk);
                    received.writeBytes(chunk);
                    if (received.size() > MAX_ANSWER) {
                        fail();
                    }
                }
            } catch (IOException e) {
                fail();
            }
        }

        private void finish(int status) {
            if (over) {
                return;
            }
            over = true;
            timer.remove();
            keep(addr, connection);
            answer.done(status, received.toByteArray());
        }

        private void fail() {
            if (over) {
                return;
            }
            over = true;
            timer.remove();
            IoUtils.safeClose(connection);
            answer.done(sent ? Environment.NO_ANSWER : Environment.NOT_SENT, new byte[0]);
        }
    }
}
