package stileferry.transport;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import stileferry.protocol.Environment;
import stileferry.protocol.InvalidJobSpecException;
import stileferry.protocol.JobSpec;
import stileferry.protocol.KeyValueStoreProtocol;
import stileferry.protocol.MessageCodec;
import stileferry.standin.Cloud;
import stileferry.standin.KeyValueStore;
import stileferry.standin.LinkFaults;
import stileferry.standin.Worker;

/**
 * Serves the stand-ins for the key-value store, the cloud and the workers on loopback addresses, for local trials and
 * for tests. Everything runs on one IO thread. The workers read job specs from the stand-in key-value store.
 */
public final class StandInServer implements AutoCloseable {
    /** The only machine type of the stand-in cloud. */
    public static final String MACHINE_TYPE = "box";

    /** How long a task of a gang waits for the gang's other tasks. */
    public static final double GANG_ASSEMBLY_TIMEOUT_S = 10;

    /** Time within which a task of a gang detects that another one is gone. */
    public static final double GANG_LOSS_DETECTION_S = 2;

    /** Delay that a slow link adds to a request. */
    static final long SLOW_LINK_DELAY_MS = 1500;

    /** Bounds of the delay after which a late transaction or command is processed. */
    static final long MIN_LATE_MS = 2000;

    static final long MAX_LATE_MS = 12_000;
    private static final long MIN_REPEAT_MS = 200;
    private static final int MAX_COPIES = 3;

    private static final long TICK_INTERVAL_MS = 50;
    private static final String LOOPBACK = "127.0.0.1";
    private static final byte[] NO_BODY = new byte[0];

    private final EventLoop loop;
    private final int port;
    private final KeyValueStore store = new KeyValueStore(20, 8);
    private final Cloud cloud;
    private final StandInWorkers workers;
    private final LinkFaults faults;
    private final Undertow server;
    private final SplittableRandom random = new SplittableRandom();

    /** Used on the IO thread only. */
    private boolean storeDown;

    private volatile boolean closed;

    /** The specs of jobs of which a task was started, by job id. */
    private final Map<String, JobSpec> knownJobSpecs = new HashMap<>();

    /**
     * The size and the timing of the simulated deployment.
     *
     * @param machines machines that the cloud has
     * @param heartbeatIntervalMs interval between the heartbeats of a worker
     * @param leaseMs duration of a worker's lease
     */
    public record Size(int machines, long heartbeatIntervalMs, long leaseMs) {
        /** Suits a trial on one computer. */
        public static final Size SMALL = new Size(8, 500, 5000);
    }

    /** The kind of stand-in that a request is addressed to. */
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

    /** A received request; {@code worker} is null if there is none at the address to which it was sent. */
    private record Request(HttpServerExchange exchange, byte[] body, Destination destination, Worker worker) {}

    /**
     * Starts the stand-ins, with links that have no faults.
     *
     * @param port port of all stand-ins
     * @param controllerAddresses client addresses of the controllers
     * @param controllerNames names of the controllers, in the order of their addresses
     */
    public StandInServer(int port, List<String> controllerAddresses, List<String> controllerNames, Size size)
            throws IOException {
        this(port, controllerAddresses, controllerNames, size, LinkFaults.NONE, Worker.TaskListener.NO_OP);
    }

    /** Starts the stand-ins, with faults on their links and a listener for the starts and ends of tasks. */
    public StandInServer(
            int port,
            List<String> controllerAddresses,
            List<String> controllerNames,
            Size size,
            LinkFaults faults,
            Worker.TaskListener taskListener)
            throws IOException {
        this.port = port;
        this.faults = faults;
        this.loop = new EventLoop(size.machines());
        this.workers = new StandInWorkers(
                loop,
                new StandInWorkers.Config(port, size, controllerAddresses, controllerNames),
                faults,
                taskListener,
                this::jobSpec);
        this.cloud = new Cloud(
                MACHINE_TYPE, 8, 32, 1, List.of("a", "b"), size.machines() / 4, 500, workers::boot, workers::remove);
        Undertow.Builder builder = Undertow.builder()
                .setWorker(loop.xnioWorker())
                .setByteBufferPool(loop.buffers())
                .setHandler(this::handle);
        builder.addHttpListener(port, LOOPBACK);
        for (int number = 1; number <= size.machines(); number++) {
            builder.addHttpListener(port, StandInWorkers.loopbackAddress(number));
        }
        server = builder.build();
        server.start();
        loop.ioThread().execute(this::tick);
    }

    /** Changes the limits of the key-value store, from the next request on. */
    public void setStoreLimits(int maxOperations, double maxValueKb) {
        loop.ioThread().execute(() -> store.setLimits(maxOperations, maxValueKb));
    }

    /** Begins an outage of the key-value store for everybody. */
    public void beginStoreOutage() {
        loop.ioThread().execute(() -> storeDown = true);
    }

    /** Ends an outage of the key-value store, after which each lease has its full time again. */
    public void endStoreOutage() {
        loop.ioThread().execute(() -> {
            storeDown = false;
            store.renewAllLeases(now());
        });
    }

    /** Suspends the tasks of some of the running machines until the time is over; their agents go on reporting. */
    public void hangMachines(int count, long forMs) {
        loop.ioThread().execute(() -> workers.hang(count, now() + forMs));
    }

    /** Reclaims some of the running machines without notice. */
    public void reclaimMachines(int count) {
        loop.ioThread()
                .execute(() -> cloud.runningMachines().stream().limit(count).forEach(cloud::reclaim));
    }

    /** Returns the address of the key-value store and the cloud, as host:port. */
    public String address() {
        return LOOPBACK + ":" + port;
    }

    static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private void tick() {
        if (closed) {
            return;
        }
        if (!storeDown) {
            store.tick(now());
        }
        cloud.tick(now());
        workers.tick();
        loop.ioThread().executeAfter(this::tick, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void handle(HttpServerExchange exchange) {
        RequestBodyReader.read(
                exchange,
                MessageCodec.MAX_BODY_BYTES,
                body -> exchange.dispatch(SameThreadExecutor.INSTANCE, () -> receive(exchange, body)));
    }

    private void receive(HttpServerExchange exchange, byte[] body) {
        Destination destination = Destination.of(exchange.getRequestPath());
        Worker worker =
                workers.workerAt(exchange.getDestinationAddress().getAddress().getHostAddress());
        applyLinkFault(new Request(exchange, body, destination, worker));
    }

    /** Serves a request with the fault that its link has, if any. */
    private void applyLinkFault(Request request) {
        HttpServerExchange exchange = request.exchange();
        String source = exchange.getSourceAddress().getAddress().getHostAddress();
        Environment.ResponseHandler reply = (status, response) ->
                ApiServer.send(exchange, status, 0, response == null ? NO_BODY : MessageCodec.encode(response));
        switch (faults.effectOn(source, linkEndpoint(request))) {
            case NONE -> serve(request, reply);
            case REFUSED -> {
                if (request.destination() == Destination.WORKER) {
                    IoUtils.safeClose(exchange.getConnection());
                } else {
                    reply.onResponse(503, null);
                }
            }
            case REQUEST_LOST -> {} // the sender times out and closes the connection
            case ANSWER_LOST -> serve(request, (status, response) -> {});
            case REPEATED -> {
                serve(request, reply);
                repeatLater(request);
            }
            case SLOW ->
                loop.ioThread().executeAfter(() -> serve(request, reply), SLOW_LINK_DELAY_MS, TimeUnit.MILLISECONDS);
            case LATE -> {
                if (mayBeLate(request)) {
                    serveLater(request, MIN_LATE_MS, MAX_LATE_MS);
                } else {
                    serve(request, reply);
                }
            }
        }
    }

    /** Returns whether the protocol lets the request take effect after its sender has given up. */
    private static boolean mayBeLate(Request request) {
        String path = request.exchange().getRequestPath();
        return path.equals(KeyValueStoreProtocol.COMMIT_PATH) || path.equals("/commands");
    }

    /** Serves a request that was answered once more, or several times, from a fraction of a second later on. */
    private void repeatLater(Request request) {
        if (mayBeLate(request)) {
            int copies = random.nextInt(1, MAX_COPIES + 1);
            for (int copy = 0; copy < copies; copy++) {
                serveLater(request, MIN_REPEAT_MS, MAX_LATE_MS);
            }
        }
    }

    private void serveLater(Request request, long minDelayMs, long maxDelayMs) {
        String method = request.exchange().getRequestMethod().toString();
        String path = request.exchange().getRequestPath();
        loop.ioThread()
                .executeAfter(
                        () -> serve(request, method, path, (status, response) -> {}),
                        random.nextLong(minDelayMs, maxDelayMs),
                        TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the name of a request's destination as {@link LinkFaults} knows it, or an empty string if there is no
     * such worker.
     */
    private static String linkEndpoint(Request request) {
        return switch (request.destination()) {
            case CLOUD -> LinkFaults.CLOUD;
            case STORE -> LinkFaults.KEY_VALUE_STORE;
            case WORKER -> request.worker() == null ? "" : request.worker().machine();
        };
    }

    private void serve(Request request, Environment.ResponseHandler reply) {
        HttpServerExchange exchange = request.exchange();
        String path = exchange.getRequestPath();
        String query = exchange.getQueryString();
        serve(request, exchange.getRequestMethod().toString(), query.isEmpty() ? path : path + "?" + query, reply);
    }

    private void serve(Request request, String method, String pathAndQuery, Environment.ResponseHandler reply) {
        JsonNode body = request.body().length == 0 ? MessageCodec.map() : MessageCodec.decode(request.body());
        switch (request.destination()) {
            case WORKER -> serveWorker(request.worker(), pathAndQuery, body, reply);
            case CLOUD -> cloud.handleRequest(method, pathAndQuery, body, reply);
            case STORE -> serveStore(method, pathAndQuery, body, reply);
        }
    }

    private void serveStore(String method, String path, JsonNode body, Environment.ResponseHandler reply) {
        if (storeDown) {
            reply.onResponse(503, null);
        } else {
            store.handleRequest(method, path, body, reply);
        }
    }

    private static void serveWorker(Worker worker, String path, JsonNode body, Environment.ResponseHandler reply) {
        if (worker == null) {
            reply.onResponse(404, null);
        } else if (path.equals("/inspect")) {
            reply.onResponse(200, worker.heartbeat());
        } else {
            int status = worker.handleCommands(body);
            reply.onResponse(status, status == 400 ? null : worker.heartbeat());
        }
    }

    /** Returns the spec of a job, also after the job has ended: workers get it from the users, not from the store. */
    private JobSpec jobSpec(String id) {
        JsonNode record = store.value("j/" + id);
        if (record == null) {
            return knownJobSpecs.get(id);
        }
        try {
            JobSpec spec = JobSpec.read(record.path("spec"));
            knownJobSpecs.put(id, spec);
            return spec;
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
