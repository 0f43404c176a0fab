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

/** The address for users, workers and health checks: takes requests apart and hands them to the owner. */
final class ApiServer implements HttpHandler {
    private static final byte[] NO_BODY = new byte[0];

    private static final byte[] OVERLOADED = MessageCodec.encode(UserMessages.error("too much to do, try again"));

    /** A request that is let past the limit says nothing to it. */
    private static final Limiter.Listener UNLIMITED = new Limiter.Listener() {
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
    private final SocketBudget sockets;
    private final LongSupplier openConnections;

    ApiServer(
            CommandQueue commands,
            Coordinator coordinator,
            Limiter<Void> limiter,
            SocketBudget sockets,
            LongSupplier openConnections) {
        this.commands = commands;
        this.coordinator = coordinator;
        this.limiter = limiter;
        this.sockets = sockets;
        this.openConnections = openConnections;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        boolean isHeartbeat = path.equals(ApiPaths.HEARTBEATS);
        long open = openConnections.getAsLong();
        if (isHeartbeat ? sockets.closesWorkerConnections(open) : sockets.closesUserConnections(open)) {
            closeAfterResponse(exchange);
        }
        if (isHeartbeat) {
            post(exchange, body -> heartbeat(exchange, body));
        } else if (path.equals(ApiPaths.READY)) {
            get(exchange, () -> ready(exchange));
        } else if (path.startsWith(ApiPaths.ADMINISTRATION_PREFIX)) {
            administration(exchange, path.substring(ApiPaths.ADMINISTRATION_PREFIX.length()));
        } else if (path.equals(ApiPaths.JOBS)) {
            post(exchange, body -> user(exchange, RequestKind.SUBMIT, "", body));
        } else if (ApiPaths.jobPathRemainder(path) != null) {
            job(exchange, ApiPaths.jobPathRemainder(path));
        } else {
            refuse(exchange, 404, "no such path");
        }
    }

    private static void closeAfterResponse(HttpServerExchange exchange) {
        exchange.setPersistent(false); // past the limit nobody could connect any more
        exchange.addExchangeCompleteListener((completed, next) -> {
            IoUtils.safeClose(completed.getConnection()); // without waiting for the other side to close it too
            next.proceed();
        });
    }

    private void ready(HttpServerExchange exchange) {
        enqueue(exchange, () -> send(exchange, coordinator.ready() ? 200 : 503, 0, NO_BODY));
    }

    private void heartbeat(HttpServerExchange exchange, byte[] body) {
        enqueue(
                exchange,
                () -> coordinator.handleHeartbeat(body, (status, answer) -> send(exchange, status, 0, answer)));
    }

    private void administration(HttpServerExchange exchange, String path) {
        String query = exchange.getQueryString();
        String pathAndQuery = query.isEmpty() ? path : path + "?" + query;
        String method = exchange.getRequestMethod().toString();
        if (method.equals("GET")) {
            administration(exchange, method, pathAndQuery, NO_BODY);
        } else {
            post(exchange, body -> administration(exchange, method, pathAndQuery, body));
        }
    }

    private void administration(HttpServerExchange exchange, String method, String pathAndQuery, byte[] body) {
        enqueue(
                exchange,
                () -> coordinator.handleAdministrationRequest(
                        method, pathAndQuery, body, response -> send(exchange, response)));
    }

    private void job(HttpServerExchange exchange, String idAndAction) {
        if (idAndAction.endsWith(ApiPaths.CANCEL_SUFFIX)) {
            String id = idAndAction.substring(0, idAndAction.length() - ApiPaths.CANCEL_SUFFIX.length());
            post(exchange, body -> job(exchange, RequestKind.CANCEL, id));
        } else {
            get(exchange, () -> job(exchange, RequestKind.STATUS, idAndAction));
        }
    }

    private void job(HttpServerExchange exchange, RequestKind kind, String id) {
        if (JobSpec.isValidId(id)) {
            user(exchange, kind, id, NO_BODY);
        } else {
            refuse(exchange, 404, "no such job");
        }
    }

    private void user(HttpServerExchange exchange, RequestKind kind, String id, byte[] body) {
        Optional<Limiter.Listener> free = limiter.acquire(null);
        int retryAfterS = free.isPresent() ? 0 : coordinator.retryAfterS(kind, body);
        if (retryAfterS > 0) {
            send(exchange, 503, retryAfterS, OVERLOADED);
            return;
        }
        Limiter.Listener slot = free.orElse(UNLIMITED);
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
            slot.onIgnore(); // says nothing about how long an answer takes
        } else {
            slot.onSuccess();
        }
    }

    private void enqueue(HttpServerExchange exchange, Runnable command) {
        enqueue(exchange, command, () -> {});
    }

    /** Hands the request to the owner; the exchange stays open until somebody sends. */
    private void enqueue(HttpServerExchange exchange, Runnable command, Runnable refused) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            if (!commands.offer(command)) {
                refused.run();
                send(exchange, 503, 1, OVERLOADED);
            }
        });
    }

    private static void get(HttpServerExchange exchange, Runnable handler) {
        if (exchange.getRequestMethod().equals(Methods.GET)) {
            handler.run();
        } else {
            refuse(exchange, 405, "only GET here");
        }
    }

    private static void post(HttpServerExchange exchange, Consumer<byte[]> handler) {
        if (exchange.getRequestMethod().equals(Methods.POST)) {
            RequestBodyReader.read(exchange, MessageCodec.MAX_BODY_BYTES, handler);
        } else {
            refuse(exchange, 405, "only POST here");
        }
    }

    static void refuse(HttpServerExchange exchange, int status, String reason) {
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
