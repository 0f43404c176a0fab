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

/** The environment of one controller process in the simulated cluster: its clocks, event loop and outgoing calls. */
public final class SimulatedEnvironment implements Environment {
    private final SimulatedCluster cluster;
    private final ControllerNode controller;
    private final long clockOffsetMs;
    private final long clockSkewMs;
    boolean crashed;
    String logLevel = "default";

    private long busyUntil;
    long pausedUntil;

    SimulatedEnvironment(SimulatedCluster cluster, ControllerNode controller) {
        this.cluster = cluster;
        this.controller = controller;
        this.clockOffsetMs = cluster.random.nextLong(1_000_000);
        this.clockSkewMs = cluster.random.nextLong(-20, 21);
    }

    /**
     * Executes a command on the event loop. A slow event loop is busy for some time with each command, and later
     * commands wait.
     */
    void execute(Runnable command) {
        long taskMs = cluster.faults.eventLoopTaskMs.getOrDefault(controller.name(), 0L);
        long wait = Math.max(0, busyUntil - cluster.now);
        busyUntil = cluster.now + wait + taskMs;
        if (wait > 0) {
            cluster.after(wait, () -> run(command));
        } else {
            run(command);
        }
    }

    /** Pauses the process for some time; commands that reach it meanwhile wait. */
    void pause(long ms) {
        pausedUntil = cluster.now + ms;
        busyUntil = Math.max(busyUntil, pausedUntil);
    }

    private void run(Runnable command) {
        if (!crashed) {
            command.run();
            controller.coordinator.endOfBatch();
        }
    }

    @Override
    public long now() {
        return cluster.now + clockOffsetMs;
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
        cluster.after(delayMs, () -> execute(task));
    }

    @Override
    public void request(String addr, String method, String path, JsonNode body, long timeoutMs, ResponseHandler reply) {
        JsonNode sentBody = body == null ? null : roundTrip(body);
        ResponseHandler onEventLoop = (status, response) ->
                execute(() -> reply.onResponse(status, response == null ? null : roundTrip(response)));
        if (addr.equals(SimulatedCluster.STORE)) {
            cluster.network.exchange(
                    controller.name(),
                    addr,
                    timeoutMs,
                    true,
                    cluster.repeatedRequests.repeating(
                            addr, null, respond -> serveStoreRequest(method, path, sentBody, respond)),
                    onEventLoop);
        } else if (addr.equals(SimulatedCluster.CLOUD)) {
            callCloud(method, path, sentBody, timeoutMs, onEventLoop);
        } else if (cluster.faults.workerCallsHang != null) {
            cluster.faults.workerCallsHang.accept(timeoutMs);
            cluster.after(timeoutMs, () -> onEventLoop.onResponse(NO_RESPONSE, null));
        } else {
            callWorker(addr, path, sentBody, timeoutMs, onEventLoop);
        }
    }

    /** Encodes and decodes a message, so that the receiver gets what it would read from the network. */
    private static JsonNode roundTrip(JsonNode message) {
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
                    respond -> cluster.cloud.handleRequest(method, path, body, respond),
                    reply);
        }
    }

    private void serveStoreRequest(String method, String path, JsonNode body, ResponseHandler reply) {
        FaultInjection faults = cluster.faults;
        boolean commit = path.equals("/commit");
        boolean rejects = faults.storeDown || faults.rejectedByStore.contains(controller.name());
        if (rejects && !path.startsWith("/watch")) {
            reply.onResponse(503, null);
        } else if (commit && cluster.random.nextDouble() < faults.lateCommitRate) {
            cluster.after(2000 + cluster.random.nextLong(10_000), () -> {
                if (!faults.storeDown) {
                    cluster.store.handleRequest(method, path, body, (status, response) -> {});
                }
            });
        } else if (commit && cluster.random.nextDouble() < faults.unansweredCommitRate) {
            cluster.store.handleRequest(method, path, body, (status, response) -> {});
        } else if (commit && faults.commitDelayMs > 0) {
            cluster.after(
                    cluster.random.nextLong(faults.commitDelayMs), () -> forwardToStore(method, path, body, reply));
        } else {
            forwardToStore(method, path, body, reply);
        }
    }

    private void forwardToStore(String method, String path, JsonNode body, ResponseHandler reply) {
        cluster.store.handleRequest(method, path, body, (status, response) -> {
            if (path.equals("/commit")
                    && status == 400
                    && !response.path("error").asText().equals("no such lease")) {
                cluster.violations.add("malformed: " + body + " " + response);
            }
            reply.onResponse(status, response);
        });
    }

    private void callWorker(String addr, String path, JsonNode body, long timeoutMs, ResponseHandler reply) {
        String sender = controller.name();
        Worker worker = cluster.workers.get(addr);
        if (body != null) {
            cluster.gangStartCheck.checkStarts(body, cluster.violations);
        }
        cluster.network.exchange(
                sender,
                addr,
                timeoutMs,
                worker != null && cluster.network.partitionEndsAt(sender, addr) <= cluster.now,
                cluster.repeatedRequests.repeating(
                        addr, body, respond -> serveWorkerRequest(addr, worker, path, body, respond)),
                reply);
    }

    private void serveWorkerRequest(String addr, Worker worker, String path, JsonNode body, ResponseHandler reply) {
        if (cluster.workers.get(addr) == worker && path.equals("/inspect")) {
            reply.onResponse(200, worker.heartbeat());
        } else if (cluster.workers.get(addr) == worker) {
            cluster.directCommandCount += body.path("signals").isEmpty() ? 0 : 1;
            int status = worker.handleCommands(body);
            reply.onResponse(status, status == 400 ? null : worker.heartbeat());
        }
    }

    @Override
    public void sendToPeer(Settings.Peer peer, PeerMessage message, long timeoutMs, Consumer<PeerMessage> reply) {
        String sender = controller.name();
        ControllerNode receiver = cluster.controllers.get(peer.name());
        PeerMessage[] received = new PeerMessage[1];
        cluster.network.exchange(
                sender,
                peer.name(),
                timeoutMs,
                !cluster.faults.peerConnectionsRefused
                        && receiver.up()
                        && cluster.network.partitionEndsAt(sender, peer.name()) <= cluster.now,
                cluster.repeatedRequests.repeating(
                        peer.name(), null, respond -> servePeerMessage(sender, receiver, message, received, respond)),
                (status, body) -> execute(() -> reply.accept(status == 200 ? received[0] : null)));
    }

    private void servePeerMessage(
            String sender,
            ControllerNode receiver,
            PeerMessage message,
            PeerMessage[] received,
            ResponseHandler reply) {
        if (!receiver.up()) {
            return;
        }
        if (requiresFeatures(message) && predatesFeatures(receiver.name())) {
            reply.onResponse(400, null); // such a version can't decode the message
            return;
        }
        boolean oldFormat = cluster.controllersWithOldMessageFormat.contains(sender)
                || cluster.controllersWithOldMessageFormat.contains(receiver.name());
        receiver.environment.execute(
                () -> receiver.coordinator.handlePeerMessage(transcode(message, oldFormat), response -> {
                    received[0] = transcode(response, oldFormat);
                    reply.onResponse(200, null);
                }));
    }

    /** Returns whether a controller runs a version that has no optional features, such as link views. */
    private boolean predatesFeatures(String node) {
        return cluster.controllersWithOldMessageFormat.contains(node)
                || cluster.controllersWithoutFeatures.contains(node);
    }

    /** Returns whether a message is of a kind that versions without optional features can't read. */
    private static boolean requiresFeatures(PeerMessage message) {
        return message instanceof PeerMessage.LinkView
                || message instanceof PeerMessage.AdmissionExchange
                || message instanceof PeerMessage.RequestBatch;
    }

    /**
     * Returns a message as the receiver decodes it.
     *
     * @param oldFormat whether the sender or the receiver uses the message format of the first version
     */
    private static PeerMessage transcode(PeerMessage message, boolean oldFormat) {
        PeerMessage read = PeerMessageCodec.decode(PeerMessageCodec.encode(message));
        return oldFormat && read instanceof PeerMessage.TermAnnouncement announcement
                ? new PeerMessage.TermAnnouncement(
                        announcement.term(), announcement.leader(), announcement.senderLeads())
                : read;
    }
}
