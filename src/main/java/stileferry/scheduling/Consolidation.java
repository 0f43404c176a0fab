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
 * Drains machines that are no longer needed, so that they can be returned. No new tasks start on a draining machine,
 * its array tasks run to their end, and its service tasks are moved to machines that have their image, where they start
 * immediately. When jobs wait for capacity, as many drains are ended as their tasks need.
 */
final class Consolidation {
    private static final Logger LOG = LoggerFactory.getLogger("consolidation");

    /** For how long demand must have been low before a machine is drained, in boot times of its type. */
    private static final double LOW_DEMAND_BOOT_TIMES = 1.0;

    /**
     * The share of all CPUs that waiting tasks may request while demand counts as low. It is above 0 because with many
     * jobs some job is always waiting.
     */
    private static final double LOW_DEMAND_CPU_SHARE = 0.01;

    /**
     * The share of the machines that are drained at the same time. It is limited because the images on drained machines
     * are no longer available to new tasks.
     */
    private static final double MAX_DRAINING_MACHINE_SHARE = 0.03;

    /** The share of the machines from which one service task each may be moved per pass. */
    private static final double MAX_MOVING_MACHINE_SHARE = 0.01;

    /** How long a service task must have run before it is moved; a start that is undone sooner counts for nothing. */
    private static final long MIN_RUNTIME_BEFORE_MOVE_MS = 35_000;

    private final ClusterState cluster;
    private final PlacementConstraints constraints;
    private final Consumer<TaskAssignment> evict;
    private long lowDemandSince;

    /** The draining machines, the machines that may be drained, and their capacity. */
    private static final class ClusterCapacity {
        final List<Machine> draining = new ArrayList<>();

        /** Schedulable on-demand machines with assigned tasks, which may be drained. */
        final List<Machine> candidates = new ArrayList<>();

        /** The CPUs of all schedulable machines with assigned tasks. */
        double totalCpus;

        /** The free CPUs of the candidates. */
        double freeCpus;
    }

    /**
     * Creates the consolidation of one term.
     *
     * @param now when the leader's term began
     * @param evict stops a task, which is then started on another machine
     */
    Consolidation(ClusterState cluster, Placement placement, long now, Consumer<TaskAssignment> evict) {
        this.cluster = cluster;
        this.constraints = placement.constraints();
        this.lowDemandSince = now;
        this.evict = evict;
    }

    /** Starts or ends drains and moves service tasks, after a regular pass that left these jobs waiting. */
    void run(List<Job> waiting, long now) {
        double pendingCpus = startableCpus(waiting);
        ClusterCapacity capacity = measureCapacity();
        if (pendingCpus > LOW_DEMAND_CPU_SHARE * capacity.totalCpus) {
            lowDemandSince = now;
        }
        if (pendingCpus > 0) {
            endDrains(capacity.draining, pendingCpus);
        } else {
            moveServiceTasks(capacity.draining, now);
            startDrains(capacity, now);
        }
    }

    private double startableCpus(List<Job> waiting) {
        double pendingCpus = 0;
        for (Job job : waiting) {
            pendingCpus += cluster.teamLimits().startableTasks(job) * job.spec().cpus();
        }
        return pendingCpus;
    }

    private ClusterCapacity measureCapacity() {
        ClusterCapacity capacity = new ClusterCapacity();
        for (Machine machine : cluster.machines().values()) {
            if (machine.instance().draining() && !machine.instance().terminating()) {
                capacity.draining.add(machine);
            } else if (machine.schedulable() && !machine.assignments().isEmpty()) {
                capacity.totalCpus += machine.type().cpus();
                if (!machine.spot()) {
                    capacity.candidates.add(machine);
                    capacity.freeCpus += machine.freeCpus();
                }
            }
        }
        return capacity;
    }

    /** Ends drains, starting with the machines with the most CPUs in use, until there is capacity for waiting tasks. */
    private static void endDrains(List<Machine> draining, double pendingCpus) {
        draining.sort(Comparator.comparingDouble(machine -> -machine.usedCpus()));
        double freeCpus = 0;
        for (Machine machine : draining) {
            if (freeCpus >= pendingCpus) {
                return;
            }
            machine.instance().endDrain();
            freeCpus += machine.freeCpus();
        }
    }

    /**
     * Drains the machines with the fewest CPUs in use, as long as the other candidates have that many CPUs free and
     * enough of them stay free.
     */
    private void startDrains(ClusterCapacity capacity, long now) {
        int maxNewDrains =
                1 + (int) (cluster.machines().size() * MAX_DRAINING_MACHINE_SHARE) - capacity.draining.size();
        List<Machine> candidates = capacity.candidates;
        candidates.sort(Comparator.comparingDouble(Machine::usedCpus).thenComparing(machine -> machine));
        double freeCpus = capacity.freeCpus;
        for (Machine machine : candidates.subList(0, Math.max(0, Math.min(maxNewDrains, candidates.size())))) {
            double requiredFreeCpus = Math.max(
                    machine.type().cpus(),
                    capacity.totalCpus * cluster.operatorSettings().number(OperatorSettings.EMPTY_SHARE));
            double freeCpusElsewhere = freeCpus - machine.freeCpus();
            if (now - lowDemandSince
                            < LOW_DEMAND_BOOT_TIMES * 1000 * machine.type().bootS()
                    || freeCpusElsewhere < machine.usedCpus() + requiredFreeCpus) {
                return;
            }
            LOG.info(
                    "machine draining: machine={} tasks={} free_cpus_elsewhere={}",
                    machine.name(),
                    machine.assignments().size(),
                    freeCpusElsewhere);
            machine.instance().startDrain();
            freeCpus = freeCpusElsewhere - machine.usedCpus();
        }
    }

    /**
     * Moves service tasks off draining machines, one per machine, once a machine has only movable service tasks left.
     */
    private void moveServiceTasks(List<Machine> draining, long now) {
        int movesLeft = 1 + (int) (cluster.machines().size() * MAX_MOVING_MACHINE_SHARE);
        for (Machine machine : draining) {
            TaskAssignment task = movesLeft == 0 ? null : movableTask(machine, now);
            if (task != null && fitsElsewhere(task, machine, now)) {
                evict.accept(task);
                movesLeft--;
            }
        }
    }

    /** Returns the next task to move off a machine, or null if none is left there or any of them may not be moved. */
    private static TaskAssignment movableTask(Machine machine, long now) {
        TaskAssignment candidate = null;
        for (TaskAssignment assignment : machine.assignments().values()) {
            if (!assignment.job().spec().isService()
                    || assignment.stopping()
                    || assignment.runningSince() == 0
                    || assignment.runtimeMs(now) < MIN_RUNTIME_BEFORE_MOVE_MS) {
                return null;
            }
            candidate = assignment;
        }
        return candidate;
    }

    private boolean fitsElsewhere(TaskAssignment assignment, Machine from, long now) {
        Job job = assignment.job();
        boolean[] found = new boolean[1];
        cluster.freeCapacity()
                .visitWithFreeCpus(
                        job.spec().cpus(),
                        machine -> found[0] |= machine != from
                                && machine.hasImage(job.spec().image())
                                && machine.fits(job)
                                && constraints.allow(job, machine, now));
        return found[0];
    }
}
