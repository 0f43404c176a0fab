package stileferry.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import stileferry.protocol.Environment;
import stileferry.protocol.MessageCodec;
import stileferry.standin.Worker;

/** The machines of a simulated cluster, each with a stand-in for its agent, and the delivery of their heartbeats. */
final class SimulatedMachines {
    static final double CPUS = 8;
    static final double MEMORY_GB = 32;
    private static final long REQUEST_TIMEOUT_MS = 4000;

    private final SimulatedCluster cluster;
    private final List<JsonNode> recordedHeartbeats = new ArrayList<>();
    private ControllerNode leaderWhenRecordingBegan;

    SimulatedMachines(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** Returns the address of a machine's agent. */
    static String address(String machine) {
        return "w-" + machine + ":1";
    }

    /** Adds a machine that the cloud has booted, and starts its heartbeats at a random controller. */
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
        sendHeartbeats(worker, cluster.randomController().name());
        return worker;
    }

    /** Removes a machine that the cloud has deleted or reclaimed; its tasks end. */
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

    /**
     * Sends a heartbeat to a controller and schedules the next one, for as long as the machine exists. The next
     * heartbeat goes to the same controller, to the leader that the response names, or after a failure to the next
     * controller.
     */
    private void sendHeartbeats(Worker worker, String to) {
        if (!exists(worker)) {
            return;
        }
        long sentAt = cluster.now;
        long incarnation = worker.incarnation();
        worker.pollHeartbeatDue();
        JsonNode heartbeat = MessageCodec.decode(MessageCodec.encode(worker.heartbeat()));
        recordAndDuplicate(heartbeat);
        ControllerNode controller = cluster.controllers.get(to);
        cluster.network.exchange(
                worker.address(),
                to,
                REQUEST_TIMEOUT_MS,
                controller.up()
                        && !cluster.faults.heartbeatLoss.contains(worker.address())
                        && cluster.network.partitionEndsAt(worker.address(), to) <= cluster.now,
                reply -> deliver(heartbeat, controller, reply),
                (status, body) -> {
                    if (exists(worker)) {
                        handleResponse(worker, to, status, body, incarnation, sentAt);
                    }
                });
    }

    private void deliver(JsonNode heartbeat, ControllerNode controller, Environment.ResponseHandler reply) {
        if (controller.up()) {
            controller.environment.execute(
                    () -> controller.coordinator.handleHeartbeat(MessageCodec.encode(heartbeat), (status, bytes) -> {
                        JsonNode response = MessageCodec.decode(bytes);
                        cluster.gangStartCheck.checkStarts(response, cluster.violations);
                        reply.onResponse(status, response);
                    }));
        }
    }

    private void handleResponse(Worker worker, String from, int status, JsonNode body, long incarnation, long sentAt) {
        String leader = status == 421 ? body.path("harbormaster").asText() : null;
        if (status == 200) {
            worker.handleHeartbeatResponse(MessageCodec.decode(MessageCodec.encode(body)), incarnation, sentAt);
            long latestAt = cluster.now
                    + cluster.heartbeatIntervalMs * 3 / 4
                    + cluster.random.nextLong(cluster.heartbeatIntervalMs / 2);
            awaitNextHeartbeat(worker, from, latestAt, cluster.now + 500);
        } else if (leader != null && cluster.controllers.containsKey(leader)) {
            cluster.after(cluster.random.nextLong(500), () -> sendHeartbeats(worker, leader));
        } else {
            String next = "n" + (Integer.parseInt(from.substring(1)) + 1) % SimulatedCluster.CONTROLLER_COUNT;
            cluster.after(1000, () -> sendHeartbeats(worker, next));
        }
    }

    private void awaitNextHeartbeat(Worker worker, String to, long latestAt, long earliestAt) {
        if (cluster.now >= latestAt || cluster.now >= earliestAt && worker.pollHeartbeatDue()) {
            sendHeartbeats(worker, to);
        } else {
            cluster.after(100, () -> awaitNextHeartbeat(worker, to, latestAt, earliestAt));
        }
    }

    /** Records a copy of some heartbeats for the next leader, and delivers a late duplicate of others. */
    private void recordAndDuplicate(JsonNode heartbeat) {
        if (leaderWhenRecordingBegan != null && cluster.random.nextInt(4) == 0) {
            recordedHeartbeats.add(heartbeat);
        }
        if (cluster.random.nextDouble() < cluster.faults.duplicateHeartbeatRate) {
            ControllerNode receiver = cluster.randomController();
            cluster.after(
                    1000 + cluster.random.nextLong(3 * cluster.leaseMs), () -> deliverDuplicate(heartbeat, receiver));
        }
    }

    /** Delivers a copy of a heartbeat to a controller; the response is dropped. */
    void deliverDuplicate(JsonNode heartbeat, ControllerNode controller) {
        if (controller.up()) {
            controller.environment.execute(
                    () -> controller.coordinator.handleHeartbeat(MessageCodec.encode(heartbeat), (status, body) -> {}));
        }
    }

    /** Delivers the recorded heartbeats to every controller once another leader is elected. */
    void replayRecordedHeartbeats() {
        ControllerNode leader = cluster.leader();
        boolean recording = cluster.faults.replayHeartbeatsToNextLeader;
        if (recording && leaderWhenRecordingBegan == null) {
            leaderWhenRecordingBegan = leader;
        } else if (leaderWhenRecordingBegan != null && leader != null && leader != leaderWhenRecordingBegan) {
            for (JsonNode heartbeat : recordedHeartbeats) {
                for (ControllerNode controller : cluster.controllers.values()) {
                    cluster.after(cluster.random.nextLong(1500), () -> deliverDuplicate(heartbeat, controller));
                }
            }
            recordedHeartbeats.clear();
            leaderWhenRecordingBegan = recording ? leader : null;
        }
    }
}
