package stileferry.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import stileferry.protocol.Environment;
import stileferry.protocol.MessageCodec;
import stileferry.standin.Worker;

/** The machines of a simulated cluster, each with a stand-in for its agent, and their heartbeats. */
final class SimulatedMachines {
    static final double CPUS = 8;
    static final double MEMORY_GB = 32;
    private static final long TIMEOUT_MS = 4000;

    private final SimulatedCluster cluster;
    private final List<JsonNode> keptHeartbeats = new ArrayList<>();
    private ControllerNode heartbeatsKeptFrom;

    SimulatedMachines(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** The address of a machine's agent. */
    static String address(String machine) {
        return "w-" + machine + ":1";
    }

    /** A machine that the cloud has booted. */
    Worker boot(String machine, String zone, boolean spot) {
        Worker worker = new Worker(
                machine,
                address(machine),
                "box",
                zone,
                spot,
                CPUS,
                MEMORY_GB,
                cluster.leaseMs,
                cluster.now,
                id -> cluster.users.get(id) == null ? null : cluster.users.get(id).spec,
                cluster.tasks,
                cluster.gangs);
        cluster.workers.put(worker.address(), worker);
        sendHeartbeats(worker, cluster.anyController().name());
        return worker;
    }

    /** A machine that the cloud has taken back. */
    void remove(Worker worker) {
        cluster.workers.remove(worker.address());
        worker.destroy();
    }

    String zoneOf(String machine) {
        return cluster.workers.get(address(machine)).zone();
    }

    private boolean exists(Worker worker) {
        return cluster.workers.get(worker.address()) == worker;
    }

    /** Sends a heartbeat to a controller, and the next ones to whom its answer names, for as long as there is one. */
    private void sendHeartbeats(Worker worker, String to) {
        if (!exists(worker)) {
            return;
        }
        long sentAt = cluster.now;
        long incarnation = worker.incarnation();
        worker.pollHeartbeatDue();
        JsonNode heartbeat = MessageCodec.decode(MessageCodec.encode(worker.heartbeat()));
        copyHeartbeat(heartbeat);
        ControllerNode controller = cluster.controllers.get(to);
        cluster.network.exchange(
                worker.address(),
                to,
                TIMEOUT_MS,
                controller.up()
                        && !cluster.faults.heartbeatLoss.contains(worker.address())
                        && cluster.network.heldUntil(worker.address(), to) <= cluster.now,
                reply -> deliver(heartbeat, controller, reply),
                (status, body) -> {
                    if (exists(worker)) {
                        receiveAnswer(worker, to, status, body, incarnation, sentAt);
                    }
                });
    }

    private void deliver(JsonNode heartbeat, ControllerNode controller, Environment.ResponseHandler reply) {
        if (controller.up()) {
            controller.environment.turn(
                    () -> controller.coordinator.handleHeartbeat(MessageCodec.encode(heartbeat), (status, bytes) -> {
                        JsonNode answer = MessageCodec.decode(bytes);
                        cluster.storedAssignments.checkStarts(answer, cluster.violations);
                        reply.onResponse(status, answer);
                    }));
        }
    }

    private void receiveAnswer(Worker worker, String from, int status, JsonNode body, long incarnation, long sentAt) {
        String leader = status == 421 ? body.path("harbormaster").asText() : null;
        if (status == 200) {
            worker.handleHeartbeatResponse(MessageCodec.decode(MessageCodec.encode(body)), incarnation, sentAt);
            long latest = cluster.now + cluster.reportMs * 3 / 4 + cluster.random.nextLong(cluster.reportMs / 2);
            awaitNextHeartbeat(worker, from, latest, cluster.now + 500);
        } else if (leader != null && cluster.controllers.containsKey(leader)) {
            cluster.after(cluster.random.nextLong(500), () -> sendHeartbeats(worker, leader));
        } else {
            String next = "n" + (Integer.parseInt(from.substring(1)) + 1) % SimulatedCluster.CONTROLLERS;
            cluster.after(1000, () -> sendHeartbeats(worker, next));
        }
    }

    private void awaitNextHeartbeat(Worker worker, String to, long latest, long earliest) {
        if (cluster.now >= latest || cluster.now >= earliest && worker.pollHeartbeatDue()) {
            sendHeartbeats(worker, to);
        } else {
            cluster.after(100, () -> awaitNextHeartbeat(worker, to, latest, earliest));
        }
    }

    // ---- duplicated heartbeats

    private void copyHeartbeat(JsonNode heartbeat) {
        if (heartbeatsKeptFrom != null && cluster.random.nextInt(4) == 0) {
            keptHeartbeats.add(heartbeat);
        }
        if (cluster.random.nextDouble() < cluster.faults.duplicateHeartbeatRate) {
            ControllerNode any = cluster.anyController();
            cluster.after(1000 + cluster.random.nextLong(3 * cluster.leaseMs), () -> deliverDuplicate(heartbeat, any));
        }
    }

    /** A copy of a heartbeat arrives; nobody waits for its answer. */
    void deliverDuplicate(JsonNode heartbeat, ControllerNode controller) {
        if (controller.up()) {
            controller.environment.turn(
                    () -> controller.coordinator.handleHeartbeat(MessageCodec.encode(heartbeat), (status, body) -> {}));
        }
    }

    /** If copies are kept for the next leader, they reach every controller once there is one. */
    void replayKeptHeartbeats() {
        ControllerNode leader = cluster.leader();
        boolean keeping = cluster.faults.replayHeartbeatsToNextLeader;
        if (keeping && heartbeatsKeptFrom == null) {
            heartbeatsKeptFrom = leader;
        } else if (heartbeatsKeptFrom != null && leader != null && leader != heartbeatsKeptFrom) {
            for (JsonNode heartbeat : keptHeartbeats) {
                for (ControllerNode controller : cluster.controllers.values()) {
                    cluster.after(cluster.random.nextLong(1500), () -> deliverDuplicate(heartbeat, controller));
                }
            }
            keptHeartbeats.clear();
            heartbeatsKeptFrom = keeping ? leader : null;
        }
    }
}
