package stileferry.autoscaling;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Machine;
import stileferry.cluster.TaskAssignment;
import stileferry.heartbeat.HeartbeatHandler;
import stileferry.links.LinkHealth;
import stileferry.protocol.Environment;
import stileferry.protocol.JobSpec;
import stileferry.protocol.Messages;
import stileferry.protocol.OperatorSettings;

/** Returns machines to the cloud: lost ones, whose deletion proves that their tasks are gone, and idle ones. */
final class ScaleIn {
    private static final Logger LOG = LoggerFactory.getLogger("cloud");

    /** Multiple of the nominal boot time after which a machine is taken for one that never comes up. */
    private static final double BOOT_PATIENCE = 5;

    /** A machine that is deleted costs a minute at least, so it may as well wait for work that long. */
    private static final long PAID_MS = 55_000;

    /** Leases after which an empty machine that is not heard, or does not hear us, is given up. */
    private static final int SILENT_LEASES = 3;

    /** The share of a cancellation's time after which the machine of a task that does not stop is deleted. */
    private static final double CANCEL_PATIENCE = 0.8;

    private static final int MAX_DELETE = 100;

    private final ClusterState cluster;
    private final Environment environment;
    private final HeartbeatHandler fleet;
    private final CloudClient cloud;
    private final CloudInventory list;
    private final LinkHealth links;
    private final long since;
    private final long listLagMs;
    private final long leaseMs;
    private final long cancelPatienceMs;
    private boolean deleting;

    ScaleIn(
            ClusterState cluster,
            Environment environment,
            HeartbeatHandler fleet,
            CloudClient cloud,
            CloudInventory list,
            LinkHealth links) {
        this.links = links;
        this.cluster = cluster;
        this.environment = environment;
        this.fleet = fleet;
        this.cloud = cloud;
        this.list = list;
        this.since = environment.now();
        this.listLagMs = Math.round(cluster.settings().cloud().listLagS() * 1000);
        this.leaseMs = Math.round(cluster.settings().workers().leaseS() * 1000);
        this.cancelPatienceMs =
                Math.round(1000 * CANCEL_PATIENCE * cluster.settings().workers().cancelS());
    }

    /** Marks what shall be deleted, and deletes it. */
    void returnMachines(boolean settled) {
        double spare = settled ? spareCpus() : 0;
        boolean mayReturnIdle = settled && links.permitsReturning();
        Set<Machine> lost = settled ? new HashSet<>(fleet.failures().lost(since)) : Set.of();
        for (Machine m : cluster.machines().values()) {
            if (m.instance().terminating()) {
                continue;
            }
            String why = whyLost(m, settled, lost);
            if (why == null && mayReturnIdle && shallNotBeUsed(m)) {
                why = "it is empty and shall not be used";
            } else if (why == null
                    && mayReturnIdle
                    && idle(m)
                    && (m.spot() || spare >= m.type().cpus())) {
                why = "it is idle";
                spare -= m.spot() ? 0 : m.type().cpus();
            }
            if (keepsCancelledTask(m)) {
                why = "a cancelled task on it can't be stopped";
            }
            if (why != null) {
                LOG.info(
                        "returning machine {} with {} tasks: {}",
                        m.name(),
                        m.assignments().size(),
                        why);
                m.instance().setTerminating(true);
                cluster.freeCapacity().update(m);
            }
        }
        delete();
    }

    /** Why a machine is taken for lost; null: it is not. */
    private String whyLost(Machine m, boolean settled, Set<Machine> lost) {
        long now = environment.now();
        long quiet =
                now - Math.max(since, m.instance().requestedAt()); // a new leader has not been there to hear it before
        boolean missing = m.instance().missingSince() != 0 && now - m.instance().missingSince() > listLagMs / 2;
        if (missing && (fleet.failures().silent(m) || !m.agent().heardThisTerm())) {
            // Listed before and not listed now: it is gone. Deleting it is free and makes that certain.
            return "it is not listed any more";
        }
        if (settled && neverCameUp(m, now)) {
            return "it never came up";
        }
        boolean unknown = !m.agent().heardThisTerm()
                && !m.instance().listed()
                && !m.assignments().isEmpty()
                && list.known();
        if (settled && unknown && quiet > 2 * listLagMs + leaseMs) {
            return "nobody knows it";
        }
        if (lost.contains(m) && links.permitsGivingUp(m.name())) {
            // the deletion proves sooner than the lease that its tasks are gone
            return m.spot() ? "it was taken without a word" : "it is silent, though its zone is not";
        }
        boolean lapsed = m.agent().expiredIncarnation() >= m.agent().incarnation()
                && m.assignments().isEmpty()
                && !m.instance().booting();
        if (lapsed
                && Math.min(quiet, now - m.agent().lastHeardAt()) > SILENT_LEASES * leaseMs
                && links.permitsGivingUp(m.name())) {
            return "it is silent";
        }
        if (settled
                && m.agent().unreachableSince() != 0
                && now - m.agent().unreachableSince() > SILENT_LEASES * leaseMs
                && links.permitsGivingUp(m.name())) {
            return "it reports, but nothing that it is told reaches it";
        }
        return null;
    }

    private static boolean neverCameUp(Machine m, long now) {
        return !m.agent().heardThisTerm()
                && m.instance().booting()
                && m.type() != null
                && m.assignments().isEmpty()
                && m.instance().requestedAt() != 0
                && now - m.instance().requestedAt()
                        > BOOT_PATIENCE * 1000 * m.type().bootS();
    }

    private static boolean empty(Machine m) {
        return m.agent().heardThisTerm() && m.assignments().isEmpty();
    }

    private boolean shallNotBeUsed(Machine m) {
        return empty(m)
                && !fleet.failures().silent(m)
                && (m.instance().reclaimNoticeS() >= 0
                        || m.instance().quarantined()
                        || m.instance().draining());
    }

    private boolean idle(Machine m) {
        long now = environment.now();
        return empty(m)
                && m.type() != null
                && !m.agent().hasOrphanTasks()
                && now - m.instance().idleSince() > idleMs(m)
                && now - m.instance().requestedAt() > PAID_MS;
    }

    private boolean keepsCancelledTask(Machine m) {
        for (TaskAssignment c : m.assignments().values()) {
            if (c.job().cancelled()
                    && c.stopRequestedAt() > 0
                    && environment.now() - c.stopRequestedAt() > cancelPatienceMs) {
                return true;
            }
        }
        return false;
    }

    /** A machine is kept for a while: renting another takes its boot time. */
    private long idleMs(Machine m) {
        return Math.round(1000
                * cluster.operatorSettings().number(OperatorSettings.IDLE_BOOTS)
                * m.type().bootS());
    }

    private void delete() {
        List<String> names = new ArrayList<>();
        for (Machine m : cluster.machines().values()) {
            if (m.instance().terminating() && names.size() < MAX_DELETE) {
                names.add(m.name());
            }
        }
        if (deleting || names.isEmpty() || !cloud.mayCall()) {
            return;
        }
        deleting = true;
        cloud.call("POST", "/hosts/delete", Messages.deletionRequest(names), (status, body) -> {
            deleting = false;
            if (status == 200) {
                for (String name : names) {
                    Machine m = cluster.machines().get(name);
                    if (m != null) {
                        fleet.deleted(m);
                    }
                }
            }
        });
    }

    /** CPUs free on ordinary machines beyond what is kept for critical work. */
    private double spareCpus() {
        double free = 0;
        double critical = 0;
        double largest = 0;
        for (Machine m : cluster.machines().values()) {
            if (m.schedulable() && !m.spot()) {
                free += m.type().cpus() - m.usedCpus();
            }
            for (TaskAssignment c : m.assignments().values()) {
                if (c.job().spec().priority() == JobSpec.Priority.CRITICAL) {
                    critical += c.job().spec().cpus();
                    largest = Math.max(largest, c.job().spec().cpus());
                }
            }
        }
        return free - Math.max(largest, critical * cluster.operatorSettings().number(OperatorSettings.SPARE_SHARE));
    }
}
