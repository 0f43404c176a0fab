package stileferry.coordination;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import stileferry.protocol.Environment;

/** The network of the simulated cluster: delivers, loses, refuses or delays messages, separately in each direction. */
final class SimulatedNetwork {
    /** Stands for all workers as one end of a link. */
    static final String WORKERS = "workers";

    private static final long MAX_DELAY_MS = 2500;

    private final SimulatedCluster cluster;

    /** The end of the partition of each partitioned host; messages from and to the host are delayed until then. */
    private final Map<String, Long> partitionedUntil = new HashMap<>();

    private final Set<FaultRule> faultRules = new LinkedHashSet<>();

    /** A fault of one direction of a link. */
    enum LinkFault {
        /** Messages in this direction are lost. */
        LOST,

        /** Connections in this direction are refused. */
        REFUSED,

        /** Messages in this direction are delayed by up to {@link #MAX_DELAY_MS}. */
        DELAYED
    }

    /** A fault in force on one direction of a link. */
    private record FaultRule(String from, String to, LinkFault fault) {
        boolean appliesTo(String sender, String receiver) {
            return matches(from, sender) && matches(to, receiver);
        }

        private static boolean matches(String name, String host) {
            return name.equals(host) || name.equals(WORKERS) && host.startsWith("w-");
        }
    }

    SimulatedNetwork(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** Injects a fault into one direction of a link, until it is restored. */
    void injectFault(String from, String to, LinkFault fault) {
        faultRules.add(new FaultRule(from, to, fault));
    }

    /** Injects a fault into both directions of a link, until they are restored. */
    void injectFaultBothWays(String first, String second, LinkFault fault) {
        injectFault(first, second, fault);
        injectFault(second, first, fault);
    }

    /** Removes all faults of one direction of a link. */
    void restore(String from, String to) {
        faultRules.removeIf(rule -> rule.from.equals(from) && rule.to.equals(to));
    }

    /** Removes all faults of both directions of a link. */
    void restoreBothWays(String first, String second) {
        restore(first, second);
        restore(second, first);
    }

    /** Removes the faults of all links; partitions of hosts stay. */
    void restoreAll() {
        faultRules.clear();
    }

    /** Delays all messages from and to a host until the given time has passed. */
    void partition(String host, long ms) {
        partitionedUntil.put(host, cluster.now + ms);
    }

    /** Returns when the last partition of two hosts ends: a time in the past, or 0, if neither is partitioned now. */
    long partitionEndsAt(String first, String second) {
        return Math.max(partitionedUntil.getOrDefault(first, 0L), partitionedUntil.getOrDefault(second, 0L));
    }

    private boolean hasFault(String from, String to, LinkFault fault) {
        return !faultRules.isEmpty()
                && faultRules.stream().anyMatch(rule -> rule.fault == fault && rule.appliesTo(from, to));
    }

    private void deliver(String from, String to, Runnable task) {
        if (cluster.faults.inboundLoss.contains(to)
                || crossesControlPlanePartition(from, to)
                || hasFault(from, to, LinkFault.LOST)) {
            return;
        }
        long partitionMs = Math.max(0, partitionEndsAt(from, to) - cluster.now);
        long delayMs = cluster.faults.inboundDelayMs.containsKey(to)
                ? cluster.random.nextLong(cluster.faults.inboundDelayMs.get(to))
                : 0;
        delayMs += from.equals(SimulatedCluster.STORE) && cluster.faults.storeResponseDelayMs > 0
                ? cluster.random.nextLong(cluster.faults.storeResponseDelayMs)
                : 0;
        delayMs += hasFault(from, to, LinkFault.DELAYED) ? cluster.random.nextLong(MAX_DELAY_MS) : 0;
        cluster.after(partitionMs + delayMs + 1 + cluster.random.nextLong(6), task);
    }

    private boolean crossesControlPlanePartition(String from, String to) {
        boolean withinControlPlane = cluster.controllers.containsKey(from) && cluster.controllers.containsKey(to)
                || from.equals(SimulatedCluster.STORE)
                || to.equals(SimulatedCluster.STORE);
        return withinControlPlane
                && (cluster.faults.partitionedFromControlPlane.contains(from)
                        || cluster.faults.partitionedFromControlPlane.contains(to));
    }

    /**
     * Sends a request and returns its response to the caller. After the timeout the caller gets
     * {@link Environment#NO_RESPONSE}, but the request may still be delivered.
     *
     * @param connects whether a connection can be opened; if not, the caller gets {@link Environment#NOT_SENT}
     * @param serve handles the request at the receiver
     * @param reply receives the response, or how the request failed; called once
     */
    void exchange(
            String from,
            String to,
            long timeoutMs,
            boolean connects,
            Consumer<Environment.ResponseHandler> serve,
            Environment.ResponseHandler reply) {
        boolean[] completed = new boolean[1];
        if (!connects || hasFault(from, to, LinkFault.REFUSED)) {
            cluster.after(2, () -> reply.onResponse(Environment.NOT_SENT, null));
            return;
        }
        cluster.after(timeoutMs, () -> {
            if (!completed[0]) {
                completed[0] = true;
                reply.onResponse(Environment.NO_RESPONSE, null);
            }
        });
        deliver(
                from,
                to,
                () -> serve.accept((status, body) -> {
                    if (cluster.random.nextDouble() < cluster.faults.responseLossRate) {
                        return;
                    }
                    deliver(to, from, () -> {
                        if (!completed[0]) {
                            completed[0] = true;
                            reply.onResponse(status, body);
                        }
                    });
                }));
    }
}
