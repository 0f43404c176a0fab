package stileferry.transport;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import stileferry.protocol.Environment;
import stileferry.protocol.InvalidJobSpecException;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MessageCodec;
import stileferry.standin.Cloud;
import stileferry.standin.KeyValueStore;
import stileferry.standin.LinkFaults;
import stileferry.standin.Worker;

/**
 * The stand-ins for key-value store, cloud and workers on loopback addresses, for trying the service out and for its
 * tests. Everything runs on one IO thread. The workers read job descriptions from the stand-in key-value store.
 */
public final class StandInHost implements AutoCloseable {
    /** The machine type that the cloud stand-in rents. */
    public static final String TYPE = "box";

    /** How long a gang's task waits for the others, and within what time it notices that one is gone, in seconds. */
    public static final double GANG_WAIT_S = 10;

    public static final double GANG_PEER_S = 2;

    /** What a slow link adds. */
    static final long SLOW_MS = 1500;

    private static final long TICK_MS = 50;
    private static final String LOOPBACK = "127.0.0.1";
    private static final byte[] NO_BODY = new byte[0];

    private final EventLoop loop;
    private final int port;
    private final KeyValueStore store = new KeyValueStore(20, 8);
    private final Cloud cloud;
    private final StandInWorkers workers;
    private final LinkFaults faults;
    private final Undertow server;
    private volatile boolean closed;

    /** How many machines the cloud has, how often their workers send heartbeats, and how long a worker's lease is. */
    public record Size(int machines, long heartbeatIntervalMs, long leaseMs) {
        /** What a trial on one computer needs. */
        public static final Size SMALL = new Size(8, 500, 5000);
    }

    /** Which of the stand-ins a request is for. */
    private enum Destination {
        WORKER,
        CLOUD,
        STORE;

        static Destination of(String path) {
            if (path.equals("/commands") || path.equals("/inspect")) {
                return WORKER;
            }
            return path.equals("/machine_types") || path.startsWith("/hosts") ? CLOUD : STORE;
        }
    }

    /** A request with what it is for; {@code worker} is null where there is none at the address. */
    private record Request(HttpServerExchange exchange, byte[] body, Destination destination, Worker worker) {}

    /** Starts the stand-ins for controllers with these client addresses and names. */
    public StandInHost(int port, List<String> controllers, List<String> names, Size size) throws IOException {
        this(port, controllers, names, size, LinkFaults.NONE, Worker.Watcher.NOBODY);
    }

    /** Starts them with links that may be broken, and somebody who watches the workers' tasks. */
    public StandInHost(
            int port,
            List<String> controllers,
            List<String> names,
            Size size,
            LinkFaults faults,
            Worker.Watcher watcher)
            throws IOException {
        this.port = port;
        this.faults = faults;
        this.loop = new EventLoop(size.machines());
        this.workers = new StandInWorkers(
                loop, new StandInWorkers.Config(port, size, controllers, names), faults, watcher, this::job);
        this.cloud =
                new Cloud(TYPE, 8, 32, 1, List.of("a", "b"), size.machines() / 4, 500, workers::boot, workers::remove);
        Undertow.Builder builder = Undertow.builder()
                .setWorker(loop.worker())
                .setByteBufferPool(loop.buffers())
                .setHandler(this::handle);
        builder.addHttpListener(port, LOOPBACK);
        for (int number = 1; number <= size.machines(); number++) {
            builder.addHttpListener(port, StandInWorkers.host(number));
        }
        server = builder.build();
        server.start();
        loop.thread().execute(this::tick);
    }

    /** Where the key-value store and the cloud are. */
    public String addr() {
        return LOOPBACK + ":" + port;
    }

    static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private void tick() {
        if (closed) {
            return;
        }
        store.tick(now());
        cloud.tick(now());
        workers.tick();
        loop.thread().executeAfter(this::tick, TICK_MS, TimeUnit.MILLISECONDS);
    }

    private void handle(HttpServerExchange exchange) {
        RequestBodyReader.read(
                exchange,
                MessageCodec.MAX_BODY_BYTES,
                body -> exchange.dispatch(SameThreadExecutor.INSTANCE, () -> receive(exchange, body)));
    }

    private void receive(HttpServerExchange exchange, byte[] body) {
        Destination destination = Destination.of(exchange.getRequestPath());
        Worker worker = workers.at(exchange.getDestinationAddress().getAddress().getHostAddress());
        carryOut(new Request(exchange, body, destination, worker));
    }

    /** Carries a request out as far as the link lets it. */
    private void carryOut(Request request) {
        HttpServerExchange exchange = request.exchange();
        String source = exchange.getSourceAddress().getAddress().getHostAddress();
        Environment.ResponseHandler reply = (status, answer) ->
                ApiServer.send(exchange, status, 0, answer == null ? NO_BODY : MessageCodec.encode(answer));
        switch (faults.of(source, linkEnd(request))) {
            case NONE -> serve(request, reply);
            case REFUSED -> {
                if (request.destination() == Destination.WORKER) {
                    IoUtils.safeClose(exchange.getConnection());
                } else {
                    reply.onResponse(503, null);
                }
            }
            case REQUEST_LOST -> {} // its sender gives up and closes the connection
            case ANSWER_LOST -> serve(request, (status, answer) -> {});
            case SLOW -> loop.thread().executeAfter(() -> serve(request, reply), SLOW_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** The name of a request's destination among the ends of links. */
    private static String linkEnd(Request request) {
        return switch (request.destination()) {
            case CLOUD -> LinkFaults.CLOUD;
            case STORE -> LinkFaults.KEY_VALUE_STORE;
            case WORKER -> request.worker() == null ? "" : request.worker().machine();
        };
    }

    private void serve(Request request, Environment.ResponseHandler reply) {
        HttpServerExchange exchange = request.exchange();
        JsonNode body = request.body().length == 0 ? MessageCodec.map() : MessageCodec.decode(request.body());
        String path = exchange.getRequestPath();
        String query = exchange.getQueryString();
        String pathAndQuery = query.isEmpty() ? path : path + "?" + query;
        String method = exchange.getRequestMethod().toString();
        switch (request.destination()) {
            case WORKER -> serveWorker(request.worker(), path, body, reply);
            case CLOUD -> cloud.request(method, pathAndQuery, body, reply);
            case STORE -> store.request(method, pathAndQuery, body, reply);
        }
    }

    private static void serveWorker(Worker worker, String path, JsonNode body, Environment.ResponseHandler reply) {
        if (worker == null) {
            reply.onResponse(404, null);
        } else if (path.equals("/inspect")) {
            reply.onResponse(200, worker.heartbeat());
        } else {
            int status = worker.receiveCommands(body);
            reply.onResponse(status, status == 400 ? null : worker.heartbeat());
        }
    }

    private JobSpec job(String id) {
        JsonNode record = store.value("j/" + id);
        try {
            return record == null ? null : JobSpec.read(record.path("spec"));
        } catch (InvalidJobSpecException e) {
            return null;
        }
    }

    @Override
    public void close() {
        closed = true;
        workers.close();
        server.stop();
        loop.close();
    }
}
