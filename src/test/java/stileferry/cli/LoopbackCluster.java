package stileferry.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import stileferry.Controller;
import stileferry.protocol.Features;
import stileferry.protocol.JobSpec;
import stileferry.protocol.JobSpecBuilder;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.Settings;
import stileferry.standin.LinkFaults;
import stileferry.transport.ApiClient;
import stileferry.transport.StandInServer;

/**
 * Three real controllers on loopback with stand-ins for all other processes, and fault injection on every link. Links
 * between controllers and stand-ins are identified by the controllers' source addresses; links between controllers go
 * through relays.
 */
final class LoopbackCluster implements AutoCloseable, LinkFaults {
    static final long HEARTBEAT_INTERVAL_MS = 1000;
    static final long LEASE_MS = 14_000;
    static final double RED_TEAM_MAX_CPUS = 24;
    private static final int CONTROLLERS = 3;
    private static final int MACHINES = 16;
    private static final byte[] NO_BODY = new byte[0];

    final TaskHistory history = new TaskHistory();
    final List<String> violations = new ArrayList<>();
    private final int port;
    private final StandInServer standIns;
    private final Controller[] controllers = new Controller[CONTROLLERS];
    private final ApiClient[] controllerClients = new ApiClient[CONTROLLERS];
    private final ApiClient userClient;
    private final List<LinkRelay> relays = new ArrayList<>();
    private final Set<Cut> cuts = ConcurrentHashMap.newKeySet();
    private final Map<String, Double> cpusPerTaskOfRedJobs = new HashMap<>();
    private final List<String> serviceIds = new ArrayList<>();
    private final List<String> unfinishedArrayIds = new ArrayList<>();
    private int submittedJobs;

    /**
     * A fault in one direction of a link.
     *
     * @param from matches the sender of requests: a source address of a controller, or a machine's name
     * @param to matches the recipient of requests by its name
     */
    record Cut(Predicate<String> from, Predicate<String> to, Effect effect) {}

    LoopbackCluster(Path dir, Features features) throws Exception {
        port = Ports.findFreeRange(7);
        StandInServer.Size size = new StandInServer.Size(MACHINES, HEARTBEAT_INTERVAL_MS, LEASE_MS);
        standIns = StandIns.start(port, dir, size, this, history);
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < CONTROLLERS; i++) {
            addresses.add("127.0.0.1:" + (port + 1 + i));
            controllerClients[i] = new ApiClient(List.of(addresses.get(i)));
            controllers[i] = Controller.builder()
                    .settings(settings(dir, i))
                    .features(features)
                    .sourceAddress(InetAddress.getByName(sourceAddress(i)))
                    .build();
            controllers[i].start();
        }
        userClient = new ApiClient(addresses);
    }

    private static String sourceAddress(int controller) {
        return "127.0.0." + (11 + controller);
    }

    static String controllerName(int controller) {
        return "node-" + controller;
    }

    /** Reads the settings of a controller, after replacing the addresses of its peers by those of relays. */
    private Settings settings(Path dir, int controller) throws IOException {
        Path file = dir.resolve(controllerName(controller) + ".json");
        String text = Files.readString(file);
        for (int other = 0; other < CONTROLLERS; other++) {
            if (other != controller) {
                int peerPort = port + 1 + CONTROLLERS + other;
                String to = controllerName(other);
                LinkRelay relay = new LinkRelay(
                        new InetSocketAddress("127.0.0.1", peerPort), () -> effectOn(sourceAddress(controller), to));
                relays.add(relay);
                text = text.replace(
                        "\"peer_addr\": \"127.0.0.1:" + peerPort, "\"peer_addr\": \"127.0.0.1:" + relay.port());
            }
        }
        Files.writeString(file, text);
        return SettingsFile.read(file).settings();
    }

    // ---- links

    @Override
    public Effect effectOn(String from, String to) {
        for (Cut cut : cuts) {
            if (cut.from.test(from) && cut.to.test(to)) {
                return cut.effect;
            }
        }
        return Effect.NONE;
    }

    /** Matches the sender of requests from this controller. */
    static Predicate<String> from(int controller) {
        return sourceAddress(controller)::equals;
    }

    /** Matches the recipient of requests to this controller. */
    static Predicate<String> to(int controller) {
        return controllerName(controller)::equals;
    }

    /** Matches a worker, as sender or as recipient. */
    static Predicate<String> workers() {
        return name -> name.startsWith("host-");
    }

    static Predicate<String> halfOfWorkers() {
        return name -> name.startsWith("host-") && (name.charAt(name.length() - 1) - '0') % 2 == 0;
    }

    void cut(Predicate<String> from, Predicate<String> to, Effect effect) {
        cuts.add(new Cut(from, to, effect));
        relays.forEach(LinkRelay::closeConnections);
    }

    void restore() {
        cuts.clear();
        relays.forEach(LinkRelay::closeConnections);
    }

    // ---- requests

    /**
     * Returns the number of the controller that a majority of the controllers names as the leader; -1: there is none.
     */
    int leader() throws InterruptedException {
        int[] votes = new int[CONTROLLERS];
        for (ApiClient client : controllerClients) {
            JsonNode body = client.sendOnce("GET", "/admin/counters", NO_BODY).body();
            String leaderName = body == null ? "" : body.path("leader").asText();
            for (int i = 0; i < CONTROLLERS; i++) {
                votes[i] += controllerName(i).equals(leaderName) ? 1 : 0;
            }
        }
        for (int i = 0; i < CONTROLLERS; i++) {
            if (votes[i] > CONTROLLERS / 2) {
                return i;
            }
        }
        return -1;
    }

    /** Waits for a leader and returns its number; -1 if there is none within the time limit. */
    int awaitLeader(long timeoutMs) throws InterruptedException {
        long until = System.currentTimeMillis() + timeoutMs;
        int leader = leader();
        while (leader < 0 && System.currentTimeMillis() < until) {
            Thread.sleep(100);
            leader = leader();
        }
        return leader;
    }

    JsonNode links(int controller) throws InterruptedException {
        return controllerClients[controller]
                .sendOnce("GET", "/admin/links", NO_BODY)
                .body();
    }

    /** Returns a controller's view of admissions; null if it can't give one. */
    JsonNode admissions(int controller) throws InterruptedException {
        ApiClient.Response response = controllerClients[controller].sendOnce("GET", "/admin/admission", NO_BODY);
        return response.status() == 200 ? response.body() : null;
    }

    /** Returns whether a controller knows a job. */
    boolean knows(int controller, String id) throws InterruptedException {
        return controllerClients[controller]
                        .sendWithRetries("GET", "/work/" + id, NO_BODY, 10_000)
                        .status()
                == 200;
    }

    /** Stops a controller as if its process were killed; it is not started again. */
    void stop(int controller) {
        controllers[controller].close();
    }

    /** Returns the client addresses of all controllers. */
    List<String> addresses() {
        return List.of("127.0.0.1:" + (port + 1), "127.0.0.1:" + (port + 2), "127.0.0.1:" + (port + 3));
    }

    /** Returns a job whose tasks need two CPUs each. */
    static JobSpec jobSpec(String id, JobSpec.Kind kind, String team, int tasks, double runS) {
        return JobSpecBuilder.of(kind, id)
                .team(team)
                .tasks(tasks)
                .cpus(2)
                .imageGb(0.1)
                .allowsSpot(kind != JobSpec.Kind.SERVICE)
                .runS(runS)
                .build();
    }

    private String submit(JobSpec.Kind kind, String team, int tasks, double runS) throws InterruptedException {
        String id = "job-" + (1000 + submittedJobs++);
        JobSpec spec = jobSpec(id, kind, team, tasks, runS);
        int status = userClient
                .sendWithRetries("POST", "/work", MessageCodec.encode(spec.write()), 60_000)
                .status();
        if (status == 201 || status == 200) {
            (kind == JobSpec.Kind.SERVICE ? serviceIds : unfinishedArrayIds).add(id);
            if (team.equals("red")) {
                cpusPerTaskOfRedJobs.put(id, 2.0);
            }
            return id;
        }
        return null;
    }

    String submitService(int tasks) throws InterruptedException {
        return submit(JobSpec.Kind.SERVICE, "blue", tasks, 0);
    }

    String submitArray(int tasks, double runS) throws InterruptedException {
        return submit(JobSpec.Kind.ARRAY, "red", tasks, runS);
    }

    /** Waits until all arrays are done and all tasks of all services run; returns false if that takes too long. */
    boolean awaitAllWorkDone(long timeoutMs) throws InterruptedException {
        long until = System.currentTimeMillis() + timeoutMs;
        while (System.currentTimeMillis() < until) {
            boolean servicesRun = serviceIds.stream().allMatch(id -> history.runningTasks(id) == 2);
            if (servicesRun && arraysDone()) {
                return true;
            }
            Thread.sleep(200);
        }
        return false;
    }

    private boolean arraysDone() throws InterruptedException {
        for (String id : List.copyOf(unfinishedArrayIds)) {
            ApiClient.Response response = userClient.sendOnce("GET", "/work/" + id, NO_BODY);
            if (response.status() == 404) {
                violations.add(id + " was accepted, but is unknown");
            }
            if (response.status() != 200
                    || !response.body().path("tide").asText().equals("done")) {
                return false;
            }
            unfinishedArrayIds.remove(id);
        }
        return true;
    }

    /** Returns all violations of invariants up to now. */
    List<String> findViolations() {
        List<String> all = new ArrayList<>(violations);
        all.addAll(history.findViolations(cpusPerTaskOfRedJobs, RED_TEAM_MAX_CPUS));
        return all;
    }

    /** Returns the longest period since a point in time in which no task started or ended, in milliseconds. */
    long longestIdleMs(long sinceMs) {
        long last = sinceMs;
        long longest = 0;
        for (TaskHistory.Entry entry : history.entries()) {
            if (entry.atMs() >= sinceMs) {
                longest = Math.max(longest, entry.atMs() - last);
                last = entry.atMs();
            }
        }
        return Math.max(longest, System.nanoTime() / 1_000_000 - last);
    }

    @Override
    public void close() throws IOException {
        userClient.close();
        for (int i = 0; i < CONTROLLERS; i++) {
            controllerClients[i].close();
            controllers[i].close();
        }
        for (LinkRelay relay : relays) {
            relay.close();
        }
        standIns.close();
    }
}
