package stileferry.autoscaling;

import java.util.HashSet;
import java.util.Set;
import stileferry.cluster.AgentState;
import stileferry.cluster.ClusterState;
import stileferry.cluster.InstanceState;
import stileferry.cluster.Machine;
import stileferry.cluster.TaskAssignment;
import stileferry.heartbeat.FailureDetector;
import stileferry.links.LinkHealth;
import stileferry.protocol.JobSpec;
import stileferry.protocol.OperatorSettings;

/**
 * Decides in one pass which machines are deleted. Each idle on-demand machine that is deleted leaves less spare
 * capacity for the next.
 */
final class ScaleInPass {
    /** Multiple of the nominal boot time after which a machine is considered unable to boot. */
    private static final double MAX_BOOT_TIME_MULTIPLE = 5;

    /**
     * Minimum age of an idle machine before it is deleted: it is paid for a minute at least, so it may as well wait for
     * work that long.
     */
    private static final long MIN_AGE_MS = 55_000;

    /**
     * Number of lease durations after which a machine is deleted that has no tasks and sends no heartbeats, or does not
     * receive responses.
     */
    private static final int GIVE_UP_AFTER_LEASES = 3;

    /** Share of the time limit of a cancellation after which the machine of a task that does not stop is deleted. */
    private static final double CANCEL_SHARE = 0.8;

    private final ClusterState cluster;
    private final FailureDetector failureDetector;
    private final CloudInventory inventory;
    private final LinkHealth links;
    private final long leadingSince;
    private final boolean allWorkersHeard;
    private final long now;
    private final long listLagMs;
    private final long leaseMs;
    private final long maxCancelMs;
    private final boolean mayDeleteIdle;
    private final Set<Machine> presumedLost;
    private double spareCpus;

    /**
     * Starts a pass.
     *
     * @param leadingSince when this leader started; it can have received no heartbeats before
     * @param allWorkersHeard whether this leader has had time to hear from all machines; before that, only what is
     *     certain counts
     */
    ScaleInPass(
            ClusterState cluster,
            FailureDetector failureDetector,
            CloudInventory inventory,
            LinkHealth links,
            long leadingSince,
            boolean allWorkersHeard,
            long now) {
        this.cluster = cluster;
        this.failureDetector = failureDetector;
        this.inventory = inventory;
        this.links = links;
        this.leadingSince = leadingSince;
        this.allWorkersHeard = allWorkersHeard;
        this.now = now;
        this.listLagMs = Math.round(cluster.settings().cloud().listLagS() * 1000);
        this.leaseMs = Math.round(cluster.settings().workers().leaseS() * 1000);
        this.maxCancelMs =
                Math.round(1000 * CANCEL_SHARE * cluster.settings().workers().cancelDeadlineS());
        this.spareCpus = allWorkersHeard ? spareCpus() : 0;
        this.mayDeleteIdle = allWorkersHeard && links.permitsScaleIn();
        this.presumedLost = allWorkersHeard ? new HashSet<>(failureDetector.presumedLost(leadingSince)) : Set.of();
    }

    /** Returns why the machine is to be deleted, or null if it is kept. */
    ScaleInReason reasonFor(Machine machine) {
        ScaleInReason reason = reasonIfLost(machine);
        if (reason == null && mayDeleteIdle) {
            reason = reasonIfUnused(machine);
        }
        return hasUnstoppableCancelledTask(machine) ? ScaleInReason.CANCELLED_TASK : reason;
    }

    private ScaleInReason reasonIfLost(Machine machine) {
        if (missingFromList(machine)
                && (failureDetector.missedHeartbeats(machine)
                        || !machine.agent().heardThisTerm())) {
            return ScaleInReason.NOT_LISTED;
        }
        if (allWorkersHeard && neverBooted(machine)) {
            return ScaleInReason.NEVER_BOOTED;
        }
        if (allWorkersHeard && neitherListedNorHeard(machine) && heartbeatWindowMs(machine) > 2 * listLagMs + leaseMs) {
            return ScaleInReason.UNKNOWN;
        }
        if (presumedLost.contains(machine) && links.permitsRemovingMachine(machine.name())) {
            return machine.spot() ? ScaleInReason.SPOT_LOST : ScaleInReason.LOST;
        }
        if (leaseExpiredAndEmpty(machine) && links.permitsRemovingMachine(machine.name())) {
            return ScaleInReason.MISSED_HEARTBEATS;
        }
        if (allWorkersHeard && unreachable(machine.agent()) && links.permitsRemovingMachine(machine.name())) {
            return ScaleInReason.UNREACHABLE;
        }
        return null;
    }

    /** Returns for how long this leader could have received heartbeats from the machine, in milliseconds. */
    private long heartbeatWindowMs(Machine machine) {
        return now - Math.max(leadingSince, machine.instance().requestedAt());
    }

    private boolean missingFromList(Machine machine) {
        long missingSince = machine.instance().missingSince();
        return missingSince != 0 && now - missingSince > listLagMs / 2;
    }

    private boolean neverBooted(Machine machine) {
        InstanceState instance = machine.instance();
        return !machine.agent().heardThisTerm()
                && instance.booting()
                && machine.type() != null
                && machine.assignments().isEmpty()
                && instance.requestedAt() != 0
                && now - instance.requestedAt()
                        > MAX_BOOT_TIME_MULTIPLE * 1000 * machine.type().bootS();
    }

    private boolean neitherListedNorHeard(Machine machine) {
        return !machine.agent().heardThisTerm()
                && !machine.instance().listed()
                && !machine.assignments().isEmpty()
                && inventory.complete();
    }

    private boolean leaseExpiredAndEmpty(Machine machine) {
        AgentState agent = machine.agent();
        return agent.lease().expiredIncarnation() >= agent.incarnation()
                && machine.assignments().isEmpty()
                && !machine.instance().booting()
                && Math.min(heartbeatWindowMs(machine), now - agent.lastHeardAt()) > GIVE_UP_AFTER_LEASES * leaseMs;
    }

    private boolean unreachable(AgentState agent) {
        return agent.unreachableSince() != 0 && now - agent.unreachableSince() > GIVE_UP_AFTER_LEASES * leaseMs;
    }

    private ScaleInReason reasonIfUnused(Machine machine) {
        if (emptyAndNotSchedulable(machine)) {
            return ScaleInReason.NOT_SCHEDULABLE;
        }
        if (idle(machine) && (machine.spot() || spareCpus >= machine.type().cpus())) {
            spareCpus -= machine.spot() ? 0 : machine.type().cpus();
            return ScaleInReason.IDLE;
        }
        return null;
    }

    private static boolean heardAndEmpty(Machine machine) {
        return machine.agent().heardThisTerm() && machine.assignments().isEmpty();
    }

    private boolean emptyAndNotSchedulable(Machine machine) {
        InstanceState instance = machine.instance();
        return heardAndEmpty(machine)
                && !failureDetector.missedHeartbeats(machine)
                && (instance.reclaimNoticeS() >= 0 || instance.quarantined() || instance.draining());
    }

    private boolean idle(Machine machine) {
        return heardAndEmpty(machine)
                && machine.type() != null
                && !machine.agent().hasOrphanTasks()
                && now - machine.instance().idleSince() > maxIdleMs(machine)
                && now - machine.instance().requestedAt() > MIN_AGE_MS;
    }

    /**
     * Returns how long a machine may be idle, in milliseconds: a multiple of the boot time that another machine would
     * take.
     */
    private long maxIdleMs(Machine machine) {
        double idleBoots = cluster.operatorSettings().number(OperatorSettings.IDLE_BOOTS);
        return Math.round(1000 * idleBoots * machine.type().bootS());
    }

    private boolean hasUnstoppableCancelledTask(Machine machine) {
        for (TaskAssignment assignment : machine.assignments().values()) {
            if (assignment.job().cancelled()
                    && assignment.stopRequestedAt() > 0
                    && now - assignment.stopRequestedAt() > maxCancelMs) {
                return true;
            }
        }
        return false;
    }

    /** Returns the free CPUs on on-demand machines beyond those reserved for critical work. */
    private double spareCpus() {
        double free = 0;
        double critical = 0;
        double largestCritical = 0;
        for (Machine machine : cluster.machines().values()) {
            if (machine.schedulable() && !machine.spot()) {
                free += machine.type().cpus() - machine.usedCpus();
            }
            for (TaskAssignment assignment : machine.assignments().values()) {
                if (assignment.job().spec().priority() == JobSpec.Priority.CRITICAL) {
                    critical += assignment.job().spec().cpus();
                    largestCritical =
                            Math.max(largestCritical, assignment.job().spec().cpus());
                }
            }
        }
        double spareShare = cluster.operatorSettings().number(OperatorSettings.SPARE_SHARE);
        return free - Math.max(largestCritical, critical * spareShare);
    }
}
