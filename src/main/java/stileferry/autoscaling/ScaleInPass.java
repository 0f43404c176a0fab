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

/** Decides in one pass which machines are deleted. Each idle machine that is lowers the spare capacity for the next. */
final class ScaleInPass {
    /** Multiple of the nominal boot time after which a machine is taken for one that never comes up. */
    private static final double MAX_BOOT_TIMES = 5;

    /** A deleted machine is paid for a minute at least, so it may as well wait for work that long. */
    private static final long MIN_AGE_MS = 55_000;

    /** Leases after which an empty machine that is not heard, or does not hear us, is given up. */
    private static final int GIVE_UP_LEASES = 3;

    /** Part of a cancellation's time after which the machine of a task that does not stop is deleted. */
    private static final double CANCEL_PART = 0.8;

    private final ClusterState cluster;
    private final FailureDetector failureDetector;
    private final CloudInventory inventory;
    private final LinkHealth links;
    private final long leadingSince;
    private final boolean settled;
    private final long now;
    private final long listLagMs;
    private final long leaseMs;
    private final long cancelMs;
    private final boolean mayDeleteIdle;
    private final Set<Machine> presumedLost;
    private double spareCpus;

    /**
     * Begins a pass.
     *
     * @param leadingSince when this leader began: it can have heard nobody before
     * @param settled whether this leader has had time to hear from all machines; before, only what is certain counts
     */
    ScaleInPass(
            ClusterState cluster,
            FailureDetector failureDetector,
            CloudInventory inventory,
            LinkHealth links,
            long leadingSince,
            boolean settled,
            long now) {
        this.cluster = cluster;
        this.failureDetector = failureDetector;
        this.inventory = inventory;
        this.links = links;
        this.leadingSince = leadingSince;
        this.settled = settled;
        this.now = now;
        this.listLagMs = Math.round(cluster.settings().cloud().listLagS() * 1000);
        this.leaseMs = Math.round(cluster.settings().workers().leaseS() * 1000);
        this.cancelMs =
                Math.round(1000 * CANCEL_PART * cluster.settings().workers().cancelDeadlineS());
        this.spareCpus = settled ? spareCpus() : 0;
        this.mayDeleteIdle = settled && links.permitsScaleIn();
        this.presumedLost = settled ? new HashSet<>(failureDetector.presumedLost(leadingSince)) : Set.of();
    }

    /** Why the machine is to be deleted; null: it is kept. */
    ScaleInReason reasonFor(Machine machine) {
        ScaleInReason reason = reasonIfLost(machine);
        if (reason == null && mayDeleteIdle) {
            reason = reasonIfUnused(machine);
        }
        return keepsCancelledTask(machine) ? ScaleInReason.CANCELLED_TASK : reason;
    }

    private ScaleInReason reasonIfLost(Machine machine) {
        if (missingFromList(machine)
                && (failureDetector.missedHeartbeats(machine)
                        || !machine.agent().heardThisTerm())) {
            return ScaleInReason.NOT_LISTED;
        }
        if (settled && neverBooted(machine)) {
            return ScaleInReason.NEVER_BOOTED;
        }
        if (settled && unknown(machine) && listenedForMs(machine) > 2 * listLagMs + leaseMs) {
            return ScaleInReason.UNKNOWN;
        }
        if (presumedLost.contains(machine) && links.permitsRemovingMachine(machine.name())) {
            return machine.spot() ? ScaleInReason.SPOT_LOST : ScaleInReason.LOST;
        }
        if (expiredAndEmpty(machine) && links.permitsRemovingMachine(machine.name())) {
            return ScaleInReason.MISSED_HEARTBEATS;
        }
        if (settled && unreachable(machine.agent()) && links.permitsRemovingMachine(machine.name())) {
            return ScaleInReason.UNREACHABLE;
        }
        return null;
    }

    /** How long this leader could have heard the machine. */
    private long listenedForMs(Machine machine) {
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
                        > MAX_BOOT_TIMES * 1000 * machine.type().bootS();
    }

    private boolean unknown(Machine machine) {
        return !machine.agent().heardThisTerm()
                && !machine.instance().listed()
                && !machine.assignments().isEmpty()
                && inventory.complete();
    }

    private boolean expiredAndEmpty(Machine machine) {
        AgentState agent = machine.agent();
        return agent.expiredIncarnation() >= agent.incarnation()
                && machine.assignments().isEmpty()
                && !machine.instance().booting()
                && Math.min(listenedForMs(machine), now - agent.lastHeardAt()) > GIVE_UP_LEASES * leaseMs;
    }

    private boolean unreachable(AgentState agent) {
        return agent.unreachableSince() != 0 && now - agent.unreachableSince() > GIVE_UP_LEASES * leaseMs;
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

    /** An idle machine is kept for a while: another one takes its boot time. */
    private long maxIdleMs(Machine machine) {
        double idleBoots = cluster.operatorSettings().number(OperatorSettings.IDLE_BOOTS);
        return Math.round(1000 * idleBoots * machine.type().bootS());
    }

    private boolean keepsCancelledTask(Machine machine) {
        for (TaskAssignment assignment : machine.assignments().values()) {
            if (assignment.job().cancelled()
                    && assignment.stopRequestedAt() > 0
                    && now - assignment.stopRequestedAt() > cancelMs) {
                return true;
            }
        }
        return false;
    }

    /** CPUs free on on-demand machines beyond what is kept for critical work. */
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
