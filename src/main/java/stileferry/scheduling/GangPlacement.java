package stileferry.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.cluster.TaskAssignment;

/** Gang scheduling: selects machines for all tasks of a gang, or for none of them. */
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
     * Returns a machine for every task of a gang, in the order of the tasks, or an empty list if not all tasks fit. If
     * all tasks have to run in one zone, the zone of the best machine is tried first. The other zones are tried if that
     * zone lacks capacity for the remaining tasks, or to reduce the number of image pulls if the gang can't wait for a
     * pull without missing its start objective.
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
            List<Machine> inZone =
                    trySelect(gang, usable.and(machine -> machine.zone().equals(zone)), now);
            if (best.isEmpty() || !inZone.isEmpty() && imagePullCount(gang, inZone) < imagePullCount(gang, best)) {
                best = inZone;
            }
        }
        return best;
    }

    private boolean shouldSeekFewerPulls(Job gang, List<Machine> machines) {
        return imagePullCount(gang, machines) != 0
                && objectives.requiresCachedImage(gang, machines.get(0).type());
    }

    /** Returns the number of these machines, one for each task, that do not have the job's image. */
    static int imagePullCount(Job job, List<Machine> machines) {
        int count = 0;
        for (Machine machine : machines) {
            count += machine.hasImage(job.spec().image()) ? 0 : 1;
        }
        return count;
    }

    /** Selects a machine for one task after another, using trial assignments that are removed before it returns. */
    private List<Machine> trySelect(Job gang, Predicate<Machine> usable, long now) {
        List<Machine> machines = new ArrayList<>();
        List<TaskAssignment> trialAssignments = new ArrayList<>();
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
            trialAssignments.add(trial);
            index = gang.nextUnassignedTask(index);
        }
        trialAssignments.forEach(trial -> cluster.unassign(trial, false));
        return machines;
    }
}
