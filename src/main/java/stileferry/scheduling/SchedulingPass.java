package stileferry.scheduling;

import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.autoscaling.Autoscaler;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.lifecycle.TaskLifecycle;
import stileferry.links.LinkHealth;
import stileferry.protocol.Environment;
import stileferry.protocol.OperatorSettings;

/**
 * Runs scheduling passes: starts tasks that fit, preempts tasks, and in regular passes scales out and drains machines.
 */
public final class SchedulingPass {
    private static final Logger LOG = LoggerFactory.getLogger("leader");

    private final ClusterState cluster;
    private final Environment environment;
    private final LinkHealth links;
    private final Placement placement;
    private final Preemption preemption;
    private final Autoscaler autoscaler;
    private final Consolidation consolidation;
    private final TaskLifecycle taskLifecycle;

    /** Creates the scheduling passes of one leader's term. */
    public SchedulingPass(
            ClusterState cluster,
            Environment environment,
            LinkHealth links,
            Placement placement,
            Autoscaler autoscaler,
            TaskLifecycle taskLifecycle) {
        this.cluster = cluster;
        this.environment = environment;
        this.links = links;
        this.placement = placement;
        this.preemption = new Preemption(cluster, placement);
        this.autoscaler = autoscaler;
        this.consolidation = new Consolidation(
                cluster, placement, environment.now(), assignment -> taskLifecycle.stop(assignment, 0));
        this.taskLifecycle = taskLifecycle;
    }

    /**
     * Runs one pass.
     *
     * @param regular whether this is the regular pass of an interval, which may also scale out and drain machines
     * @param allWorkersHeard whether all machines that can report have reported in this term
     */
    public void run(boolean regular, boolean allWorkersHeard) {
        if (cluster.machineTypes().isEmpty() || !links.permitsTaskStart()) {
            return;
        }
        long now = environment.now();
        boolean evictionsPermitted = allWorkersHeard && links.permitsPreemption();
        boolean preemptionEnabled =
                evictionsPermitted && cluster.operatorSettings().flag(OperatorSettings.PREEMPTION);
        List<Job> waiting = placement.runPass(now, environment.timeOfDay(), preemptionEnabled, this::start);
        cluster.reservations().clear();
        if (preemptionEnabled) {
            preempt(waiting, now);
        }
        waiting.removeIf(job -> placement.imageLocalityDelay().isDelayed(job, now)); // capacity is being freed for it
        if (allWorkersHeard && regular && !waiting.isEmpty() && links.permitsScaleOut()) {
            autoscaler.scaleOut(waiting);
        }
        if (regular && evictionsPermitted) {
            consolidation.run(waiting, now);
        }
    }

    private void start(Job job, List<Machine> machines) {
        boolean overdue = placement.overdue(job, environment.timeOfDay());
        cluster.reservations().remove(job);
        taskLifecycle.start(job, machines, overdue);
    }

    private void preempt(List<Job> waiting, long now) {
        long bootMs = Math.round(1000 * cluster.machineTypes().get(0).bootS());
        for (Preemption.PlannedPreemption planned : preemption.plan(waiting, now, bootMs, environment.timeOfDay())) {
            LOG.debug(
                    "task preempted: task={} for_job={}",
                    planned.victim().taskId(),
                    planned.preemptor().spec().id());
            taskLifecycle.stop(planned.victim(), planned.graceS());
        }
    }
}
