package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import stileferry.protocol.InvalidJobSpecException;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MessageCodec;
import stileferry.standin.Cloud;
import stileferry.standin.GangSimulation;
import stileferry.standin.KeyValueStore;
import stileferry.standin.Worker;

/**
 * A small deployment on loopback addresses and the real clock: three controllers as processes of the deploy file, and
 * stand-ins for the state service, the cloud, its workers and users. The project's own stand-ins keep the state; this
 * class gives them addresses, sends the workers' reports, and cuts links. Everything is written to the record.
 */
final class Deployment implements AutoCloseable {
    /** What a script varies of the settings; the rest is as in the settings example of the operators' page. */
    static final class Options {
        String[] zones = {"monterrey-norte", "queretaro-bajio", "guadalajara-oeste", "cdmx-sur"};
        String[] controllerZones = {"monterrey-norte", "queretaro-bajio", "guadalajara-oeste"};
        String teams = "[{\"name\":\"mesa-autoriza\",\"cpus\":0.0,\"cpus_max\":0.0,\"gpus\":0.0,\"gpus_max\":0.0}]";
        double reportS = 3;
        double leaseS = 32;
        double cancelS = 52;
        double bootS = 15;
        int machinesPerPool = 8;
        double listLagS = 10;
    }

    static final int CONTROLLERS = 3;
    private static final String LOOPBACK = "127.0.0.1";
    private static final long WORKER_TIMEOUT_MS = 4000;

    final Options options;
    final Map<String, String> machineZones = new ConcurrentHashMap<>();
    /** By task: the machines that it is on now. */
    final Map<String, Map<String, Long>> onMachines = new TreeMap<>();

    final List<String> startsWhileElsewhere = new ArrayList<>();
    private final Object lock = new Object();
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    private final Path dir;
    private final Path root;
    private final KeyValueStore store = new KeyValueStore(12, 16);
    private final Cloud cloud;
    private final GangSimulation gangs = new GangSimulation(40, 6);
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    private final List<HttpServer> servers = new ArrayList<>();
    private final List<PeerLink> peerLinks = new ArrayList<>();
    private final Process[] processes = new Process[CONTROLLERS];
    private final Path[] settings = new Path[CONTROLLERS];
    private final int[] clientPorts = new int[CONTROLLERS];
    private final Map<String, WorkerHost> workers = new LinkedHashMap<>();
    private final HttpClient http;
    private final Random random = new Random();
    private volatile String cutZone = "";
    private volatile long cutTerm;
    private volatile boolean closed;

    Deployment(Options options, Path recordFile) throws IOException {
        this.options = options;
        this.root = Path.of("").toAbsolutePath();
        this.dir = Files.createTempDirectory("stileferry-review");
        this.record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        this.http = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofMillis(WORKER_TIMEOUT_MS))
                .executor(threads)
                .build();
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        this.cloud = new Cloud(
                "nodo-bomba",
                16,
                64,
                options.bootS,
                List.of(options.zones),
                options.machinesPerPool,
                Math.round(options.listLagS * 1000),
                this::boot,
                this::removed);
        configure();
        threads.submit(this::tickLoop);
    }

    static long now() {
        return System.nanoTime() / 1_000_000;
    }

    /** Writes a line, with the seconds since the start, to the record. */
    void note(String line) {
        synchronized (record) {
            record.printf("%8.3f %s%n", (System.nanoTime() - startedAt) / 1e9, line);
        }
    }

    // ---- settings and processes

    private void configure() throws IOException {
        int[] peerPorts = new int[CONTROLLERS];
        List<ServerSocket> reserved = new ArrayList<>();
        for (int i = 0; i < CONTROLLERS; i++) {
            clientPorts[i] = reserve(reserved);
            peerPorts[i] = reserve(reserved);
        }
        for (ServerSocket socket : reserved) {
            socket.close();
        }
        for (int i = 0; i < CONTROLLERS; i++) {
            int from = i;
            int statePort = serve(exchange -> serveState(from, exchange));
            int cloudPort = serve(exchange -> serveCloud(from, exchange));
            List<String> seeds = new ArrayList<>();
            for (int j = 0; j < CONTROLLERS; j++) {
                if (j != i) {
                    PeerLink link = new PeerLink(this, i, j, peerPorts[j]);
                    peerLinks.add(link);
                    threads.submit(link);
                    seeds.add(String.format(
                            "{\"host_name\":\"%s\",\"zone\":\"%s\",\"peer_addr\":\"%s:%d\"}",
                            name(j), options.controllerZones[j], LOOPBACK, link.port()));
                }
            }
            String json = String.format(
                    java.util.Locale.ROOT,
                    "{\"host_name\":\"%s\",\"zone\":\"%s\",\"client_listen\":\"%s:%d\",\"peer_bind\":\"%s:%d\","
                            + "\"seeds\":[%s],\"outside\":{\"cloud\":\"%s:%d\",\"state\":\"%s:%d\"},"
                            + "\"cluster\":{\"initial_size\":3,\"zones\":[%s],\"teams\":%s,\"objectives\":[],"
                            + "\"workers\":{\"report_s\":%s,\"lease_s\":%s,\"gang_wait_s\":40.0,\"gang_peer_s\":6.0,"
                            + "\"cancel_s\":%s},\"state\":{\"rps\":150.0,\"write_rps\":30.0,\"value_kb\":16.0,"
                            + "\"txn_ops\":12},\"cloud\":{\"rps\":10.0,\"list_lag_s\":%s},"
                            + "\"machine_limits\":{\"cores\":0.34,\"mem_mb\":320.0,\"max_sockets\":3000},"
                            + "\"clock_off_ms\":5.0}}",
                    name(i),
                    options.controllerZones[i],
                    LOOPBACK,
                    clientPorts[i],
                    LOOPBACK,
                    peerPorts[i],
                    String.join(",", seeds),
                    LOOPBACK,
                    cloudPort,
                    LOOPBACK,
                    statePort,
                    String.join(
                            ",",
                            Arrays.stream(options.zones).map(zone -> "\"" + zone + "\"").toList()),
                    options.teams,
                    options.reportS,
                    options.leaseS,
                    options.cancelS,
                    options.listLagS);
            settings[i] = dir.resolve(name(i) + ".json");
            Files.writeString(settings[i], json);
        }
    }

    private static int reserve(List<ServerSocket> reserved) throws IOException {
        ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK));
        reserved.add(socket);
        return socket.getLocalPort();
    }

    static String name(int controller) {
        return "iskele-" + controller;
    }

    static int number(String name) {
        return Integer.parseInt(name.substring(name.lastIndexOf('-') + 1));
    }

    /** Starts a controller with the command of the deploy file. */
    void start(int controller) throws IOException {
        String run = Files.readAllLines(root.resolve("deploy/service.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        List<String> command =
                new ArrayList<>(List.of(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" ")));
        command.add(settings[controller].toString());
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD);
        String logs = System.getenv("REVIEW_LOGS");
        if (logs != null) {
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(
                    Path.of(logs, name(controller) + ".log").toFile()));
        }
        processes[controller] = builder.start();
        note("controller started: " + name(controller));
    }

    void kill(int controller) throws InterruptedException {
        processes[controller].destroyForcibly().waitFor();
        note("controller killed: " + name(controller));
    }

    boolean alive(int controller) {
        return processes[controller].isAlive();
    }

    long pid(int controller) {
        return processes[controller].pid();
    }

    private void killAll() {
        for (Process process : processes) {
            if (process != null) {
                process.destroyForcibly();
            }
        }
        try (var files = Files.walk(dir)) {
            files.sorted(java.util.Comparator.reverseOrder())
                    .forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // a temporary folder that is left behind changes no result
        }
    }

    @Override
    public void close() {
        closed = true;
        killAll();
        servers.forEach(server -> server.stop(0));
        peerLinks.forEach(PeerLink::close);
        record.flush();
    }

    // ---- links

    /** Cuts a zone off from everything; {@code term} is the term in which a controller inside leads, or 0. */
    void cutZone(String zone, long term) {
        synchronized (lock) {
            workers.values().forEach(host -> host.traced |= host.zone.equals(zone));
        }
        cutTerm = term;
        cutZone = zone;
        note("zone cut off from everything: " + zone);
    }

    void endCut() {
        note("cut ends: " + cutZone);
        cutZone = "";
        peerLinks.forEach(PeerLink::resetCutConnections);
    }

    private boolean isCut(int controller) {
        return options.controllerZones[controller].equals(cutZone);
    }

    boolean isCutBetween(int controller, int other) {
        return isCut(controller) != isCut(other);
    }

    private boolean isCutBetween(String machineZone, int controller) {
        return machineZone.equals(cutZone) != isCut(controller);
    }

    // ---- state service and cloud

    private interface Handler {
        void handle(HttpExchange exchange) throws IOException;
    }

    private int serve(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(LOOPBACK, 0), 128);
        server.setExecutor(threads);
        server.createContext("/", exchange -> {
            try {
                handler.handle(exchange);
            } catch (IOException | RuntimeException e) {
                exchange.close();
            }
        });
        server.start();
        synchronized (servers) {
            servers.add(server);
        }
        return server.getAddress().getPort();
    }

    private static JsonNode body(HttpExchange exchange) throws IOException {
        byte[] bytes = exchange.getRequestBody().readAllBytes();
        return bytes.length == 0 ? MessageCodec.map() : MessageCodec.decode(bytes);
    }

    private static void reply(HttpExchange exchange, int status, JsonNode body) {
        try {
            byte[] bytes = body == null ? new byte[0] : MessageCodec.encode(body);
            exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
            if (bytes.length > 0) {
                exchange.getResponseBody().write(bytes);
            }
            exchange.close();
        } catch (IOException e) {
            exchange.close();
        }
    }

    /** What is sent across a cut is lost: the sender hears nothing until the cut ends, and then the connection is reset. */
    private void lose(HttpExchange exchange) {
        while (!cutZone.isEmpty() && !closed) {
            sleep(20);
        }
        exchange.close();
    }

    private void serveState(int from, HttpExchange exchange) throws IOException {
        JsonNode body = body(exchange);
        if (isCut(from)) {
            lose(exchange);
            return;
        }
        synchronized (lock) {
            store.tick(now());
            store.handleRequest(
                    exchange.getRequestMethod(),
                    exchange.getRequestURI().toString(),
                    body,
                    (status, answer) -> threads.submit(() -> {
                        if (isCut(from)) {
                            lose(exchange);
                        } else {
                            reply(exchange, status, answer);
                        }
                    }));
        }
    }

    private void serveCloud(int from, HttpExchange exchange) throws IOException {
        JsonNode body = body(exchange);
        if (isCut(from)) {
            lose(exchange);
            return;
        }
        synchronized (lock) {
            cloud.handleRequest(
                    exchange.getRequestMethod(),
                    exchange.getRequestURI().toString(),
                    body,
                    (status, answer) -> threads.submit(() -> reply(exchange, status, answer)));
        }
    }

    /** Returns the name of the leader in the state service, or an empty string. */
    String leader() {
        synchronized (lock) {
            JsonNode value = store.value("a/lead");
            return value == null ? "" : value.path("node").asText();
        }
    }

    long term() {
        synchronized (lock) {
            JsonNode value = store.value("a/term");
            return value == null ? 0 : value.path("term").asLong();
        }
    }

    private JobSpec jobSpec(String id) {
        JsonNode value = store.value("j/" + id);
        try {
            return value == null ? null : JobSpec.read(value.path("spec"));
        } catch (InvalidJobSpecException e) {
            return null;
        }
    }

    private void tickLoop() {
        while (!closed) {
            synchronized (lock) {
                store.tick(now());
                cloud.tick(now());
                for (WorkerHost host : List.copyOf(workers.values())) {
                    host.worker.tick(now());
                }
            }
            sleep(10);
        }
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- workers

    private final class WorkerHost {
        private final Worker worker;
        private final String machine;
        private final String zone;
        private volatile boolean gone;
        /** Whether every report and every direct request is written to the record. */
        private volatile boolean traced;

        private volatile byte[] lastReport;

        WorkerHost(Worker worker, String machine, String zone) {
            this.worker = worker;
            this.machine = machine;
            this.zone = zone;
        }

        /** Reports to one controller at a time, with one report in flight, as the operators' page describes. */
        void reportLoop() {
            int controller = random.nextInt(CONTROLLERS);
            long waitMs = 0;
            while (!closed && !gone) {
                waitForNextReport(waitMs);
                if (closed || gone) {
                    return;
                }
                long incarnation;
                byte[] report;
                long sentAt;
                synchronized (lock) {
                    incarnation = worker.incarnation();
                    report = MessageCodec.encode(worker.heartbeat());
                    sentAt = now();
                }
                lastReport = report;
                HttpResponse<byte[]> response = send(controller, report, sentAt);
                JsonNode answer =
                        response == null || response.body().length == 0 ? null : MessageCodec.decode(response.body());
                if (traced) {
                    note("report of " + machine + " to " + name(controller) + " -> "
                            + (response == null ? "no answer" : response.statusCode() + " " + answer));
                }
                if (response != null && response.statusCode() == 200) {
                    synchronized (lock) {
                        worker.handleHeartbeatResponse(answer, incarnation, sentAt);
                    }
                    waitMs = Math.round(options.reportS * 1000 * (0.75 + 0.5 * random.nextDouble()));
                } else if (response != null
                        && response.statusCode() == 421
                        && answer != null
                        && answer.path("harbormaster").asText().startsWith("iskele-")
                        && number(answer.path("harbormaster").asText()) != controller) {
                    controller = number(answer.path("harbormaster").asText());
                    waitMs = -1 - random.nextInt(500);
                } else {
                    controller = (controller + 1) % CONTROLLERS;
                    waitMs = -1000;
                }
            }
        }

        /** Waits for the time, or for a change but half a second at least; a negative time is waited in full. */
        private void waitForNextReport(long waitMs) {
            long from = now();
            while (!closed && !gone && now() - from < Math.abs(waitMs)) {
                sleep(20);
                if (waitMs > 500 && now() - from >= 500) {
                    synchronized (lock) {
                        if (worker.pollHeartbeatDue()) {
                            return;
                        }
                    }
                }
            }
        }

        private HttpResponse<byte[]> send(int controller, byte[] report, long sentAt) {
            while (isCutBetween(zone, controller)) { // nobody answers the attempt to connect
                if (now() - sentAt >= WORKER_TIMEOUT_MS || closed) {
                    return null;
                }
                sleep(20);
            }
            HttpResponse<byte[]> response =
                    post(controller, "/v1/report", report, WORKER_TIMEOUT_MS - (now() - sentAt));
            return isCutBetween(zone, controller) ? null : response;
        }

        void serveCommands(HttpExchange exchange) throws IOException {
            JsonNode body = body(exchange);
            boolean fromInside = body.path("helm").asLong() <= cutTerm;
            if (zone.equals(cutZone) && !fromInside) {
                lose(exchange);
                return;
            }
            if (gone) {
                exchange.close();
                return;
            }
            int status;
            JsonNode answer;
            synchronized (lock) {
                status = exchange.getRequestURI().getPath().equals("/inspect") ? 200 : worker.handleCommands(body);
                answer = status == 400 ? null : worker.heartbeat();
            }
            if (traced || body.path("signals").size() > 0) {
                note("direct commands at " + machine + ": " + body + " -> " + status);
            }
            reply(exchange, status, answer);
        }
    }

    private Worker boot(String machine, String zone, boolean spot) {
        WorkerHost[] host = new WorkerHost[1];
        int port;
        try {
            port = serve(exchange -> host[0].serveCommands(exchange));
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
        Worker worker = new Worker(
                machine,
                LOOPBACK + ":" + port,
                "nodo-bomba",
                zone,
                spot,
                16,
                64,
                Math.round(options.leaseS * 1000),
                now(),
                this::jobSpec,
                new Worker.TaskListener() {
                    @Override
                    public void taskStarted(String task, Worker on) {
                        started(task, on.machine());
                    }

                    @Override
                    public void taskEnded(String task, Worker on) {
                        ended(task, on.machine());
                    }
                },
                gangs);
        host[0] = new WorkerHost(worker, machine, zone);
        machineZones.put(machine, zone);
        workers.put(machine, host[0]);
        threads.submit(host[0]::reportLoop);
        return worker;
    }

    private void removed(Worker worker) {
        WorkerHost host = workers.remove(worker.machine());
        if (host != null) {
            host.gone = true;
        }
        note("machine deleted: " + worker.machine());
        worker.destroy();
    }

    private void started(String task, String machine) {
        Map<String, Long> machines = onMachines.computeIfAbsent(task, key -> new TreeMap<>());
        note("task on machine: " + task + " " + machine + " " + machineZones.get(machine)
                + (machines.isEmpty() ? "" : "  WHILE IT IS ON " + machines.keySet()));
        if (!machines.isEmpty() && !machines.containsKey(machine)) {
            startsWhileElsewhere.add(task + " started on " + machine + " while on " + machines.keySet());
        }
        machines.put(machine, now());
    }

    private void ended(String task, String machine) {
        onMachines.getOrDefault(task, Map.of()).remove(machine);
        note("task gone: " + task + " " + machine);
    }

    /** Returns the tasks of a job on machines of a zone, with their machines. */
    List<String> tasksIn(String zone, String jobId) {
        synchronized (lock) {
            List<String> tasks = new ArrayList<>();
            onMachines.forEach((task, machines) -> machines.keySet().forEach(machine -> {
                if (task.startsWith(jobId + "/") && zone.equals(machineZones.get(machine))) {
                    tasks.add(task + "@" + machine);
                }
            }));
            return tasks;
        }
    }

    /** Lets every task fail that a machine starts from now on, or ends that. */
    void setSick(String machine, boolean sick) {
        synchronized (lock) {
            workers.get(machine).worker.setFaulty(sick);
        }
        note(machine + (sick ? " fails every task that it starts from now on" : " is sound again"));
    }

    /** Returns the machines of a zone that are up. */
    List<String> machinesIn(String zone) {
        synchronized (lock) {
            return workers.values().stream()
                    .filter(host -> host.zone.equals(zone))
                    .map(host -> host.machine)
                    .toList();
        }
    }

    /** Returns how many tasks of a job are on machines. */
    long running(String jobId) {
        synchronized (lock) {
            return onMachines.entrySet().stream()
                    .filter(entry -> entry.getKey().startsWith(jobId + "/")
                            && !entry.getValue().isEmpty())
                    .count();
        }
    }

    List<String> violations() {
        synchronized (lock) {
            return List.copyOf(startsWhileElsewhere);
        }
    }

    /** Returns the last report of each machine of a zone that had a task at the time, as it was sent. */
    Map<String, byte[]> lastReports(String zone) {
        synchronized (lock) {
            Map<String, byte[]> reports = new TreeMap<>();
            workers.forEach((machine, host) -> {
                if (host.zone.equals(zone) && host.lastReport != null) {
                    reports.put(machine, host.lastReport);
                }
            });
            return reports;
        }
    }

    // ---- users

    private HttpResponse<byte[]> post(int controller, String path, byte[] body, long timeoutMs) {
        return send(
                HttpRequest.newBuilder(URI.create("http://" + LOOPBACK + ":" + clientPorts[controller] + path))
                        .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                        .timeout(Duration.ofMillis(Math.max(1, timeoutMs))));
    }

    private HttpResponse<byte[]> send(HttpRequest.Builder request) {
        try {
            return http.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
        } catch (IOException e) {
            return null;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
    }

    /** Delivers a copy of a report to a controller; nobody waits for the answer. */
    void deliverCopy(int controller, String machine, byte[] report) {
        HttpResponse<byte[]> response = post(controller, "/v1/report", report, WORKER_TIMEOUT_MS);
        note("late copy of a report of " + machine + " at " + name(controller) + " -> "
                + (response == null ? "no answer" : response.statusCode()));
    }

    /** Sends a user's request; returns the answer's status and body, or null if there is none. */
    Answer ask(int controller, String method, String path, JsonNode body, long timeoutMs) {
        HttpResponse<byte[]> response = method.equals("GET")
                ? send(HttpRequest.newBuilder(
                                URI.create("http://" + LOOPBACK + ":" + clientPorts[controller] + path))
                        .timeout(Duration.ofMillis(timeoutMs)))
                : post(controller, path, body == null ? new byte[0] : MessageCodec.encode(body), timeoutMs);
        Answer answer = response == null
                ? null
                : new Answer(
                        response.statusCode(),
                        response.body().length == 0 ? MessageCodec.map() : MessageCodec.decode(response.body()));
        note("user: " + method + " " + path + " at " + name(controller) + " -> " + answer);
        return answer;
    }

    record Answer(int status, JsonNode body) {}

    /** Submits a job, and repeats that every second as users do, for up to 60 s; returns whether it was accepted. */
    boolean submit(ObjectNode job) {
        for (int i = 0; i < 60 && !closed; i++) {
            Answer answer = ask(i % CONTROLLERS, "POST", "/work", job, 5000);
            if (answer != null && (answer.status() == 200 || answer.status() == 201)) {
                return true;
            }
            sleep(1000);
        }
        return false;
    }

    /** Submits a job and repeats that for 10 s at most; returns whether it was accepted. */
    boolean submitOnce(ObjectNode job) {
        for (int i = 0; i < 4; i++) {
            Answer answer = ask(i % CONTROLLERS, "POST", "/work", job, 2500);
            if (answer != null && (answer.status() == 200 || answer.status() == 201)) {
                return true;
            }
        }
        return false;
    }

    /** Returns how many tasks of the jobs whose ids start like this have ever begun. */
    long begun(String idPrefix) {
        synchronized (lock) {
            return onMachines.keySet().stream()
                    .filter(task -> task.startsWith(idPrefix))
                    .count();
        }
    }

    static ObjectNode job(String id, String berth, String craft, String precedence, int tasks, double cores, double s) {
        ObjectNode job = MessageCodec.map()
                .put("name_id", id)
                .put("berth", berth)
                .put("crew", "mesa-autoriza")
                .put("craft", craft)
                .put("precedence", precedence)
                .put("passengers", tasks)
                .put("cores", cores)
                .put("gpus", 0.0)
                .put("ram_gb", 4.5)
                .put("cargo", "img-01")
                .put("pull_gb", 1.5);
        job.putNull("hulls");
        job.putNull("harbor");
        return job.put("same_place", false)
                .put("apart", false)
                .put("tender", false)
                .put("crossing_s", s)
                .put("waypoint_s", 0.0)
                .put("stow_s", 0.0)
                .putNull("moor_by_s");
    }

    /** Waits until a condition holds; returns whether it did in time. */
    boolean await(java.util.function.BooleanSupplier condition, long timeoutMs) {
        long until = now() + timeoutMs;
        while (now() < until) {
            if (condition.getAsBoolean()) {
                return true;
            }
            sleep(20);
        }
        return condition.getAsBoolean();
    }

    static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    static long secondsToMs(long seconds) {
        return TimeUnit.SECONDS.toMillis(seconds);
    }
}
