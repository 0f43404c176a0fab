package stileferry.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.LongConsumer;

/** The faults in force in a simulated cluster, apart from single links, which {@link SimulatedNetwork} breaks. */
public final class FaultInjection {
    private final SimulatedCluster cluster;

    /** The key-value store answers 503 to everybody. */
    boolean storeDown;

    /** Controllers that the key-value store answers 503. */
    final Set<String> rejectedByStore = new TreeSet<>();

    /** The delay of the key-value store's answers, at most. */
    long storeResponseDelayMs;

    /** The delay of transactions on their way to the key-value store, at most; so they arrive in any order. */
    long commitDelayMs;

    /** The share of transactions that get no answer and are carried out later, after newer ones. */
    double lateCommitRate;

    /** The share of transactions that are carried out at once, while their answers are lost. */
    double unansweredCommitRate;

    /** The share of all answers that are lost. */
    double responseLossRate;

    /** One-way loss: hosts whose messages arrive, while nothing reaches them. */
    final Set<String> inboundLoss = new TreeSet<>();

    /** By host, the delay of whatever reaches it, in milliseconds at most. */
    final Map<String, Long> inboundDelayMs = new HashMap<>();

    /** Controllers cut off from the key-value store and the other controllers, but not from workers and users. */
    final Set<String> partitionedFromControlPlane = new TreeSet<>();

    /** Controllers refuse each other's connections. */
    boolean peerConnectionsRefused;

    /** Controllers that have little processor time, with the milliseconds that each turn of their event loop takes. */
    final Map<String, Long> eventLoopTaskMs = new HashMap<>();

    /** Machines whose heartbeats reach nobody, while commands reach them. */
    final Set<String> heartbeatLoss = new TreeSet<>();

    /** The share of heartbeats of which a copy arrives once more, seconds to well over a lease later, anywhere. */
    double duplicateHeartbeatRate;

    /** Copies of heartbeats are kept until the next leader has begun, and then reach every controller. */
    boolean replayHeartbeatsToNextLeader;

    /** Users ask at all controllers at once, and repeat their submission, whenever they have heard something new. */
    boolean usersRepeatRequests;

    /** If set, calls to workers are not answered; it is given the time limit of each. */
    public LongConsumer workerCallsHang;

    /** If set, it answers requests for the list of machines instead of the stand-in of the cloud, by their paths. */
    public Function<String, JsonNode> cloudListing;

    /** Since when the faults are over; 0: they are not. From then on every job must be answered for. */
    public long endedAt;

    FaultInjection(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** Ends a controller's process; another one starts after so long. */
    void restart(ControllerNode controller, long afterMs) {
        if (controller.up()) {
            controller.crash();
            cluster.after(afterMs, controller::start);
        }
    }

    /** Restarts the leader, if there is one. */
    void restartLeader(long afterMs) {
        if (cluster.leader() != null) {
            restart(cluster.leader(), afterMs);
        }
    }

    /** The key-value store is down for so long. */
    void storeOutage(long ms) {
        storeDown = true;
        cluster.after(ms, this::endStoreOutage);
    }

    /** The key-value store is back, with all its leases renewed. */
    void endStoreOutage() {
        storeDown = false;
        cluster.store.renewAllLeases(cluster.now);
    }

    /** A machine hangs: it computes nothing, hears and says nothing, and goes on later with what reached it. */
    void hang(String addr, long ms) {
        if (cluster.workers.containsKey(addr)) {
            cluster.workers.get(addr).hangUntil(cluster.now + ms);
            partition(addr, ms);
        }
    }

    /** Nothing passes from or to a host for so long; what was sent meanwhile comes late. */
    void partition(String host, long ms) {
        cluster.network.partition(host, ms);
    }

    /** Cuts all machines of a zone off; the controllers are elsewhere. */
    public void partitionZone(String zone, long ms) {
        cluster.workers.values().stream()
                .filter(worker -> worker.zone().equals(zone))
                .forEach(worker -> partition(worker.address(), ms));
    }

    /** Ends all faults but duplicated heartbeats; what was scheduled still comes. */
    void clear() {
        storeDown = false;
        cluster.network.restoreAll();
        rejectedByStore.clear();
        inboundLoss.clear();
        partitionedFromControlPlane.clear();
        inboundDelayMs.clear();
        peerConnectionsRefused = false;
        storeResponseDelayMs = 0;
        eventLoopTaskMs.clear();
        responseLossRate = 0;
        lateCommitRate = 0;
        unansweredCommitRate = 0;
        heartbeatLoss.clear();
        replayHeartbeatsToNextLeader = false;
    }
}
