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
import stileferry.protocol.Environment;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MessageCodec;
import stileferry.standin.Cloud;
import stileferry.standin.Gangs;
import stileferry.standin.StateService;
import stileferry.standin.Worker;

/**
 * The stand-ins for state service, cloud and workers on loopback addresses, for trying the service out and for its
 * tests. Everything runs on one IO thread. The workers read job descriptions from the stand-in state service.
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

    private static final byte[] NOTHING = new byte[0];

    private final EventLoop loop;
    private final int port;
    private final Size size;
    private final List<String> controllers;
    private final List<String> names;
    private final StateService state = new StateService(20, 8);
    private final Cloud cloud;
    private final Map<String, Worker> workers = new HashMap<>();
    private final Gangs gangs = new Gangs(GANG_WAIT_S, GANG_PEER_S);
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

    /** Where the state service and the cloud are. */
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
        RequestBodies.read(
                exchange,
                MessageCodec.MAX_BODY,
                bytes -> exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
                    JsonNode body = bytes.length == 0 ? MessageCodec.map() : MessageCodec.decode(bytes);
                    String path = exchange.getRequestPath();
                    String full = exchange.getQueryString().isEmpty() ? path : path + "?" + exchange.getQueryString();
                    String method = exchange.getRequestMethod().toString();
                    Environment.Reply reply = (status, answer) -> UserServer.send(
                            exchange, status, 0, answer == null ? NOTHING : MessageCodec.encode(answer));
                    if (path.equals("/commands")) {
                        String host =
                                exchange.getDestinationAddress().getAddress().getHostAddress();
                        Worker worker = workers.get(host + ":" + port);
                        if (worker == null) {
                            reply.done(404, null);
                        } else {
                            int status = worker.commands(body);
                            reply.done(status, status == 400 ? null : worker.report());
                        }
                    } else if (path.equals("/machine_types") || path.startsWith("/hosts")) {
                        cloud.request(method, full, body, reply);
                    } else {
                        state.request(method, full, body, reply);
                    }
                }));
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
                Worker.Watcher.NOBODY,
                gangs);
        workers.put(addr, worker);
        report(worker, 0);
        return worker;
    }

    private void remove(Worker worker) {
        workers.remove(worker.addr(), worker);
        worker.destroy();
    }

    private JobSpec job(String id) {
        JsonNode record = state.value("j/" + id);
        try {
            return record == null ? null : JobSpec.read(record.path("spec"));
        } catch (JobSpec.Malformed e) {
            return null;
        }
    }

    private void report(Worker worker, int to) {
        if (closed || workers.get(worker.addr()) != worker) {
            return;
        }
        long sentAt = now();
        long session = worker.session();
        loop.http.call(
                controllers.get(to),
                "POST",
                "/v1/report",
                MessageCodec.encode(worker.report()),
                4000,
                (status, bytes) -> {
                    JsonNode body = bytes.length == 0 ? null : MessageCodec.decode(bytes);
                    int named = body == null
                            ? -1
                            : names.indexOf(body.path("harbormaster").asText());
                    if (status == 200) {
                        worker.answered(body, session, sentAt);
                        later(size.reportMs(), worker, to);
                    } else if (status == 421 && named >= 0 && named != to) {
                        later(BEAT_MS, worker, named);
                    } else {
                        later(1000, worker, (to + 1) % controllers.size());
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
