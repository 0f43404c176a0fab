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
import stileferry.protocol.JobSpec;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.PeerMessage.RequestKind;
import stileferry.protocol.SocketBudget;
import stileferry.protocol.UserMessages;

/** The address for users, workers and health checks: takes requests apart and hands them to the owner. */
final class ApiServer implements HttpHandler {
    private static final byte[] NOTHING = new byte[0];
    private static final String WORK = "/work";
    private static final String WITHDRAW = "/withdraw";
    private static final String ADMIN = "/admin/";

    private static final byte[] TOO_MUCH = MessageCodec.encode(UserMessages.error("too much to do, try again"));

    /** A request that is let past the limit says nothing to it. */
    private static final Limiter.Listener UNLIMITED = new Limiter.Listener() {
        @Override
        public void onSuccess() {}

        @Override
        public void onIgnore() {}

        @Override
        public void onDropped() {}
    };

    private final CommandQueue owner;
    private final Limiter<Void> limiter;
    private final Coordinator coordinator;
    private final SocketBudget sockets;
    private final LongSupplier open;

    ApiServer(
            CommandQueue owner,
            Coordinator coordinator,
            Limiter<Void> limiter,
            SocketBudget sockets,
            LongSupplier open) {
        this.sockets = sockets;
        this.open = open;
        this.limiter = limiter;
        this.owner = owner;
        this.coordinator = coordinator;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        boolean report = path.equals("/v1/report");
        long now = open.getAsLong();
        if (report ? sockets.closesWorkerConnections(now) : sockets.closesUserConnections(now)) {
            exchange.setPersistent(false); // past the limit nobody could connect any more
            exchange.addExchangeCompleteListener((done, next) -> {
                IoUtils.safeClose(done.getConnection()); // without waiting for the other side to close it too
                next.proceed();
            });
        }
        if (report) {
            post(exchange, body -> report(exchange, body));
        } else if (path.equals("/ready")) {
            get(exchange, () -> owned(exchange, () -> send(exchange, coordinator.ready() ? 200 : 503, 0, NOTHING)));
        } else if (path.startsWith(ADMIN)) {
            String rest = path.substring(ADMIN.length());
            String query = exchange.getQueryString();
            String full = query.isEmpty() ? rest : rest + "?" + query;
            String method = exchange.getRequestMethod().toString();
            if (method.equals("GET")) {
                admin(exchange, method, full, NOTHING);
            } else {
                post(exchange, body -> admin(exchange, method, full, body));
            }
        } else if (path.equals(WORK)) {
            post(exchange, body -> user(exchange, RequestKind.SUBMIT, "", body));
        } else if (path.startsWith(WORK + "/")) {
            String id = path.substring(WORK.length() + 1);
            if (id.endsWith(WITHDRAW)) {
                String job = id.substring(0, id.length() - WITHDRAW.length());
                post(exchange, body -> job(exchange, RequestKind.CANCEL, job));
            } else {
                get(exchange, () -> job(exchange, RequestKind.STATUS, id));
            }
        } else {
            refuse(exchange, 404, "no such path");
        }
    }

    private void job(HttpServerExchange exchange, RequestKind ask, String id) {
        if (JobSpec.validId(id)) {
            user(exchange, ask, id, NOTHING);
        } else {
            refuse(exchange, 404, "no such job");
        }
    }

    private void user(HttpServerExchange exchange, RequestKind ask, String id, byte[] body) {
        Optional<Limiter.Listener> free = limiter.acquire(null);
        int retryAfterS = free.isPresent() ? 0 : coordinator.retryAfterS(ask, body);
        if (retryAfterS > 0) {
            send(exchange, 503, retryAfterS, TOO_MUCH);
            return;
        }
        Limiter.Listener slot = free.orElse(UNLIMITED);
        owned(
                exchange,
                () -> coordinator.handleUserRequest(ask, id, body, answer -> {
                    if (answer.status() == 503) {
                        slot.onIgnore(); // says nothing about how long an answer takes
                    } else {
                        slot.onSuccess();
                    }
                    send(exchange, answer);
                }),
                slot::onDropped);
    }

    private void admin(HttpServerExchange exchange, String method, String path, byte[] body) {
        owned(
                exchange,
                () -> coordinator.handleAdministrationRequest(method, path, body, answer -> send(exchange, answer)));
    }

    private void report(HttpServerExchange exchange, byte[] body) {
        owned(exchange, () -> coordinator.handleHeartbeat(body, (status, answer) -> send(exchange, status, 0, answer)));
    }

    private void owned(HttpServerExchange exchange, Runnable command) {
        owned(exchange, command, () -> {});
    }

    /** Hands the request to the owner; the exchange stays open until somebody sends. */
    private void owned(HttpServerExchange exchange, Runnable command, Runnable refused) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            if (!owner.offer(command)) {
                refused.run();
                send(exchange, 503, 1, TOO_MUCH);
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
            RequestBodyReader.read(exchange, MessageCodec.MAX_BODY, handler);
        } else {
            refuse(exchange, 405, "only POST here");
        }
    }

    static void refuse(HttpServerExchange exchange, int status, String reason) {
        send(exchange, status, 0, MessageCodec.encode(UserMessages.error(reason)));
    }

    private static void send(HttpServerExchange exchange, PeerMessage.Response answer) {
        send(exchange, answer.status(), answer.retryAfterS(), answer.body());
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
