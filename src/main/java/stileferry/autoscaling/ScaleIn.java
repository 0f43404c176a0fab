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
import stileferry.protocol.CloudMessages;
import stileferry.protocol.Environment;
import stileferry.protocol.JobSpec;
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
        boolean mayReturnIdle = settled && links.permitsScaleIn();
        Set<Machine> lost = settled ? new HashSet<>(fleet.failureDetector().presumedLost(since)) : Set.of();
        for (Machine machine : cluster.machines().values()) {
            if (machine.instance().terminating()) {
                continue;
            }
            String why = whyLost(machine, settled, lost);
            if (why == null && mayReturnIdle && shallNotBeUsed(machine)) {
                why = "it is empty and shall not be used";
            } else if (why == null
                    && mayReturnIdle
                    && idle(machine)
                    && (machine.spot() || spare >= machine.type().cpus())) {
                why = "it is idle";
                spare -= machine.spot() ? 0 : machine.type().cpus();
            }
            if (keepsCancelledTask(machine)) {
                why = "a cancelled task on it can't be stopped";
            }
            if (why != null) {
                LOG.info(
                        "returning machine {} with {} tasks: {}",
                        machine.name(),
                        machine.assignments().size(),
                        why);
                machine.instance().terminate();
                cluster.freeCapacity().update(machine);
            }
        }
        delete();
    }

    /** Why a machine is taken for lost; null: it is not. */
    private String whyLost(Machine machine, boolean settled, Set<Machine> lost) {
        long now = environment.now();
        long quiet = now
                - Math.max(
                        since, machine.instance().requestedAt()); // a new leader has not been there to hear it before
        boolean missing = machine.instance().missingSince() != 0
                && now - machine.instance().missingSince() > listLagMs / 2;
        if (missing
                && (fleet.failureDetector().missedHeartbeats(machine)
                        || !machine.agent().heardThisTerm())) {
            // Listed before and not listed now: it is gone. Deleting it is free and makes that certain.
            return "it is not listed any more";
        }
        if (settled && neverCameUp(machine, now)) {
            return "it never came up";
        }
        boolean unknown = !machine.agent().heardThisTerm()
                && !machine.instance().listed()
                && !machine.assignments().isEmpty()
                && list.known();
        if (settled && unknown && quiet > 2 * listLagMs + leaseMs) {
            return "nobody knows it";
        }
        if (lost.contains(machine) && links.permitsRemovingMachine(machine.name())) {
            // the deletion proves sooner than the lease that its tasks are gone
            return machine.spot() ? "it was taken without a word" : "it is silent, though its zone is not";
        }
        return whySilent(machine, settled, now, quiet);
    }

    /** Why a machine is given up that no report comes from, or that nothing reaches; null: it is not. */
    private String whySilent(Machine machine, boolean settled, long now, long quiet) {
        boolean lapsed = machine.agent().expiredIncarnation() >= machine.agent().incarnation()
                && machine.assignments().isEmpty()
                && !machine.instance().booting();
        if (lapsed
                && Math.min(quiet, now - machine.agent().lastHeardAt()) > SILENT_LEASES * leaseMs
                && links.permitsRemovingMachine(machine.name())) {
            return "it is silent";
        }
        if (settled
                && machine.agent().unreachableSince() != 0
                && now - machine.agent().unreachableSince() > SILENT_LEASES * leaseMs
                && links.permitsRemovingMachine(machine.name())) {
            return "it reports, but nothing that it is told reaches it";
        }
        return null;
    }

    private static boolean neverCameUp(Machine machine, long now) {
        return !machine.agent().heardThisTerm()
                && machine.instance().booting()
                && machine.type() != null
                && machine.assignments().isEmpty()
                && machine.instance().requestedAt() != 0
                && now - machine.instance().requestedAt()
                        > BOOT_PATIENCE * 1000 * machine.type().bootS();
    }

    private static boolean empty(Machine machine) {
        return machine.agent().heardThisTerm() && machine.assignments().isEmpty();
    }

    private boolean shallNotBeUsed(Machine machine) {
        return empty(machine)
                && !fleet.failureDetector().missedHeartbeats(machine)
                && (machine.instance().reclaimNoticeS() >= 0
                        || machine.instance().quarantined()
                        || machine.instance().draining());
    }

    private boolean idle(Machine machine) {
        long now = environment.now();
        return empty(machine)
                && machine.type() != null
                && !machine.agent().hasOrphanTasks()
                && now - machine.instance().idleSince() > idleMs(machine)
                && now - machine.instance().requestedAt() > PAID_MS;
    }

    private boolean keepsCancelledTask(Machine machine) {
        for (TaskAssignment assignment : machine.assignments().values()) {
            if (assignment.job().cancelled()
                    && assignment.stopRequestedAt() > 0
                    && environment.now() - assignment.stopRequestedAt() > cancelPatienceMs) {
                return true;
            }
        }
        return false;
    }

    /** A machine is kept for a while: renting another takes its boot time. */
    private long idleMs(Machine machine) {
        return Math.round(1000
                * cluster.operatorSettings().number(OperatorSettings.IDLE_BOOTS)
                * machine.type().bootS());
    }

    private void delete() {
        List<String> names = new ArrayList<>();
        for (Machine machine : cluster.machines().values()) {
            if (machine.instance().terminating() && names.size() < MAX_DELETE) {
                names.add(machine.name());
            }
        }
        if (deleting || names.isEmpty() || !cloud.mayCall()) {
            return;
        }
        deleting = true;
        cloud.call("POST", "/hosts/delete", CloudMessages.deletionRequest(names), (status, body) -> {
            deleting = false;
            if (status == 200) {
                for (String name : names) {
                    Machine machine = cluster.machines().get(name);
                    if (machine != null) {
                        fleet.machineDeleted(machine);
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
        for (Machine machine : cluster.machines().values()) {
            if (machine.schedulable() && !machine.spot()) {
                free += machine.type().cpus() - machine.usedCpus();
            }
            for (TaskAssignment assignment : machine.assignments().values()) {
                if (assignment.job().spec().priority() == JobSpec.Priority.CRITICAL) {
                    critical += assignment.job().spec().cpus();
                    largest = Math.max(largest, assignment.job().spec().cpus());
                }
            }
        }
        return free - Math.max(largest, critical * cluster.operatorSettings().number(OperatorSettings.SPARE_SHARE));
    }
}
