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

/** A scheduling pass: starts what fits, preempts, and on regular passes scales out and drains machines. */
public final class SchedulingPass {
    private static final Logger LOG = LoggerFactory.getLogger("leader");

    private final ClusterState cluster;
    private final Environment environment;
    private final LinkHealth links;
    private final Placement placement;
    private final Preemption preemption;
    private final Autoscaler autoscaler;
    private final Consolidation consolidation;
    private final TaskLifecycle tasks;

    /** Passes over one leader's queue. */
    public SchedulingPass(
            ClusterState cluster,
            Environment environment,
            LinkHealth links,
            Placement placement,
            Autoscaler autoscaler,
            TaskLifecycle tasks) {
        this.cluster = cluster;
        this.environment = environment;
        this.links = links;
        this.placement = placement;
        this.preemption = new Preemption(cluster, placement);
        this.autoscaler = autoscaler;
        this.consolidation =
                new Consolidation(cluster, placement, environment.now(), assignment -> tasks.stop(assignment, 0));
        this.tasks = tasks;
    }

    /**
     * Runs one pass.
     *
     * @param regular whether the cluster may be scaled out and machines drained too, which is done once an interval
     * @param settled whether all machines that can report have reported in this term
     */
    public void run(boolean regular, boolean settled) {
        if (cluster.machineTypes().isEmpty() || !links.permitsTaskStart()) {
            return;
        }
        long now = environment.now();
        boolean mayRearrange = settled && links.permitsPreemption();
        boolean preempts = mayRearrange && cluster.operatorSettings().flag(OperatorSettings.PREEMPTION);
        List<Job> waiting = placement.pass(now, environment.timeOfDay(), preempts, this::start);
        cluster.reservations().clear();
        if (preempts) {
            preempt(waiting, now);
        }
        waiting.removeIf(job -> placement.imageHoldBack().heldBack(job, now)); // capacity is being freed for it
        if (settled && regular && !waiting.isEmpty() && links.permitsScaleOut()) {
            autoscaler.scaleOut(waiting);
        }
        if (regular && mayRearrange) {
            consolidation.run(waiting, now);
        }
    }

    private void start(Job job, List<Machine> machines) {
        boolean overdue = placement.overdue(job, environment.timeOfDay());
        cluster.reservations().remove(job);
        tasks.start(job, machines, overdue);
    }

    private void preempt(List<Job> waiting, long now) {
        long bootMs = Math.round(1000 * cluster.machineTypes().get(0).bootS());
        for (Preemption.Stop stop : preemption.decide(waiting, now, bootMs, environment.timeOfDay())) {
            LOG.debug(
                    "task preempted: task={} for_job={}",
                    stop.victim().taskId(),
                    stop.forJob().spec().id());
            tasks.stop(stop.victim(), stop.graceS());
        }
    }
}
