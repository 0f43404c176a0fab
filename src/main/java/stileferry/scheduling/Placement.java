package stileferry.scheduling;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;

/**
 * Decides what runs where: JR-backfilling orders the jobs, the lowest average bounded slowdown selects the machine
 * (Rodero, Guim, Corbalan: "Performance-driven Coordinated Grid Scheduling", section III). Times are milliseconds on
 * the controller's steady clock, unless they are said to be times of day.
 */
public final class Placement {
    private final ClusterState cluster;
    private final QueueOrder queueOrder;
    private final StartObjectives startObjectives;
    private final PlacementConstraints constraints;
    private final MachineSelector selector;
    private final GangPlacement gangPlacement;
    private final ImageHoldBack imageHoldBack;
    private boolean stoppedEarly;

    /** Placement on the machines of one leader's model. */
    public Placement(ClusterState cluster) {
        this.cluster = cluster;
        this.queueOrder = new QueueOrder(cluster);
        this.startObjectives = new StartObjectives(cluster.settings());
        this.constraints = new PlacementConstraints(cluster);
        this.selector = new MachineSelector(cluster, constraints, startObjectives);
        this.gangPlacement = new GangPlacement(cluster, selector, startObjectives);
        this.imageHoldBack = new ImageHoldBack(cluster, constraints, startObjectives);
    }

    /**
     * One pass over the queue. A pass that has started enough for one turn stops early, see {@link #stoppedEarly}.
     *
     * @param preempts whether work may be preempted, so that some tasks may be held back for it
     * @param start assigns the next pending task of a job, or all tasks of a gang, to the machines
     * @return the jobs that still wait for capacity, in queue order; the caller may change the list
     */
    List<Job> pass(long now, long timeOfDay, boolean preempts, BiConsumer<Job, List<Machine>> start) {
        BackfillPass pass = new BackfillPass(cluster, this, now, timeOfDay, preempts, start);
        List<Job> waiting = pass.run();
        stoppedEarly = pass.stoppedEarly();
        return waiting;
    }

    /** Whether the last pass stopped before everything that fits was started. */
    public boolean stoppedEarly() {
        return stoppedEarly;
    }

    /** The jobs with a pending task that may start now, in queue order. */
    public List<Job> queue(long now, long timeOfDay) {
        return queueOrder.queue(now, timeOfDay);
    }

    /** Requested CPUs, GPUs and memory over the largest machine type's, summed. */
    public double rank(Job job) {
        return queueOrder.rank(job.spec());
    }

    /** Why the next task of this job is pending, in words for operators. */
    public String pendingReason(Job job, long now) {
        return constraints.pendingReason(job, now);
    }

    /** Whether a job waits too long for its first task, so that it goes first; the time of day is in milliseconds. */
    boolean overdue(Job job, long timeOfDay) {
        return queueOrder.overdue(job, timeOfDay);
    }

    /** A usable machine for the next task of a job, or one for each task of a gang; empty: there is none. */
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

    ImageHoldBack imageHoldBack() {
        return imageHoldBack;
    }
}
