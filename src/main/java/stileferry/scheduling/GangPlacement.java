package stileferry.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.cluster.TaskAssignment;

/** Gang scheduling: machines for all tasks of a gang, or none. */
final class GangPlacement {
    private final ClusterState cluster;
    private final MachineSelector selector;
    private final StartObjectives objectives;

    GangPlacement(ClusterState cluster, MachineSelector selector, StartObjectives objectives) {
        this.cluster = cluster;
        this.selector = selector;
        this.objectives = objectives;
    }

    /**
     * A machine for every task of a gang, in the order of the tasks; empty: there are not enough. Where all must be in
     * one zone, that of the best machine comes first. It may lack capacity for the rest, so the other zones are tried
     * too; and where the gang's start can't wait for an image pull, they are tried for one with fewer pulls.
     */
    List<Machine> select(Job gang, Predicate<Machine> usable, long now) {
        List<Machine> best = trySelect(gang, usable, now);
        if (!gang.spec().oneZone()) {
            return best;
        }
        for (String zone : cluster.settings().zones()) {
            if (!best.isEmpty() && !shouldSeekFewerPulls(gang, best)) {
                return best;
            }
            List<Machine> here =
                    trySelect(gang, usable.and(machine -> machine.zone().equals(zone)), now);
            if (best.isEmpty() || !here.isEmpty() && imagePullCount(gang, here) < imagePullCount(gang, best)) {
                best = here;
            }
        }
        return best;
    }

    private boolean shouldSeekFewerPulls(Job gang, List<Machine> machines) {
        return imagePullCount(gang, machines) != 0
                && objectives.requiresCachedImage(gang, machines.get(0).type());
    }

    /** The number of tasks whose machine does not hold the job's image. */
    static int imagePullCount(Job job, List<Machine> machines) {
        int pulls = 0;
        for (Machine machine : machines) {
            pulls += machine.hasImage(job.spec().image()) ? 0 : 1;
        }
        return pulls;
    }

    /** Selects one machine after the other with trial assignments, which are taken back at once. */
    private List<Machine> trySelect(Job gang, Predicate<Machine> usable, long now) {
        List<Machine> machines = new ArrayList<>();
        List<TaskAssignment> trials = new ArrayList<>();
        int index = gang.nextUnassignedTask(0);
        while (index < gang.spec().taskCount()) {
            Machine machine = selector.select(gang, usable, now);
            if (machine == null) {
                machines.clear();
                break;
            }
            machines.add(machine);
            TaskAssignment trial = new TaskAssignment(
                    gang, index, 0, machine.name(), machine.agent().incarnation(), now);
            cluster.assign(trial);
            trials.add(trial);
            index = gang.nextUnassignedTask(index);
        }
        trials.forEach(trial -> cluster.unassign(trial, false));
        return machines;
    }
}
