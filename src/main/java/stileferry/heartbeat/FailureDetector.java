package stileferry.heartbeat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Machine;
import stileferry.leadership.LeaderElection;
import stileferry.protocol.Environment;

/**
 * Decides which machines that missed heartbeats are presumed lost, and which zones are separated by a network
 * partition. Missed heartbeats prove nothing by themselves; only an expired lease does, see {@link LeaseExpiry}.
 */
public final class FailureDetector {
    /**
     * Heartbeat intervals without a heartbeat after which one counts as missed: heartbeats come at most a quarter of an
     * interval late.
     */
    static final double MISSED_AFTER_HEARTBEATS = 1.4;

    /**
     * Share of a lease without heartbeats after which a spot machine is presumed lost. Machines that only lost the link
     * to the leader are heard from through followers well before that.
     */
    private static final double SPOT_LOST_AFTER_LEASES = 0.55;

    /**
     * Time that a failed heartbeat costs a worker: its timeout, and the pause before the worker tries the next
     * controller.
     */
    private static final long FAILED_HEARTBEAT_DURATION_MS = 5000;

    /** Heartbeats that may fail before an on-demand machine is presumed lost, as services run there. */
    private static final int TOLERATED_FAILED_HEARTBEATS = 2;

    /** Maximum time between two heartbeats, in heartbeat intervals. */
    private static final double MAX_HEARTBEAT_INTERVALS = 1.25;

    /** Heartbeat intervals without a heartbeat after which a machine counts as silent. */
    private static final int SILENT_AFTER_HEARTBEATS = 2;

    /** Share of a zone's machines with missed heartbeats above which the network must be at fault. */
    private static final double UNREACHABLE_ZONE_SHARE = 0.5;

    private final ClusterState cluster;
    private final Environment environment;
    private final LeaseExpiry leaseExpiry;
    private final long heartbeatIntervalMs;
    private final long leaseMs;
    private final Map<String, Long> zoneLastUnreachableAt = new HashMap<>();

    /** Counts the machines of a zone that should send heartbeats, and those that missed one. */
    private static final class ZoneCount {
        private int machines;
        private int missedHeartbeats;

        boolean unreachable() {
            return missedHeartbeats > Math.max(1, UNREACHABLE_ZONE_SHARE * machines);
        }
    }

    FailureDetector(
            ClusterState cluster,
            Environment environment,
            LeaderElection leadership,
            TaskObserver taskObserver,
            LastHeartbeatJournal journal) {
        this.cluster = cluster;
        this.environment = environment;
        this.leaseExpiry = new LeaseExpiry(cluster, environment, leadership, taskObserver, journal);
        this.heartbeatIntervalMs = Math.round(cluster.settings().workers().heartbeatIntervalS() * 1000);
        this.leaseMs = Math.round(cluster.settings().workers().leaseS() * 1000);
    }

    /** Settles the assignments of machines whose lease has certainly expired. */
    public void expireLeases() {
        leaseExpiry.expireLeases();
    }

    /**
     * Returns the zones in which so many machines missed heartbeats that the network must be at fault.
     *
     * @param leadingSince when this leader started; it can have received no heartbeats before
     */
    public Set<String> unreachableZones(long leadingSince) {
        long heartbeatCutoff = environment.now() - Math.round(MISSED_AFTER_HEARTBEATS * heartbeatIntervalMs);
        Map<String, ZoneCount> zones = new HashMap<>();
        for (Machine machine : cluster.machines().values()) {
            if (expectedToReport(machine)) {
                ZoneCount count = zones.computeIfAbsent(machine.zone(), zone -> new ZoneCount());
                count.machines++;
                count.missedHeartbeats += lastHeardAt(machine, leadingSince) < heartbeatCutoff ? 1 : 0;
            }
        }
        Set<String> unreachable = new HashSet<>();
        zones.forEach((zone, count) -> {
            if (count.unreachable()) {
                unreachable.add(zone);
                zoneLastUnreachableAt.put(zone, environment.now());
            }
        });
        return unreachable;
    }

    /**
     * Returns the machines with tasks that are most likely gone or hang: they send no heartbeats, though their zone
     * does.
     *
     * @param leadingSince when this leader started; it can have received no heartbeats before
     */
    public List<Machine> presumedLost(long leadingSince) {
        long now = environment.now();
        long spotCutoff = now - Math.round(SPOT_LOST_AFTER_LEASES * leaseMs);
        long onDemandCutoff = Math.min(
                spotCutoff,
                now
                        - Math.round(MAX_HEARTBEAT_INTERVALS * heartbeatIntervalMs)
                        - TOLERATED_FAILED_HEARTBEATS * FAILED_HEARTBEAT_DURATION_MS);
        List<Machine> lost = new ArrayList<>();
        for (Machine machine : cluster.machines().values()) {
            if (expectedToReport(machine)
                    && !machine.assignments().isEmpty()
                    && lastHeardAt(machine, leadingSince) < (machine.spot() ? spotCutoff : onDemandCutoff)) {
                lost.add(machine);
            }
        }
        unreachableZones(leadingSince);
        lost.removeIf(machine -> recentlyUnreachable(machine.zone()));
        return lost;
    }

    private static boolean expectedToReport(Machine machine) {
        return machine.type() != null
                && !machine.instance().terminating()
                && !machine.instance().booting();
    }

    private static long lastHeardAt(Machine machine, long leadingSince) {
        return Math.max(machine.agent().lastHeardAt(), leadingSince);
    }

    /**
     * Returns whether a zone was unreachable within the last lease duration. For that long after a partition its
     * machines may still be reconnecting, some of them through followers.
     */
    private boolean recentlyUnreachable(String zone) {
        Long unreachableAt = zoneLastUnreachableAt.get(zone);
        return unreachableAt != null && environment.now() - unreachableAt < leaseMs;
    }

    /**
     * Returns whether a command sent now can be expected to arrive: the machine sends heartbeats, and is not suspected
     * of missing the responses.
     */
    public boolean reachable(Machine machine) {
        return machine.agent().heardThisTerm()
                && !machine.instance().terminating()
                && machine.agent().unreachableSince() == 0
                && environment.now() - machine.agent().lastHeardAt() <= MISSED_AFTER_HEARTBEATS * heartbeatIntervalMs;
    }

    /**
     * Returns whether a machine that was heard from in this term has been silent for longer than a heartbeat can take.
     */
    public boolean missedHeartbeats(Machine machine) {
        return machine.agent().heardThisTerm()
                && environment.now() - machine.agent().lastHeardAt() > SILENT_AFTER_HEARTBEATS * heartbeatIntervalMs;
    }
}
