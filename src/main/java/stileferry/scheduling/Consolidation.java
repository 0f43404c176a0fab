package stileferry.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.cluster.TaskAssignment;
import stileferry.protocol.OperatorSettings;

/**
 * Drains machines that the work no longer needs, so that they can be returned: nothing new starts there, arrays run
 * out, and services move to machines that hold their image, where they start at once. When jobs wait, as many drains
 * end as their tasks need.
 */
final class Consolidation {
    private static final Logger LOG = LoggerFactory.getLogger("consolidation");

    /** Boot times for which next to nothing may have waited. */
    private static final double CALM_BOOT_TIMES = 1.0;

    /** Share of all CPUs that may be waited for in calm times: with many jobs, one or the other always waits. */
    private static final double CALM_SHARE = 0.01;

    /** Share of the machines that are drained at the same time: each holds images that are missed. */
    private static final double DRAINING_SHARE = 0.03;

    /** Share of the machines from which one service task each may move in one step. */
    private static final double MOVING_SHARE = 0.01;

    /** A replica runs this long before it is moved: a start that is undone sooner counts for nothing. */
    private static final long MIN_RUN_MS = 35_000;

    private final ClusterState cluster;
    private final PlacementConstraints constraints;
    private final Consumer<TaskAssignment> evict;
    private long calmSince;

    /** Which machines are drained, which may be, and what these and the others offer. */
    private static final class Usage {
        final List<Machine> draining = new ArrayList<>();

        /** Ordinary machines with work, which may be drained. */
        final List<Machine> candidates = new ArrayList<>();

        /** CPUs of all schedulable machines with work. */
        double totalCpus;

        /** Free CPUs of the candidates. */
        double freeCpus;
    }

    /** {@code now}: when the leader began; {@code evict} stops a task, which starts elsewhere. */
    Consolidation(ClusterState cluster, Placement placement, long now, Consumer<TaskAssignment> evict) {
        this.cluster = cluster;
        this.constraints = placement.constraints();
        this.calmSince = now;
        this.evict = evict;
    }

    /** One step, after a regular pass that left these jobs waiting. */
    void run(List<Job> waiting, long now) {
        double wantedCpus = wantedCpus(waiting);
        Usage usage = usage();
        if (wantedCpus > CALM_SHARE * usage.totalCpus) {
            calmSince = now;
        }
        if (wantedCpus > 0) {
            endDrains(usage.draining, wantedCpus);
        } else {
            moveServiceTasks(usage.draining, now);
            startDrains(usage, now);
        }
    }

    private double wantedCpus(List<Job> waiting) {
        double wantedCpus = 0;
        for (Job job : waiting) {
            if (cluster.withinTeamLimit(job)) {
                wantedCpus += job.pendingCount() * job.spec().cpus();
            }
        }
        return wantedCpus;
    }

    private Usage usage() {
        Usage usage = new Usage();
        for (Machine machine : cluster.machines().values()) {
            if (machine.instance().draining() && !machine.instance().terminating()) {
                usage.draining.add(machine);
            } else if (machine.schedulable() && !machine.assignments().isEmpty()) {
                usage.totalCpus += machine.type().cpus();
                if (!machine.spot()) {
                    usage.candidates.add(machine);
                    usage.freeCpus += machine.freeCpus();
                }
            }
        }
        return usage;
    }

    /** Lets machines take new tasks again, those with most work first, until they have capacity for what waits. */
    private static void endDrains(List<Machine> draining, double wantedCpus) {
        draining.sort(Comparator.comparingDouble(machine -> -machine.usedCpus()));
        double freeCpus = 0;
        for (Machine machine : draining) {
            if (freeCpus >= wantedCpus) {
                return;
            }
            machine.instance().endDrain();
            freeCpus += machine.freeCpus();
        }
    }

    /** Drains the machines with least work, as long as that work fits elsewhere and enough stays free. */
    private void startDrains(Usage usage, long now) {
        int mostMore = 1 + (int) (cluster.machines().size() * DRAINING_SHARE) - usage.draining.size();
        List<Machine> candidates = usage.candidates;
        candidates.sort(Comparator.comparingDouble(Machine::usedCpus).thenComparing(machine -> machine));
        double freeCpus = usage.freeCpus;
        for (Machine machine : candidates.subList(0, Math.max(0, Math.min(mostMore, candidates.size())))) {
            double keepFree = Math.max(
                    machine.type().cpus(),
                    usage.totalCpus * cluster.operatorSettings().number(OperatorSettings.EMPTY_SHARE));
            double freeElsewhere = freeCpus - machine.freeCpus();
            if (now - calmSince < CALM_BOOT_TIMES * 1000 * machine.type().bootS()
                    || freeElsewhere < machine.usedCpus() + keepFree) {
                return;
            }
            LOG.info(
                    "machine draining: machine={} tasks={} free_cpus_elsewhere={}",
                    machine.name(),
                    machine.assignments().size(),
                    freeElsewhere);
            machine.instance().drain();
            freeCpus = freeElsewhere - machine.usedCpus();
        }
    }

    /** Moves one service task of a drained machine at a time, once only services are left there. */
    private void moveServiceTasks(List<Machine> draining, long now) {
        int movesLeft = 1 + (int) (cluster.machines().size() * MOVING_SHARE);
        for (Machine machine : draining) {
            TaskAssignment task = movesLeft == 0 ? null : movableTask(machine, now);
            if (task != null && fitsElsewhere(task, machine, now)) {
                evict.accept(task);
                movesLeft--;
            }
        }
    }

    /** The task to move from a machine next; null: none may, or not all that is left there may. */
    private static TaskAssignment movableTask(Machine machine, long now) {
        TaskAssignment last = null;
        for (TaskAssignment assignment : machine.assignments().values()) {
            if (!assignment.job().spec().isService()
                    || assignment.stopping()
                    || assignment.runningSince() == 0
                    || assignment.runtimeMs(now) < MIN_RUN_MS) {
                return null;
            }
            last = assignment;
        }
        return last;
    }

    private boolean fitsElsewhere(TaskAssignment assignment, Machine from, long now) {
        Job job = assignment.job();
        boolean[] found = new boolean[1];
        cluster.freeCapacity()
                .visitWithAtLeast(
                        job.spec().cpus(),
                        machine -> found[0] |= machine != from
                                && machine.hasImage(job.spec().image())
                                && machine.fits(job)
                                && constraints.allow(job, machine, now));
        return found[0];
    }
}
