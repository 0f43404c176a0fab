package stileferry.transport;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import stileferry.protocol.Environment;
import stileferry.protocol.InvalidJobSpecException;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.WireNames;
import stileferry.standin.Cloud;
import stileferry.standin.GangSimulation;
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

    private static final long BEAT_MS = 50;

    /** Addresses of workers in one block of loopback addresses. */
    private static final int BLOCK = 250;

    /** How long a worker waits for an answer, and then until it tries the next controller. */
    private static final long PATIENCE_MS = 4000;

    private static final long NEXT_CONTROLLER_MS = 1000;

    /** What a slow link adds. */
    private static final long SLOW_MS = 1500;

    private static final byte[] NOTHING = new byte[0];

    private final EventLoop loop;
    private final int port;
    private final Size size;
    private final List<String> controllers;
    private final List<String> names;
    private final KeyValueStore state = new KeyValueStore(20, 8);
    private final Cloud cloud;
    private final LinkFaults faults;
    private final Worker.Watcher watcher;
    private final Map<String, Worker> workers = new HashMap<>();
    private final GangSimulation gangs = new GangSimulation(GANG_WAIT_S, GANG_PEER_S);
    private final Undertow server;
    private int addresses;
    private volatile boolean closed;

    /** How many machines the cloud has, how often their workers report, and how long a worker's lease is. */
    public record Size(int machines, long reportMs, long leaseMs) {
        /** What a trial on one computer needs. */
        public static final Size SMALL = new Size(8, 500, 5000);
    }

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
        this.faults = faults;
        this.watcher = watcher;
        this.port = port;
        this.size = size;
        this.loop = new EventLoop(size.machines());
        this.controllers = List.copyOf(controllers);
        this.names = List.copyOf(names);
        this.cloud = new Cloud(TYPE, 8, 32, 1, List.of("a", "b"), size.machines() / 4, 500, this::boot, this::remove);
        Undertow.Builder builder = Undertow.builder()
                .setWorker(loop.worker)
                .setByteBufferPool(loop.buffers)
                .setHandler(this::handle);
        builder.addHttpListener(port, "127.0.0.1");
        for (int i = 1; i <= size.machines(); i++) {
            builder.addHttpListener(port, workerHost(i));
        }
        server = builder.build();
        server.start();
        loop.thread.execute(this::beat);
    }

    /** Where the key-value store and the cloud are. */
    public String addr() {
        return "127.0.0.1:" + port;
    }

    private static String workerHost(int number) {
        return "127.0." + (1 + number / BLOCK) + "." + (1 + number % BLOCK);
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private void beat() {
        if (closed) {
            return;
        }
        state.tick(now());
        cloud.tick(now());
        List.copyOf(workers.values()).forEach(w -> w.tick(now()));
        loop.thread.executeAfter(this::beat, BEAT_MS, TimeUnit.MILLISECONDS);
    }

    private void handle(HttpServerExchange exchange) {
        RequestBodyReader.read(
                exchange,
                MessageCodec.MAX_BODY,
                bytes -> exchange.dispatch(SameThreadExecutor.INSTANCE, () -> takeRequest(exchange, bytes)));
    }

    /** Carries a request out as far as the link lets it. */
    private void takeRequest(HttpServerExchange exchange, byte[] bytes) {
        String source = exchange.getSourceAddress().getAddress().getHostAddress();
        Worker worker =
                workers.get(exchange.getDestinationAddress().getAddress().getHostAddress() + ":" + port);
        String path = exchange.getRequestPath();
        boolean toWorker = path.equals("/commands") || path.equals("/inspect");
        boolean toCloud = path.equals("/machine_types") || path.startsWith("/hosts");
        String to = toCloud
                ? LinkFaults.CLOUD
                : !toWorker ? LinkFaults.KEY_VALUE_STORE : worker == null ? "" : worker.machine();
        Environment.ResponseHandler reply = (status, answer) ->
                ApiServer.send(exchange, status, 0, answer == null ? NOTHING : MessageCodec.encode(answer));
        Runnable request = () -> serve(exchange, bytes, toWorker, toCloud, worker, reply);
        switch (faults.of(source, to)) {
            case NONE -> request.run();
            case REFUSED -> {
                if (toWorker) {
                    IoUtils.safeClose(exchange.getConnection());
                } else {
                    reply.onResponse(503, null);
                }
            }
            case REQUEST_LOST -> {} // its sender gives up and closes the connection
            case ANSWER_LOST -> serve(exchange, bytes, toWorker, toCloud, worker, (status, answer) -> {});
            case SLOW -> loop.thread.executeAfter(request, SLOW_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void serve(
            HttpServerExchange exchange,
            byte[] bytes,
            boolean toWorker,
            boolean toCloud,
            Worker worker,
            Environment.ResponseHandler reply) {
        JsonNode body = bytes.length == 0 ? MessageCodec.map() : MessageCodec.decode(bytes);
        String path = exchange.getRequestPath();
        String full = exchange.getQueryString().isEmpty() ? path : path + "?" + exchange.getQueryString();
        String method = exchange.getRequestMethod().toString();
        if (toWorker && worker == null) {
            reply.onResponse(404, null);
        } else if (path.equals("/inspect")) {
            reply.onResponse(200, worker.heartbeat());
        } else if (toWorker) {
            int status = worker.receiveCommands(body);
            reply.onResponse(status, status == 400 ? null : worker.heartbeat());
        } else if (toCloud) {
            cloud.request(method, full, body, reply);
        } else {
            state.request(method, full, body, reply);
        }
    }

    private Worker boot(String machine, String place) {
        String[] parts = place.split("\\|");
        String addr = workerHost(1 + addresses++ % size.machines()) + ":" + port;
        Worker worker = new Worker(
                machine,
                addr,
                TYPE,
                parts[0],
                parts[1].equals("true"),
                8,
                32,
                size.leaseMs(),
                now(),
                this::job,
                watcher,
                gangs);
        workers.put(addr, worker);
        report(worker, 0);
        return worker;
    }

    private void remove(Worker worker) {
        workers.remove(worker.address(), worker);
        worker.destroy();
    }

    private JobSpec job(String id) {
        JsonNode record = state.value("j/" + id);
        try {
            return record == null ? null : JobSpec.read(record.path("spec"));
        } catch (InvalidJobSpecException e) {
            return null;
        }
    }

    private void report(Worker worker, int to) {
        if (closed || workers.get(worker.address()) != worker) {
            return;
        }
        LinkFaults.Effect effect = faults.of(worker.machine(), names.get(to));
        switch (effect) {
            case NONE -> send(worker, to, false);
            case REFUSED -> later(NEXT_CONTROLLER_MS, worker, next(to));
            case REQUEST_LOST -> later(PATIENCE_MS + NEXT_CONTROLLER_MS, worker, next(to));
            case ANSWER_LOST -> send(worker, to, true);
            case SLOW -> loop.thread.executeAfter(() -> send(worker, to, false), SLOW_MS, TimeUnit.MILLISECONDS);
        }
    }

    private int next(int controller) {
        return (controller + 1) % controllers.size();
    }

    private void send(Worker worker, int to, boolean answerLost) {
        long sentAt = now();
        long session = worker.incarnation();
        loop.http.call(
                controllers.get(to),
                "POST",
                "/v1/report",
                MessageCodec.encode(worker.heartbeat()),
                PATIENCE_MS,
                (status, bytes) -> {
                    JsonNode body = bytes.length == 0 ? null : MessageCodec.decode(bytes);
                    int named = body == null
                            ? -1
                            : names.indexOf(body.path(WireNames.LEADER).asText());
                    if (answerLost) {
                        later(PATIENCE_MS + NEXT_CONTROLLER_MS, worker, next(to));
                    } else if (status == 200) {
                        worker.heartbeatAnswered(body, session, sentAt);
                        later(size.reportMs(), worker, to);
                    } else if (status == 421 && named >= 0 && named != to) {
                        later(BEAT_MS, worker, named);
                    } else {
                        later(NEXT_CONTROLLER_MS, worker, next(to));
                    }
                });
    }

    private void later(long ms, Worker worker, int to) {
        loop.thread.executeAfter(() -> report(worker, to), ms, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        closed = true;
        server.stop();
        loop.close();
    }
}
