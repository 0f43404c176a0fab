package stileferry.heartbeat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Machine;
import stileferry.cluster.TaskAssignment;
import stileferry.leadership.LeaderElection;
import stileferry.protocol.Environment;

/**
 * Judges machines that are silent: whose lease has lapsed for certain, which are most likely lost, and which zones the
 * network keeps apart. Silence proves nothing by itself; only a lapsed lease does.
 */
public final class FailureDetector {
    /** After so many report intervals a machine is silent: reports come a quarter late at most. */
    static final double SILENT_AFTER_REPORTS = 1.4;

    private static final Logger LOG = LoggerFactory.getLogger("fleet");

    /** Clocks drift by 0.05% at most; twice that, and a little for timers and packets. */
    private static final double DRIFT = 0.001;

    private static final long LAPSE_SLACK_MS = 500;

    /** A worker that can't reach this node comes back by way of the others well before. */
    private static final double LOST_AFTER_LEASES = 0.55;

    /** What a failed report costs a worker: its patience, and the pause before it tries the next controller. */
    private static final long DETOUR_MS = 5000;

    /** Services run on ordinary machines, so these may fail twice: on a small fleet one cost them too often. */
    private static final int DETOURS = 2;

    /** Report intervals between two reports, at most. */
    private static final double LATE_REPORT = 1.25;

    /** Silent machines of a zone, as a share of all, above which the network is at fault rather than each of them. */
    private static final double LOST_SHARE = 0.5;

    private final ClusterState cluster;
    private final Environment environment;
    private final LeaderElection leadership;
    private final long term;
    private final TaskObserver events;
    private final LastHeartbeatJournal silences;
    private final long reportMs;
    private final long leaseMs;
    private final Map<String, Long> lastUnreachable = new HashMap<>();

    FailureDetector(
            ClusterState cluster,
            Environment environment,
            LeaderElection leadership,
            long term,
            TaskObserver events,
            LastHeartbeatJournal silences) {
        this.cluster = cluster;
        this.environment = environment;
        this.leadership = leadership;
        this.term = term;
        this.events = events;
        this.silences = silences;
        this.reportMs = Math.round(cluster.settings().workers().heartbeatIntervalS() * 1000);
        this.leaseMs = Math.round(cluster.settings().workers().leaseS() * 1000);
    }

    /**
     * When any controller can last have renewed the lease of a machine in a session; -1: unknown. A session that was
     * only seen in answers to commands has a lease of its own, which no answer to a report has begun.
     */
    private long lastAnswered(Machine machine, long session, long acked) {
        if (machine.agent().lastAnsweredAt() > 0 && machine.acknowledgedTerm(term)) {
            return Math.max(machine.agent().lastAnsweredAt(), machine.agent().incarnationSeenAt());
        }
        if (machine.agent().answeredByPreviousLeaderAt() >= 0
                && !machine.agent().heardThisTerm()
                && session <= machine.agent().answeredByPreviousLeaderIncarnation()) {
            return Math.max(
                    machine.agent().answeredByPreviousLeaderAt(),
                    machine.agent().lastAnsweredAt());
        }
        return acked >= 0
                ? Math.max(
                        acked,
                        Math.max(
                                machine.agent().lastAnsweredAt(),
                                machine.agent().incarnationSeenAt()))
                : -1;
    }

    /** Looks for leases that have lapsed for certain. */
    public void expireLeases() {
        long now = environment.now();
        long acked = leadership.acknowledgedByAllPeersAt();
        for (Machine machine : cluster.machines().values()) {
            long over = machine.agent().incarnation();
            for (TaskAssignment assignment : machine.assignments().values()) {
                over = Math.max(over, assignment.incarnation());
            }
            long since = lastAnswered(machine, over, acked);
            if (since >= 0 && over > machine.agent().expiredIncarnation()) {
                silences.note(machine, over, since);
            }
            if (since < 0 || now < since + Math.round(leaseMs * (1 + DRIFT)) + LAPSE_SLACK_MS) {
                continue;
            }
            if (over > machine.agent().expiredIncarnation()) {
                machine.agent().expireIncarnation(over);
                if (machine.agent().heardThisTerm() || !machine.assignments().isEmpty()) {
                    LOG.info(
                            "machine {} is silent, its lease has lapsed with {} tasks",
                            machine.name(),
                            machine.assignments().size());
                }
                for (TaskAssignment assignment :
                        List.copyOf(machine.assignments().values())) {
                    events.gone(assignment, "lease");
                }
                events.changed();
            }
        }
    }

    /** Zones of which so many machines are silent that the network must be at fault, rather than each of them. */
    public Set<String> unreachableZones(long activeSince) {
        long before = environment.now() - Math.round(SILENT_AFTER_REPORTS * reportMs);
        Map<String, int[]> zones = new HashMap<>();
        for (Machine machine : cluster.machines().values()) {
            if (machine.type() != null
                    && !machine.instance().terminating()
                    && !machine.instance().booting()) {
                int[] counts = zones.computeIfAbsent(machine.zone(), z -> new int[2]);
                counts[0]++;
                counts[1] += lastSeen(machine, activeSince) < before ? 1 : 0;
            }
        }
        Set<String> unreachable = new HashSet<>();
        zones.forEach((zone, counts) -> {
            if (counts[1] > Math.max(1, LOST_SHARE * counts[0])) {
                unreachable.add(zone);
                lastUnreachable.put(zone, environment.now());
            }
        });
        return unreachable;
    }

    /** A new leader has heard nobody; who does not come in time was taken before or while it took over. */
    private static long lastSeen(Machine machine, long activeSince) {
        return Math.max(machine.agent().lastHeardAt(), activeSince);
    }

    /** Machines with work that are most likely gone or hang: they neither report nor answer, though their zone does. */
    public List<Machine> presumedLost(long activeSince) {
        long forSpot = environment.now() - Math.round(LOST_AFTER_LEASES * leaseMs);
        long forOthers =
                Math.min(forSpot, environment.now() - Math.round(LATE_REPORT * reportMs) - DETOURS * DETOUR_MS);
        List<Machine> silent = new ArrayList<>();
        for (Machine machine : cluster.machines().values()) {
            if (machine.type() != null
                    && !machine.instance().terminating()
                    && !machine.instance().booting()
                    && !machine.assignments().isEmpty()
                    && lastSeen(machine, activeSince) < (machine.spot() ? forSpot : forOthers)) {
                silent.add(machine);
            }
        }
        unreachableZones(activeSince);
        // for a lease's time machines may still be on their way back, some of them by way of the other controllers
        silent.removeIf(machine -> lastUnreachable.containsKey(machine.zone())
                && environment.now() - lastUnreachable.get(machine.zone()) < leaseMs);
        return silent;
    }

    /**
     * Whether a command that is sent now can be expected to arrive: the machine reports in time, and heard us before.
     */
    public boolean reachable(Machine machine) {
        return machine.agent().heardThisTerm()
                && !machine.instance().terminating()
                && machine.agent().unreachableSince() == 0
                && environment.now() - machine.agent().lastHeardAt() <= SILENT_AFTER_REPORTS * reportMs;
    }

    /** True when nothing was heard for longer than reports can take. */
    public boolean missedHeartbeats(Machine machine) {
        return machine.agent().heardThisTerm()
                && environment.now() - machine.agent().lastHeardAt() > 2 * reportMs;
    }
}
