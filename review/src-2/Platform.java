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
import stileferry.protocol.InvalidJobSpecException;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MessageCodec;
import stileferry.standin.Cloud;
import stileferry.standin.KeyValueStore;
import stileferry.standin.LinkFaults;
import stileferry.standin.Worker;

/**
 * The project's stand-ins for the state service, the cloud and the workers behind one port, as {@link StandInServer}
 * serves them, but with an address of its own for every machine that is ever rented (that server gives an address to a
 * second machine while the first one still has it), and with the cloud's capacity, boot time and list lag as parameters.
 */
public final class Platform {
    /** Machines that can be rented in one run. */
    private static final int ADDRESSES = 120;

    private static final long TICK_INTERVAL_MS = 50;
    private static final byte[] NO_BODY = new byte[0];

    private final EventLoop loop = new EventLoop(ADDRESSES);
    private final KeyValueStore store = new KeyValueStore(40, 8);
    private final Map<String, JobSpec> specs = new HashMap<>();
    private final StandInWorkers workers;
    private final Cloud cloud;

    /** Starts everything. */
    public Platform(
            int port,
            List<String> controllerAddresses,
            List<String> controllerNames,
            int machinesPerZoneAndKind,
            double bootS,
            double listLagS,
            double reportS,
            double leaseS,
            Worker.TaskListener listener)
            throws IOException {
        StandInServer.Size size = new StandInServer.Size(
                ADDRESSES, Math.round(reportS * 1000), Math.round(leaseS * 1000));
        workers = new StandInWorkers(
                loop,
                new StandInWorkers.Config(port, size, controllerAddresses, controllerNames),
                LinkFaults.NONE,
                listener,
                this::jobSpec);
        cloud = new Cloud(
                StandInServer.MACHINE_TYPE,
                8,
                32,
                bootS,
                List.of("a", "b"),
                machinesPerZoneAndKind,
                Math.round(listLagS * 1000),
                workers::boot,
                workers::remove);
        Undertow.Builder builder = Undertow.builder()
                .setWorker(loop.xnioWorker())
                .setByteBufferPool(loop.buffers())
                .setHandler(this::handle)
                .addHttpListener(port, "127.0.0.1");
        for (int number = 1; number <= ADDRESSES; number++) {
            builder.addHttpListener(port, StandInWorkers.loopbackAddress(number));
        }
        builder.build().start();
        loop.ioThread().execute(this::tick);
    }

    private void tick() {
        store.tick(StandInServer.now());
        cloud.tick(StandInServer.now());
        workers.tick();
        loop.ioThread().executeAfter(this::tick, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void handle(HttpServerExchange exchange) {
        RequestBodyReader.read(
                exchange,
                MessageCodec.MAX_BODY_BYTES,
                body -> exchange.dispatch(SameThreadExecutor.INSTANCE, () -> serve(exchange, body)));
    }

    private void serve(HttpServerExchange exchange, byte[] bytes) {
        Environment.ResponseHandler reply = (status, answer) ->
                ApiServer.send(exchange, status, 0, answer == null ? NO_BODY : MessageCodec.encode(answer));
        JsonNode body = bytes.length == 0 ? MessageCodec.map() : MessageCodec.decode(bytes);
        String path = exchange.getRequestPath();
        String query = exchange.getQueryString();
        String pathAndQuery = query.isEmpty() ? path : path + "?" + query;
        String method = exchange.getRequestMethod().toString();
        if (path.equals("/commands") || path.equals("/inspect")) {
            Worker worker = workers.workerAt(
                    exchange.getDestinationAddress().getAddress().getHostAddress());
            if (worker == null) {
                reply.onResponse(404, null);
            } else if (path.equals("/inspect")) {
                reply.onResponse(200, worker.heartbeat());
            } else {
                int status = worker.handleCommands(body);
                reply.onResponse(status, status == 400 ? null : worker.heartbeat());
            }
        } else if (path.equals("/machine_types") || path.startsWith("/hosts")) {
            cloud.handleRequest(method, pathAndQuery, body, reply);
        } else {
            store.handleRequest(method, pathAndQuery, body, reply);
        }
    }

    /** Returns the description of a job as its user uploaded it; kept when the job has ended. */
    private JobSpec jobSpec(String id) {
        JsonNode record = store.value("j/" + id);
        if (record == null) {
            return specs.get(id);
        }
        try {
            JobSpec spec = JobSpec.read(record.path("spec"));
            specs.put(id, spec);
            return spec;
        } catch (InvalidJobSpecException e) {
            return null;
        }
    }

    /** Runs an action on the thread of the stand-ins, as workers have no lock of their own. */
    public void execute(Runnable action) {
        loop.ioThread().execute(action);
    }
}
