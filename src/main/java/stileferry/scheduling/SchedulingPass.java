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

/** One pass over the queue: what fits is started, room is made, machines are rented and emptied. */
public final class SchedulingPass {
    private static final Logger LOG = LoggerFactory.getLogger("leader");

    private final ClusterState cluster;
    private final Environment environment;
    private final LinkHealth links;
    private final Placement placement;
    private final Preemption preemption;
    private final Autoscaler provisioning;
    private final Consolidation consolidation;
    private final TaskLifecycle tasks;

    public SchedulingPass(
            ClusterState cluster,
            Environment environment,
            LinkHealth links,
            Placement placement,
            Autoscaler provisioning,
            TaskLifecycle tasks) {
        this.cluster = cluster;
        this.environment = environment;
        this.links = links;
        this.placement = placement;
        this.preemption = new Preemption(cluster, placement);
        this.provisioning = provisioning;
        this.consolidation = new Consolidation(cluster, placement, environment.now(), claim -> tasks.stop(claim, 0));
        this.tasks = tasks;
    }

    /**
     * Carries a pass out.
     *
     * @param regular whether machines may be rented and emptied too, which is done once an interval
     * @param settled whether all workers that can report have reported in this term
     */
    public void run(boolean regular, boolean settled) {
        if (cluster.machineTypes().isEmpty() || !links.permitsTaskStart()) {
            return;
        }
        long now = environment.now();
        boolean rearranges = settled && links.permitsPreemption();
        boolean preempts = rearranges && cluster.operatorSettings().flag(OperatorSettings.PREEMPTION);
        List<Job> waiting = placement.pass(now, environment.timeOfDay(), preempts, this::start);
        cluster.reservations().clear();
        if (preempts) {
            makeRoom(waiting, now);
        }
        waiting.removeIf(job -> placement.keptBack(job, now)); // nothing is rented for it, and it is no lack of room
        if (settled && regular && !waiting.isEmpty() && links.permitsScaleOut()) {
            provisioning.scaleOut(waiting);
        }
        if (regular && rearranges) {
            consolidation.step(waiting, now);
        }
    }

    private void start(Job job, List<Machine> machines) {
        boolean overdue = placement.overdue(job, environment.timeOfDay());
        cluster.reservations().remove(job);
        tasks.start(job, machines, overdue);
    }

    private void makeRoom(List<Job> waiting, long now) {
        long urgentAfter = Math.round(1000 * cluster.machineTypes().get(0).bootS());
        for (Preemption.Stop stop : preemption.decide(waiting, now, urgentAfter, environment.timeOfDay())) {
            LOG.debug(
                    "stopping {} to make room for {}",
                    stop.victim().taskId(),
                    stop.forJob().spec().id());
            tasks.stop(stop.victim(), stop.graceS());
        }
    }
}
