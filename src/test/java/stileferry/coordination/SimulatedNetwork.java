package stileferry.coordination;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import stileferry.protocol.Environment;

/** The links of the simulated cluster: what passes, what is lost, refused or delayed, in each direction apart. */
final class SimulatedNetwork {
    /** Stands for every worker where a link is named. */
    static final String WORKERS = "workers";

    private static final long DELAY_MS = 2500;

    private final SimulatedCluster cluster;

    /** Hosts that can't reach others, or be reached, until the time given; packets in between come late. */
    private final Map<String, Long> partitionedUntil = new HashMap<>();

    private final Set<Rule> rules = new LinkedHashSet<>();

    /** How a link is broken. */
    enum LinkFault {
        /** Messages in this direction vanish. */
        LOST,

        /** Connections in this direction are refused. */
        REFUSED,

        /** Messages in this direction come late. */
        DELAYED
    }

    /** One broken direction. */
    private record Rule(String from, String to, LinkFault fault) {
        boolean covers(String sender, String receiver) {
            return names(from, sender) && names(to, receiver);
        }

        private static boolean names(String name, String host) {
            return name.equals(host) || name.equals(WORKERS) && host.startsWith("w-");
        }
    }

    SimulatedNetwork(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** Breaks one direction of a link until it is restored. */
    void block(String from, String to, LinkFault fault) {
        rules.add(new Rule(from, to, fault));
    }

    /** Breaks both directions. */
    void blockBoth(String first, String second, LinkFault fault) {
        block(first, second, fault);
        block(second, first, fault);
    }

    /** Mends one direction of a link. */
    void restore(String from, String to) {
        rules.removeIf(rule -> rule.from.equals(from) && rule.to.equals(to));
    }

    /** Mends both directions. */
    void restoreBoth(String first, String second) {
        restore(first, second);
        restore(second, first);
    }

    /** Mends all links that {@link #block} broke. */
    void restoreAll() {
        rules.clear();
    }

    void partition(String host, long ms) {
        partitionedUntil.put(host, cluster.now + ms);
    }

    long heldUntil(String first, String second) {
        return Math.max(partitionedUntil.getOrDefault(first, 0L), partitionedUntil.getOrDefault(second, 0L));
    }

    private boolean broken(String from, String to, LinkFault fault) {
        return !rules.isEmpty() && rules.stream().anyMatch(rule -> rule.fault == fault && rule.covers(from, to));
    }

    private void deliver(String from, String to, Runnable task) {
        if (cluster.faults.inboundLoss.contains(to) || partitioned(from, to) || broken(from, to, LinkFault.LOST)) {
            return;
        }
        long held = Math.max(0, heldUntil(from, to) - cluster.now);
        long late = cluster.faults.inboundDelayMs.containsKey(to)
                ? cluster.random.nextLong(cluster.faults.inboundDelayMs.get(to))
                : 0;
        late += from.equals(SimulatedCluster.STORE) && cluster.faults.storeResponseDelayMs > 0
                ? cluster.random.nextLong(cluster.faults.storeResponseDelayMs)
                : 0;
        late += broken(from, to, LinkFault.DELAYED) ? cluster.random.nextLong(DELAY_MS) : 0;
        cluster.after(held + late + 1 + cluster.random.nextLong(6), task);
    }

    private boolean partitioned(String from, String to) {
        boolean inside = cluster.controllers.containsKey(from) && cluster.controllers.containsKey(to)
                || from.equals(SimulatedCluster.STORE)
                || to.equals(SimulatedCluster.STORE);
        return inside
                && (cluster.faults.partitionedFromControlPlane.contains(from)
                        || cluster.faults.partitionedFromControlPlane.contains(to));
    }

    /** A request with its answer; the caller gives up in time, but what was sent arrives all the same. */
    void exchange(
            String from,
            String to,
            long timeoutMs,
            boolean connects,
            Consumer<Environment.ResponseHandler> serve,
            Environment.ResponseHandler reply) {
        boolean[] over = new boolean[1];
        if (!connects || broken(from, to, LinkFault.REFUSED)) {
            cluster.after(2, () -> reply.onResponse(Environment.NOT_SENT, null));
            return;
        }
        cluster.after(timeoutMs, () -> {
            if (!over[0]) {
                over[0] = true;
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
                        if (!over[0]) {
                            over[0] = true;
                            reply.onResponse(status, body);
                        }
                    });
                }));
    }
}
