package stileferry.scheduling;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;

/**
 * Decides which tasks run on which machines. JR-backfilling selects the next job, and the lowest average bounded
 * slowdown selects the machine (Rodero, Guim, Corbalan: "Performance-driven Coordinated Grid Scheduling", section III).
 * Times are milliseconds on the controller's steady clock, except {@code timeOfDay}, which is the wall-clock time in
 * milliseconds since the epoch.
 */
public final class Placement {
    /** The number of starts after which a pass ends unless it is limited further; the rest follows in the next pass. */
    public static final int MAX_STARTS = 400;

    private final ClusterState cluster;
    private final QueueOrder queueOrder;
    private final StartObjectives startObjectives;
    private final PlacementConstraints constraints;
    private final MachineSelector selector;
    private final GangPlacement gangPlacement;
    private final ImageLocalityDelay imageLocalityDelay;
    private int maxStarts = MAX_STARTS;
    private boolean stoppedEarly;

    /** Creates the placement on the machines of a leader's cluster model. */
    public Placement(ClusterState cluster) {
        this.cluster = cluster;
        this.queueOrder = new QueueOrder(cluster);
        this.startObjectives = new StartObjectives(cluster.settings());
        this.constraints = new PlacementConstraints(cluster);
        this.selector = new MachineSelector(cluster, constraints, startObjectives);
        this.gangPlacement = new GangPlacement(cluster, selector, startObjectives);
        this.imageLocalityDelay = new ImageLocalityDelay(cluster, constraints, startObjectives);
    }

    /**
     * Runs one pass over the queue. A pass that has reached its limit of starts stops early, see {@link #stoppedEarly}.
     *
     * @param preemptionEnabled whether tasks may be preempted, so that starts may be delayed until capacity is freed
     * @param start assigns the next pending task of a job, or all tasks of a gang, to the machines
     * @return the jobs that still wait for capacity, in queue order; the caller may change the list
     */
    List<Job> runPass(long now, long timeOfDay, boolean preemptionEnabled, BiConsumer<Job, List<Machine>> start) {
        BackfillPass pass = new BackfillPass(cluster, this, now, timeOfDay, preemptionEnabled, maxStarts, start);
        List<Job> waiting = pass.run();
        stoppedEarly = pass.stoppedEarly();
        return waiting;
    }

    /** Sets the number of starts after which a pass stops. */
    public void limitStarts(int newMaxStarts) {
        maxStarts = newMaxStarts;
    }

    /** Returns whether the last pass stopped before it had started everything that fits. */
    public boolean stoppedEarly() {
        return stoppedEarly;
    }

    /** Returns the jobs with a pending task that may start now, in queue order. */
    public List<Job> queue(long now, long timeOfDay) {
        return queueOrder.queue(now, timeOfDay);
    }

    /** Returns the sum of the CPUs, GPUs and memory of one task, each relative to the largest machine type. */
    public double rank(Job job) {
        return queueOrder.rank(job.spec());
    }

    /** Returns why the next task of this job is pending, as a text for operators. */
    public String pendingReason(Job job, long now) {
        return constraints.pendingReason(job, now);
    }

    /** Returns whether a job has waited too long for its first task, so that it goes before all others. */
    boolean overdue(Job job, long timeOfDay) {
        return queueOrder.overdue(job, timeOfDay);
    }

    /** Returns whether a job, if it waits, has waited for so long that later jobs have to stand back. */
    boolean waitsTooLong(Job job, long timeOfDay) {
        return queueOrder.waitsTooLong(job, timeOfDay);
    }

    /**
     * Returns a machine for the next task of a job, or one for each task of a gang, or an empty list if they don't fit.
     */
    List<Machine> select(Job job, Predicate<Machine> usable, long now) {
        if (job.spec().isGang()) {
            return gangPlacement.select(job, usable, now);
        }
        Machine machine = selector.select(job, usable, now);
        return machine == null ? List.of() : List.of(machine);
    }

    QueueOrder queueOrder() {
        return queueOrder;
    }

    StartObjectives startObjectives() {
        return startObjectives;
    }

    PlacementConstraints constraints() {
        return constraints;
    }

    MachineSelector selector() {
        return selector;
    }

    ImageLocalityDelay imageLocalityDelay() {
        return imageLocalityDelay;
    }
}
