package stileferry.transport;

import com.netflix.concurrency.limits.Limiter;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.xnio.IoUtils;
import stileferry.coordination.Coordinator;
import stileferry.protocol.ApiPaths;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.PeerMessage.RequestKind;
import stileferry.protocol.SocketBudget;
import stileferry.protocol.UserMessages;

/** HTTP server for users, operators, workers and health checks; routes requests to the coordinator on its thread. */
final class ApiServer implements HttpHandler {
    private static final byte[] NO_BODY = new byte[0];

    private static final byte[] OVERLOADED_BODY = MessageCodec.encode(UserMessages.error("too much to do, try again"));

    /** Used for requests that are admitted above the concurrency limit; they do not influence it. */
    private static final Limiter.Listener NO_OP_LISTENER = new Limiter.Listener() {
        @Override
        public void onSuccess() {}

        @Override
        public void onIgnore() {}

        @Override
        public void onDropped() {}
    };

    private final CommandQueue commands;
    private final Coordinator coordinator;
    private final Limiter<Void> limiter;
    private final SocketBudget socketBudget;
    private final LongSupplier openConnections;

    ApiServer(
            CommandQueue commands,
            Coordinator coordinator,
            Limiter<Void> limiter,
            SocketBudget socketBudget,
            LongSupplier openConnections) {
        this.commands = commands;
        this.coordinator = coordinator;
        this.limiter = limiter;
        this.socketBudget = socketBudget;
        this.openConnections = openConnections;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        boolean isHeartbeat = path.equals(ApiPaths.HEARTBEATS);
        long open = openConnections.getAsLong();
        if (isHeartbeat ? socketBudget.closesWorkerConnections(open) : socketBudget.closesUserConnections(open)) {
            closeAfterResponse(exchange);
        }
        if (isHeartbeat) {
            acceptPost(exchange, body -> handleHeartbeat(exchange, body));
        } else if (path.equals(ApiPaths.READY)) {
            acceptGet(exchange, () -> handleReadiness(exchange));
        } else if (path.startsWith(ApiPaths.ADMINISTRATION_PREFIX)) {
            handleAdministration(exchange, path.substring(ApiPaths.ADMINISTRATION_PREFIX.length()));
        } else if (path.equals(ApiPaths.JOBS)) {
            acceptPost(exchange, body -> handleUserRequest(exchange, RequestKind.SUBMIT, "", body));
        } else if (ApiPaths.jobPathRemainder(path) != null) {
            handleJob(exchange, ApiPaths.jobPathRemainder(path));
        } else {
            reject(exchange, 404, "no such path");
        }
    }

    private static void closeAfterResponse(HttpServerExchange exchange) {
        exchange.setPersistent(false); // at the connection limit no client could connect any more
        exchange.addExchangeCompleteListener((completed, next) -> {
            IoUtils.safeClose(completed.getConnection()); // does not wait for the client to close its side
            next.proceed();
        });
    }

    private void handleReadiness(HttpServerExchange exchange) {
        enqueue(exchange, () -> send(exchange, coordinator.healthCheckStatus(), 0, NO_BODY));
    }

    private void handleHeartbeat(HttpServerExchange exchange, byte[] body) {
        enqueue(
                exchange,
                () -> coordinator.handleHeartbeat(body, (status, response) -> send(exchange, status, 0, response)));
    }

    private void handleAdministration(HttpServerExchange exchange, String path) {
        String query = exchange.getQueryString();
        String pathAndQuery = query.isEmpty() ? path : path + "?" + query;
        String method = exchange.getRequestMethod().toString();
        if (method.equals("GET")) {
            handleAdministration(exchange, method, pathAndQuery, NO_BODY);
        } else {
            acceptPost(exchange, body -> handleAdministration(exchange, method, pathAndQuery, body));
        }
    }

    private void handleAdministration(HttpServerExchange exchange, String method, String pathAndQuery, byte[] body) {
        enqueue(
                exchange,
                () -> coordinator.handleAdministrationRequest(
                        method, pathAndQuery, body, response -> send(exchange, response)));
    }

    private void handleJob(HttpServerExchange exchange, String idAndAction) {
        if (idAndAction.endsWith(ApiPaths.CANCEL_SUFFIX)) {
            String id = idAndAction.substring(0, idAndAction.length() - ApiPaths.CANCEL_SUFFIX.length());
            acceptPost(exchange, body -> handleJob(exchange, RequestKind.CANCEL, id));
        } else {
            acceptGet(exchange, () -> handleJob(exchange, RequestKind.STATUS, idAndAction));
        }
    }

    private void handleJob(HttpServerExchange exchange, RequestKind kind, String id) {
        if (JobSpec.isValidId(id)) {
            handleUserRequest(exchange, kind, id, NO_BODY);
        } else {
            reject(exchange, 404, "no such job");
        }
    }

    private void handleUserRequest(HttpServerExchange exchange, RequestKind kind, String id, byte[] body) {
        if (coordinator.passesConcurrencyLimit(kind, id)) {
            handleUserRequest(exchange, kind, id, body, NO_OP_LISTENER);
            return;
        }
        Optional<Limiter.Listener> acquired = limiter.acquire(null);
        int retryAfterS = acquired.isPresent() ? 0 : coordinator.retryAfterS(kind, body);
        if (retryAfterS > 0) {
            enqueue(exchange, () -> {
                coordinator.countRefused(kind);
                send(exchange, 503, retryAfterS, OVERLOADED_BODY);
            });
            return;
        }
        handleUserRequest(exchange, kind, id, body, acquired.orElse(NO_OP_LISTENER));
    }

    private void handleUserRequest(
            HttpServerExchange exchange, RequestKind kind, String id, byte[] body, Limiter.Listener slot) {
        enqueue(
                exchange,
                () -> coordinator.handleUserRequest(kind, id, body, response -> {
                    release(slot, response);
                    send(exchange, response);
                }),
                slot::onDropped);
    }

    private static void release(Limiter.Listener slot, PeerMessage.Response response) {
        if (response.status() == 503) {
            slot.onIgnore(); // a 503 says nothing about how long requests take
        } else {
            slot.onSuccess();
        }
    }

    private void enqueue(HttpServerExchange exchange, Runnable command) {
        enqueue(exchange, command, () -> {});
    }

    /** Queues a command for the coordinator; the exchange stays open until a response is sent. */
    private void enqueue(HttpServerExchange exchange, Runnable command, Runnable onRejected) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            if (!commands.offer(command)) {
                onRejected.run();
                send(exchange, 503, 1, OVERLOADED_BODY);
            }
        });
    }

    private static void acceptGet(HttpServerExchange exchange, Runnable handler) {
        if (exchange.getRequestMethod().equals(Methods.GET)) {
            handler.run();
        } else {
            reject(exchange, 405, "only GET here");
        }
    }

    private static void acceptPost(HttpServerExchange exchange, Consumer<byte[]> handler) {
        if (exchange.getRequestMethod().equals(Methods.POST)) {
            RequestBodyReader.read(exchange, MessageCodec.MAX_BODY_BYTES, handler);
        } else {
            reject(exchange, 405, "only POST here");
        }
    }

    static void reject(HttpServerExchange exchange, int status, String reason) {
        send(exchange, status, 0, MessageCodec.encode(UserMessages.error(reason)));
    }

    private static void send(HttpServerExchange exchange, PeerMessage.Response response) {
        send(exchange, response.status(), response.retryAfterS(), response.body());
    }

    static void send(HttpServerExchange exchange, int status, int retryAfterS, byte[] body) {
        if (exchange.isResponseStarted()) {
            return;
        }
        exchange.setStatusCode(status);
        if (retryAfterS > 0) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, retryAfterS);
        }
        if (body.length > 0) {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/msgpack");
        }
        exchange.getResponseSender().send(ByteBuffer.wrap(body));
    }
}
