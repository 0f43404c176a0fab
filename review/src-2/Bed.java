import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Stream;
import stileferry.protocol.MessageCodec;
import stileferry.standin.Worker;
import stileferry.transport.Platform;

/**
 * Test bed of the second review: three controllers as separate processes, started with the run command of the deploy
 * file, the project's own stand-ins for the state service, the cloud and the workers, and a user. Everything is on
 * loopback addresses and the real clock. What was sent, answered and run goes to record.txt.
 *
 * <p>Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
 */
final class Bed implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    private static final int CONTROLLERS = 3;
    private static final int PORTS = 1 + 2 * CONTROLLERS;

    /** Whether the disruption is part of the run. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    /** A task that is on a machine: from the moment it has its image until it is gone. */
    record Running(String task, String machine, String zone, boolean spot, long since) {}

    /** CPUs and memory of the stand-in machine type. */
    static final double MACHINE_CPUS = 8;

    static final double MACHINE_GB = 32;

    private static final double BOOT_S = 2;
    private static final double LIST_LAG_S = 10;

    final long beganAt = System.nanoTime();
    private final PrintWriter record;
    private final Path folder;
    private final int port;
    private final Process[] processes = new Process[CONTROLLERS];
    private final Map<String, Running> running = new HashMap<>();
    private final Map<String, Integer> starts = new HashMap<>();
    private final Map<String, Worker> workers = new HashMap<>();
    private final Map<String, ObjectNode> jobs = new HashMap<>();
    private final List<String> runCommand;
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();
    private Platform platform;
    private int lastAsked;

    /** args: the run command of the deploy file, and the folder of the case. */
    Bed(String[] args) throws IOException {
        runCommand = List.of(args[0].trim().split("\\s+"));
        record = new PrintWriter(Files.newBufferedWriter(Path.of(args[1], "record.txt")), true);
        folder = Files.createTempDirectory("review-2-");
        port = freePorts();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        say("trouble=" + trouble);
    }

    private static int freePorts() throws IOException {
        Random random = new Random();
        for (int attempt = 0; attempt < 200; attempt++) {
            int first = 20_000 + random.nextInt(10_000);
            boolean free = true;
            for (int i = 0; i < PORTS && free; i++) {
                try (ServerSocket socket = new ServerSocket(first + i, 1, InetAddress.getByName("127.0.0.1"))) {
                    free = socket.isBound();
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) {
                return first;
            }
        }
        throw new IOException("no free ports");
    }

    double now() {
        return (System.nanoTime() - beganAt) / 1e9;
    }

    synchronized void say(String line) {
        record.printf("%7.2f %s%n", now(), line);
    }

    static void sleep(double seconds) {
        try {
            Thread.sleep(Math.max(1, Math.round(seconds * 1000)));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- stand-ins and controllers

    /** Starts the stand-ins; the cloud has this many machines in each zone (a, b) of each kind (ordinary, spot). */
    void startStandIns(int machinesPerZoneAndKind, double reportS, double leaseS) throws IOException {
        List<String> addresses = new ArrayList<>();
        List<String> names = new ArrayList<>();
        for (int i = 0; i < CONTROLLERS; i++) {
            addresses.add("127.0.0.1:" + (port + 1 + i));
            names.add("iskele-" + i);
        }
        Worker.TaskListener listener = new Worker.TaskListener() {
            @Override
            public void taskStarted(String task, Worker worker) {
                started(task, worker);
            }

            @Override
            public void taskEnded(String task, Worker worker) {
                ended(task, worker);
            }
        };
        platform = new Platform(
                port, addresses, names, machinesPerZoneAndKind, BOOT_S, LIST_LAG_S, reportS, leaseS, listener);
        say("stand-ins started: machines of the cloud in each zone and of each kind=" + machinesPerZoneAndKind
                + ", each with 8 CPUs and 32 GB");
    }

    private synchronized void started(String task, Worker worker) {
        Running before = running.put(
                task, new Running(task, worker.machine(), worker.zone(), worker.spot(), System.nanoTime()));
        if (before != null) {
            say("STARTED WHILE ON " + before.machine() + ": " + task);
        }
        starts.merge(task, 1, Integer::sum);
        workers.put(worker.machine(), worker);
        say("started: " + task + " on " + worker.machine() + " zone=" + worker.zone() + " spot=" + worker.spot());
    }

    private synchronized void ended(String task, Worker worker) {
        Running task1 = running.get(task);
        if (task1 != null && task1.machine().equals(worker.machine())) {
            running.remove(task);
        }
        say("ended: " + task + " on " + worker.machine());
    }

    /** Settings as those of the small deployment of the brief (ortak-tahta), with these teams. */
    void writeSettings(String teamsJson, double reportS, double leaseS, double cancelS) throws IOException {
        for (int i = 0; i < CONTROLLERS; i++) {
            StringBuilder seeds = new StringBuilder();
            for (int other = 0; other < CONTROLLERS; other++) {
                if (other != i) {
                    seeds.append(seeds.length() == 0 ? "" : ", ")
                            .append("{\"host_name\": \"iskele-" + other + "\", \"zone\": \"a\", \"peer_addr\": \"127.0.0.1:"
                                    + (port + 1 + CONTROLLERS + other) + "\"}");
                }
            }
            String settings = "{\"host_name\": \"iskele-" + i + "\", \"zone\": \"a\","
                    + " \"client_listen\": \"127.0.0.1:" + (port + 1 + i) + "\","
                    + " \"peer_bind\": \"127.0.0.1:" + (port + 1 + CONTROLLERS + i) + "\","
                    + " \"seeds\": [" + seeds + "],"
                    + " \"outside\": {\"cloud\": \"127.0.0.1:" + port + "\", \"state\": \"127.0.0.1:" + port + "\"},"
                    + " \"cluster\": {\"initial_size\": 3, \"zones\": [\"a\", \"b\"], \"teams\": " + teamsJson + ","
                    + " \"objectives\": [{\"kind\": \"wait\", \"class\": \"canli-mac\", \"within_s\": 3.0, \"share\": 0.9}],"
                    + " \"workers\": {\"report_s\": " + reportS + ", \"lease_s\": " + leaseS + ", \"cancel_s\": " + cancelS
                    + ", \"gang_wait_s\": 40.0, \"gang_peer_s\": 5.0},"
                    + " \"state\": {\"rps\": 150.0, \"write_rps\": 50.0, \"value_kb\": 8.0, \"txn_ops\": 40},"
                    + " \"cloud\": {\"rps\": 10.0, \"list_lag_s\": " + LIST_LAG_S + "},"
                    + " \"machine_limits\": {\"cores\": 0.34, \"mem_mb\": 263.0, \"max_sockets\": 1800},"
                    + " \"clock_off_ms\": 25.0}}";
            Files.writeString(folder.resolve("iskele-" + i + ".json"), settings);
        }
    }

    void startController(int i) throws IOException {
        List<String> command = new ArrayList<>(runCommand);
        command.add(folder.resolve("iskele-" + i + ".json").toString());
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.redirectErrorStream(true).redirectOutput(new File(folder.toFile(), "iskele-" + i + ".log"));
        builder.environment().putIfAbsent("LOG_LEVEL", "info");
        processes[i] = builder.start();
        say("controller started: iskele-" + i);
    }

    void killController(int i) throws InterruptedException {
        processes[i].destroyForcibly().waitFor();
        say("controller killed: iskele-" + i);
    }

    /** Sends a signal to a controller: STOP or CONT. */
    void signal(int i, String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(processes[i].pid())).start().waitFor();
        say("signal " + name + " to iskele-" + i);
    }

    boolean alive(int i) {
        return processes[i].isAlive();
    }

    void startControllers() throws IOException {
        for (int i = 0; i < CONTROLLERS; i++) {
            startController(i);
        }
        double until = now() + 25;
        while (now() < until) {
            boolean ready = true;
            for (int i = 0; i < CONTROLLERS; i++) {
                ready &= request(i, "GET", "/ready", null, 1).status == 200;
            }
            if (ready) {
                say("all controllers are ready");
                return;
            }
            sleep(0.3);
        }
        throw new IOException("controllers did not become ready");
    }

    // ---- users

    /** An answer; status 0: none in time. */
    record Answer(int status, JsonNode body, double retryAfterS) {
        String tide() {
            return body == null ? "" : body.path("tide").asText();
        }
    }

    Answer request(int controller, String method, String path, JsonNode body, double timeoutS) {
        return requestBytes(controller, method, path, body == null ? null : MessageCodec.encode(body), timeoutS);
    }

    Answer requestBytes(int controller, String method, String path, byte[] body, double timeoutS) {
        try {
            HttpRequest.Builder builder = HttpRequest.newBuilder(
                            URI.create("http://127.0.0.1:" + (port + 1 + controller) + path))
                    .timeout(Duration.ofMillis(Math.round(timeoutS * 1000)));
            builder.method(
                    method,
                    body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofByteArray(body));
            HttpResponse<byte[]> response = http.send(builder.build(), HttpResponse.BodyHandlers.ofByteArray());
            JsonNode answer = response.body().length == 0 ? null : MessageCodec.decode(response.body());
            double retryAfter = response.headers().firstValue("Retry-After").map(Double::parseDouble).orElse(0.0);
            return new Answer(response.statusCode(), answer, retryAfter);
        } catch (IOException e) {
            return new Answer(0, null, 0);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns a job with all fields of the protocol; change what differs. */
    ObjectNode job(String id, String team, String kind, String priority, int tasks, double cpus, double ramGb) {
        ObjectNode job = MessageCodec.map()
                .put("name_id", id)
                .put("berth", kind.equals("standing") ? "canli-mac" : "analiz-dizisi")
                .put("crew", team)
                .put("craft", kind)
                .put("precedence", priority)
                .put("passengers", tasks)
                .put("cores", cpus)
                .put("gpus", 0.0)
                .put("ram_gb", ramGb)
                .put("cargo", "img-01")
                .put("pull_gb", 0.5);
        job.putNull("hulls");
        job.putNull("harbor");
        job.put("same_place", false)
                .put("apart", kind.equals("standing"))
                .put("tender", !kind.equals("standing"))
                .put("crossing_s", kind.equals("standing") ? 0.0 : 20.0)
                .put("waypoint_s", 0.0)
                .put("stow_s", 0.0);
        job.putNull("moor_by_s");
        return job;
    }

    /** Submits a job as a user does: repeats it for up to 60 s. Returns the last status. */
    int submit(ObjectNode job) {
        String id = job.path("name_id").asText();
        double until = now() + 60;
        Answer answer;
        do {
            answer = request(lastAsked++ % CONTROLLERS, "POST", "/work", job, 5);
            say("submit " + id + ": " + answer.status + " " + answer.body);
            if (answer.status == 200 || answer.status == 201) {
                synchronized (this) {
                    jobs.put(id, job);
                }
                return answer.status;
            }
            if (answer.status == 400 || answer.status == 422) {
                return answer.status;
            }
            sleep(Math.max(1, Math.min(30, answer.retryAfterS)));
        } while (now() < until);
        return answer.status;
    }

    /** Asks about a job once, at one controller after the other. */
    Answer status(String id) {
        Answer answer = request(lastAsked++ % CONTROLLERS, "GET", "/work/" + id, null, 2);
        say("status " + id + ": " + answer.status + " " + answer.body);
        return answer;
    }

    /** Changes operators' settings through the administration API. */
    boolean adminSet(ObjectNode change) {
        for (int attempt = 0; attempt < 10; attempt++) {
            Answer now = request(0, "GET", "/admin/settings", null, 4);
            if (now.status == 200) {
                ObjectNode body = MessageCodec.map().put("revision", now.body.path("revision").asLong());
                body.set("change", change);
                Answer answer = request(0, "POST", "/admin/settings", body, 4);
                say("admin set " + change + ": " + answer.status);
                if (answer.status == 200) {
                    return true;
                }
            }
            sleep(0.5);
        }
        return false;
    }

    // ---- what the workers see

    synchronized int startsOf(String task) {
        return starts.getOrDefault(task, 0);
    }

    synchronized boolean onMachine(String task) {
        return running.containsKey(task);
    }

    synchronized int runningOfJob(String id) {
        return (int) running.keySet().stream().filter(task -> task.startsWith(id + "/")).count();
    }

    synchronized Worker workerOf(String task) {
        Running on = running.get(task);
        return on == null ? null : workers.get(on.machine());
    }

    synchronized Running running(String task) {
        return running.get(task);
    }

    /** Returns the known machines that have this much free beside the tasks that are on them. */
    synchronized List<String> machinesWithRoom(double cpus, double ramGb, Boolean spot, String zone) {
        Map<String, double[]> used = new HashMap<>();
        for (Running task : running.values()) {
            ObjectNode job = jobs.get(task.task().substring(0, task.task().indexOf('/')));
            if (job != null) {
                double[] sums = used.computeIfAbsent(task.machine(), name -> new double[2]);
                sums[0] += job.path("cores").asDouble();
                sums[1] += job.path("ram_gb").asDouble();
            }
        }
        List<String> result = new ArrayList<>();
        for (Worker worker : workers.values()) {
            double[] sums = used.getOrDefault(worker.machine(), new double[2]);
            if ((spot == null || spot == worker.spot())
                    && (zone == null || zone.equals(worker.zone()))
                    && sums[0] + cpus <= MACHINE_CPUS + 1e-6
                    && sums[1] + ramGb <= MACHINE_GB + 1e-6) {
                result.add(worker.machine());
            }
        }
        return result;
    }

    /** Waits until a condition holds. */
    boolean await(String what, double seconds, java.util.function.BooleanSupplier condition) {
        double until = now() + seconds;
        while (now() < until) {
            if (condition.getAsBoolean()) {
                say("seen: " + what);
                return true;
            }
            sleep(0.2);
        }
        say("not seen in " + seconds + " s: " + what);
        return false;
    }

    /**
     * Judges a job of one task: it may not wait longer than the limit while, for all of that time, a machine that it may
     * use has room for it. The caller has seen to it that its team is under its limit.
     *
     * @param spot the kind of machine that it may use; null: any
     */
    int judgeWaiting(String id, double cpus, double ramGb, Boolean spot, double acceptedAt, double limitS) {
        return judgeWaiting(id, 0, cpus, ramGb, spot, null, acceptedAt, limitS);
    }

    /** The same for a job that had been started that many times when the time to be judged began, bound to a zone. */
    int judgeWaiting(
            String id,
            int startsBefore,
            double cpus,
            double ramGb,
            Boolean spot,
            String zone,
            double acceptedAt,
            double limitS) {
        double roomSince = -1;
        int polls = 0;
        while (now() < 117) {
            if (startsOf(id + "/0") > startsBefore) {
                say(String.format("%s began to run after %.1f s", id, now() - acceptedAt));
                return HELD;
            }
            List<String> room = machinesWithRoom(cpus, ramGb, spot, zone);
            if (room.isEmpty()) {
                roomSince = -1;
            } else if (roomSince < 0) {
                roomSince = now();
                say("machines with room for " + id + ": " + room);
            }
            double waitedS = now() - Math.max(acceptedAt, roomSince);
            if (roomSince >= 0 && waitedS > limitS) {
                status(id);
                say(String.format("BROKEN: %s waits since %.1f s, beside room for it for %.1f s", id, acceptedAt, waitedS));
                return BROKEN;
            }
            if (polls++ % 5 == 0) {
                status(id);
            }
            sleep(1);
        }
        say(id + " waited, but not that long beside room for it");
        return HELD;
    }

    Platform platform() {
        return platform;
    }

    Path folder() {
        return folder;
    }

    @Override
    public synchronized void close() {
        for (Process process : processes) {
            if (process != null) {
                process.destroyForcibly();
            }
        }
        if (System.getenv("KEEP_LOGS") == null) {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
            } catch (IOException e) {
                // the folder is gone already
            }
        }
    }

    /** The body of a case; returns an exit code. */
    interface Body {
        int run(Bed bed) throws Exception;
    }

    /** Runs a case and ends the process with its exit code; at most 118 seconds. */
    static void main(String[] args, Body body) {
        Thread watchdog = new Thread(() -> {
            sleep(118);
            System.err.println("the case took too long");
            Runtime.getRuntime().exit(NOT_RUN);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        int code = NOT_RUN;
        try {
            Bed bed = new Bed(args);
            try {
                code = body.run(bed);
            } catch (Exception e) {
                bed.say("could not run: " + e);
                e.printStackTrace();
            }
            bed.say("exit code " + code);
            if (System.getenv("KEEP_LOGS") != null) {
                System.err.println("logs: " + bed.folder);
            }
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(code);
    }
}
