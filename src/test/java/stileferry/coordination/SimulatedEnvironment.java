package stileferry.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import stileferry.protocol.Environment;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.PeerMessageCodec;
import stileferry.protocol.Settings;
import stileferry.standin.Worker;

/** What one controller's process sees of the simulated cluster: its clocks, its event loop and its calls. */
public final class SimulatedEnvironment implements Environment {
    private final SimulatedCluster cluster;
    private final ControllerNode controller;
    private final long clockStart;
    private final long clockSkewMs;
    boolean dead;
    String logLevel = "default";

    private long busyUntil;
    long frozenUntil;

    SimulatedEnvironment(SimulatedCluster cluster, ControllerNode controller) {
        this.cluster = cluster;
        this.controller = controller;
        this.clockStart = cluster.random.nextLong(1_000_000);
        this.clockSkewMs = cluster.random.nextLong(-20, 21);
    }

    /** Carries a command out; a slow event loop is busy for a while with each, and the next ones wait. */
    void turn(Runnable command) {
        long takes = cluster.faults.eventLoopTurnMs.getOrDefault(controller.name(), 0L);
        long wait = Math.max(0, busyUntil - cluster.now);
        busyUntil = cluster.now + wait + takes;
        if (wait > 0) {
            cluster.after(wait, () -> carryOut(command));
        } else {
            carryOut(command);
        }
    }

    /** The process stands still; what reaches it waits. */
    void freeze(long ms) {
        frozenUntil = cluster.now + ms;
        busyUntil = Math.max(busyUntil, frozenUntil);
    }

    private void carryOut(Runnable command) {
        if (!dead) {
            command.run();
            controller.coordinator.endOfBatch();
        }
    }

    @Override
    public long now() {
        return cluster.now + clockStart;
    }

    @Override
    public long timeOfDay() {
        return cluster.now + clockSkewMs;
    }

    @Override
    public RandomGenerator random() {
        return cluster.random;
    }

    @Override
    public void setLogLevel(String level) {
        logLevel = level;
    }

    @Override
    public void schedule(long delayMs, Runnable task) {
        cluster.after(delayMs, () -> turn(task));
    }

    @Override
    public void request(String addr, String method, String path, JsonNode body, long timeoutMs, ResponseHandler reply) {
        JsonNode sent = body == null ? null : copyOf(body);
        ResponseHandler inTurn =
                (status, answer) -> turn(() -> reply.onResponse(status, answer == null ? null : copyOf(answer)));
        if (addr.equals(SimulatedCluster.STORE)) {
            cluster.network.exchange(
                    controller.name(),
                    addr,
                    timeoutMs,
                    true,
                    served -> serveByStore(method, path, sent, served),
                    inTurn);
        } else if (addr.equals(SimulatedCluster.CLOUD)) {
            callCloud(method, path, sent, timeoutMs, inTurn);
        } else if (cluster.faults.workerCallsHang != null) {
            cluster.faults.workerCallsHang.accept(timeoutMs);
            cluster.after(timeoutMs, () -> inTurn.onResponse(NO_RESPONSE, null));
        } else {
            callWorker(addr, path, sent, timeoutMs, inTurn);
        }
    }

    /** A message as the other side reads it. */
    private static JsonNode copyOf(JsonNode message) {
        return MessageCodec.decode(MessageCodec.encode(message));
    }

    private void callCloud(String method, String path, JsonNode body, long timeoutMs, ResponseHandler reply) {
        if (cluster.faults.cloudListing != null && path.startsWith("/hosts?")) {
            cluster.after(5, () -> reply.onResponse(200, cluster.faults.cloudListing.apply(path)));
        } else {
            cluster.network.exchange(
                    controller.name(),
                    SimulatedCluster.CLOUD,
                    timeoutMs,
                    true,
                    served -> cluster.cloud.request(method, path, body, served),
                    reply);
        }
    }

    private void serveByStore(String method, String path, JsonNode body, ResponseHandler reply) {
        FaultInjection faults = cluster.faults;
        boolean commit = path.equals("/commit");
        boolean rejects = faults.storeDown || faults.rejectedByStore.contains(controller.name());
        if (rejects && !path.startsWith("/watch")) {
            reply.onResponse(503, null);
        } else if (commit && cluster.random.nextDouble() < faults.lateCommitRate) {
            cluster.after(2000 + cluster.random.nextLong(10_000), () -> {
                if (!faults.storeDown) {
                    cluster.store.request(method, path, body, (status, answer) -> {});
                }
            });
        } else if (commit && cluster.random.nextDouble() < faults.unansweredCommitRate) {
            cluster.store.request(method, path, body, (status, answer) -> {});
        } else if (commit && faults.commitDelayMs > 0) {
            cluster.after(
                    cluster.random.nextLong(faults.commitDelayMs), () -> requestOfStore(method, path, body, reply));
        } else {
            requestOfStore(method, path, body, reply);
        }
    }

    private void requestOfStore(String method, String path, JsonNode body, ResponseHandler reply) {
        cluster.store.request(method, path, body, (status, answer) -> {
            if (path.equals("/commit")
                    && status == 400
                    && !answer.path("error").asText().equals("no such lease")) {
                cluster.violations.add("malformed: " + body + " " + answer);
            }
            reply.onResponse(status, answer);
        });
    }

    private void callWorker(String addr, String path, JsonNode body, long timeoutMs, ResponseHandler reply) {
        String me = controller.name();
        Worker worker = cluster.workers.get(addr);
        if (body != null) {
            cluster.storedAssignments.checkStarts(body, cluster.violations);
        }
        cluster.network.exchange(
                me,
                addr,
                timeoutMs,
                worker != null && cluster.network.heldUntil(me, addr) <= cluster.now,
                served -> {
                    if (cluster.workers.get(addr) == worker && path.equals("/inspect")) {
                        served.onResponse(200, worker.heartbeat());
                    } else if (cluster.workers.get(addr) == worker) {
                        cluster.directCommands += body.path("signals").isEmpty() ? 0 : 1;
                        int status = worker.receiveCommands(body);
                        served.onResponse(status, status == 400 ? null : worker.heartbeat());
                    }
                },
                reply);
    }

    @Override
    public void sendToPeer(Settings.Peer peer, PeerMessage record, long timeoutMs, Consumer<PeerMessage> reply) {
        String me = controller.name();
        ControllerNode other = cluster.controllers.get(peer.name());
        PeerMessage[] answer = new PeerMessage[1];
        cluster.network.exchange(
                me,
                peer.name(),
                timeoutMs,
                !cluster.faults.peerConnectionsRefused
                        && other.up()
                        && cluster.network.heldUntil(me, peer.name()) <= cluster.now,
                served -> {
                    if (other.up()) {
                        boolean former = cluster.formerRecordFormat.contains(me)
                                || cluster.formerRecordFormat.contains(peer.name());
                        if (unknownToOlder(record) && older(peer.name())) {
                            served.onResponse(400, null); // not a record to it
                            return;
                        }
                        other.environment.turn(
                                () -> other.coordinator.handlePeerMessage(carried(record, former), response -> {
                                    answer[0] = carried(response, former);
                                    served.onResponse(200, null);
                                }));
                    }
                },
                (status, body) -> turn(() -> reply.accept(status == 200 ? answer[0] : null)));
    }

    /** Whether a controller is of a version before the views of links. */
    private boolean older(String node) {
        return cluster.formerRecordFormat.contains(node) || cluster.controllersWithoutFeatures.contains(node);
    }

    /** Whether a record is of a kind that versions before the features can't read. */
    private static boolean unknownToOlder(PeerMessage record) {
        return record instanceof PeerMessage.LinkView
                || record instanceof PeerMessage.AdmissionExchange
                || record instanceof PeerMessage.RequestBatch;
    }

    /** A record as the other side reads it, where one of the two may have the former version's form. */
    private static PeerMessage carried(PeerMessage record, boolean former) {
        PeerMessage read = PeerMessageCodec.decode(PeerMessageCodec.encode(record));
        return former && read instanceof PeerMessage.TermAnnouncement announcement
                ? new PeerMessage.TermAnnouncement(
                        announcement.term(), announcement.leader(), announcement.senderLeads())
                : read;
    }
}
