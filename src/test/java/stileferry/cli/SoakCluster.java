package stileferry.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BiPredicate;
import stileferry.standin.LinkFaults;
import stileferry.transport.ApiClient;
import stileferry.transport.StandInServer;

/**
 * Three controllers as processes of their own, started as deployed, and stand-ins for all else. Links of a controller
 * to the key-value store, to the cloud and to its peers go through relays; links of workers break in the stand-ins.
 */
final class SoakCluster implements AutoCloseable, LinkFaults {
    static final int CONTROLLERS = 3;
    static final long HEARTBEAT_INTERVAL_MS = 1000;
    static final long LEASE_MS = 14_000;

    /** As the settings of the stand-ins say. */
    static final long CANCEL_DEADLINE_MS = 2 * LEASE_MS;

    /** The team "red" of the settings of the stand-ins has this limit. */
    static final double RED_TEAM_MAX_CPUS = 24;

    private static final int PORTS = 7;
    private static final byte[] NO_BODY = new byte[0];
    private static final String PEER_PREFIX = "node-";

    final TaskHistory history = new TaskHistory();
    private final Path dir;
    private final int port;
    private final StandInServer standIns;
    private final List<ControllerProcess> controllers = new ArrayList<>();
    private final List<ApiClient> clients = new ArrayList<>();
    private final Map<LinkRelay, Link> relays = new ConcurrentHashMap<>();
    private final Set<Cut> cuts = ConcurrentHashMap.newKeySet();

    /** A link from a controller to another process, by their names. */
    private record Link(String from, String to) {}

    /** A fault of all links whose sender and recipient match. */
    record Cut(BiPredicate<String, String> link, Effect effect) {}

    SoakCluster(Path dir, int machines) throws Exception {
        this.dir = dir;
        this.port = Ports.findFreeRange(PORTS);
        StandInServer.Size size = new StandInServer.Size(machines, HEARTBEAT_INTERVAL_MS, LEASE_MS);
        standIns = StandIns.start(port, dir, size, this, history);
        for (int i = 0; i < CONTROLLERS; i++) {
            writeSettings(i);
            controllers.add(new ControllerProcess(dir.resolve(name(i) + ".json"), dir.resolve(name(i) + ".log")));
            clients.add(new ApiClient(List.of(address(i))));
            controllers.get(i).start();
        }
    }

    static String name(int controller) {
        return PEER_PREFIX + controller;
    }

    /** Returns the address at which a controller listens for users. */
    String address(int controller) {
        return "127.0.0.1:" + StandInSettings.clientPort(port, controller);
    }

    ControllerProcess controller(int controller) {
        return controllers.get(controller);
    }

    StandInServer standIns() {
        return standIns;
    }

    /** Replaces the addresses of all processes to which the controller connects by those of relays. */
    private void writeSettings(int controller) throws IOException {
        Path file = dir.resolve(name(controller) + ".json");
        String text = Files.readString(file);
        for (String service : List.of(CLOUD, KEY_VALUE_STORE)) {
            int relayPort = relay(new Link(name(controller), service), port);
            text = text.replace(
                    "\"" + service + "\": \"127.0.0.1:" + port, "\"" + service + "\": \"127.0.0.1:" + relayPort);
        }
        for (int other = 0; other < CONTROLLERS; other++) {
            if (other != controller) {
                int peerPort = port + 1 + CONTROLLERS + other;
                int relayPort = relay(new Link(name(controller), name(other)), peerPort);
                text = text.replace(
                        "\"peer_addr\": \"127.0.0.1:" + peerPort, "\"peer_addr\": \"127.0.0.1:" + relayPort);
            }
        }
        Files.writeString(file, text);
    }

    private int relay(Link link, int targetPort) throws IOException {
        LinkRelay relay =
                new LinkRelay(new InetSocketAddress("127.0.0.1", targetPort), () -> effectOn(link.from, link.to));
        relays.put(relay, link);
        return relay.port();
    }

    // ---- links

    @Override
    public Effect effectOn(String from, String to) {
        for (Cut cut : cuts) {
            if (cut.link.test(from, to)) {
                return cut.effect;
            }
        }
        return Effect.NONE;
    }

    /** Makes links fail until {@link #restore}. */
    Cut cut(BiPredicate<String, String> link, Effect effect) {
        Cut cut = new Cut(link, effect);
        cuts.add(cut);
        closeBrokenConnections(cut);
        return cut;
    }

    void restore(Cut cut) {
        cuts.remove(cut);
        closeBrokenConnections(cut);
    }

    /** Closes the connections on which part of a message was lost; what is late still arrives. */
    private void closeBrokenConnections(Cut cut) {
        if (cut.effect == Effect.LATE || cut.effect == Effect.SLOW) {
            return;
        }
        relays.forEach((relay, link) -> {
            if (cut.link.test(link.from, link.to)) {
                relay.closeConnections();
            }
        });
    }

    static boolean isController(String name) {
        return name.startsWith(PEER_PREFIX);
    }

    static boolean isMachine(String name) {
        return name.startsWith("host-");
    }

    /** Returns whether the name is that of a machine of one half of all machines. */
    static boolean isInAffectedHalf(String name) {
        return isMachine(name) && (name.charAt(name.length() - 1) - '0') % 2 == 0;
    }

    /** Returns true for the given share of calls. */
    static boolean happensTo(double share) {
        return ThreadLocalRandom.current().nextDouble() < share;
    }

    // ---- observation

    /** Returns the number of the controller that most of the controllers name as leader, or -1. */
    int leader() throws InterruptedException {
        int[] votes = new int[CONTROLLERS];
        for (int i = 0; i < CONTROLLERS; i++) {
            JsonNode body = controllers.get(i).running()
                    ? clients.get(i).sendOnce("GET", "/admin/counters", NO_BODY).body()
                    : null;
            String leader = body == null ? "" : body.path("leader").asText();
            if (isController(leader)) {
                votes[leader.charAt(leader.length() - 1) - '0']++;
            }
        }
        for (int i = 0; i < CONTROLLERS; i++) {
            if (votes[i] > CONTROLLERS / 2) {
                return i;
            }
        }
        return -1;
    }

    /** Waits until there is a leader; returns whether there is one in time. */
    boolean awaitLeader(long timeoutMs) throws InterruptedException {
        long deadline = System.currentTimeMillis() + timeoutMs;
        while (leader() < 0) {
            if (System.currentTimeMillis() > deadline) {
                return false;
            }
            Thread.sleep(100);
        }
        return true;
    }

    /** Returns the leader's views of its queue, teams and machines, and the ends of the logs of all controllers. */
    String diagnostics(int maxChars) throws IOException, InterruptedException {
        StringBuilder logs = new StringBuilder();
        for (String view : List.of("leader", "queue", "teams", "machines")) {
            logs.append("---- ").append(view).append('\n');
            logs.append(
                    clients.get(0).sendOnce("GET", "/admin/" + view, NO_BODY).body());
            logs.append('\n');
        }
        for (int i = 0; i < CONTROLLERS; i++) {
            String log = controllers.get(i).log();
            logs.append("---- ").append(name(i)).append('\n');
            logs.append(log.substring(Math.max(0, log.length() - maxChars)));
        }
        return logs.toString();
    }

    @Override
    public void close() throws IOException {
        controllers.forEach(ControllerProcess::close);
        clients.forEach(ApiClient::close);
        for (LinkRelay relay : relays.keySet()) {
            relay.close();
        }
        standIns.close();
    }
}
