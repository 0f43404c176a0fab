package stileferry.coordination;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import stileferry.protocol.JobSpec;
import stileferry.standin.Worker;

/** Tracks which task runs on which machine, as reported by the simulated machines and not by the controllers. */
public final class RunningTasks implements Worker.TaskListener {
    private final SimulatedCluster cluster;

    /** By running task, its machine and zone, joined by a vertical bar. */
    private final Map<String, String> placementByTask = new HashMap<>();

    /** The number of running tasks by job; counting thousands of tasks anew at every tick would be too slow. */
    private final Map<String, Integer> taskCountByJobId = new HashMap<>();

    /** The number of task starts since the simulation began. */
    public int starts;

    /** The number of task ends since the simulation began, for any reason. */
    int ends;

    RunningTasks(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    static String jobIdOf(String task) {
        return task.substring(0, task.indexOf('/'));
    }

    private static String placement(Worker worker) {
        return worker.machine() + "|" + worker.zone();
    }

    @Override
    public void taskStarted(String task, Worker worker) {
        starts++;
        SimulatedUser user = cluster.users.get(jobIdOf(task));
        user.startedAt = user.startedAt == 0 ? cluster.now : user.startedAt;
        cluster.invariants.checkStart(user, task, worker);
        if (placementByTask.put(task, placement(worker)) == null) {
            taskCountByJobId.merge(user.spec.id(), 1, Integer::sum);
        }
        cluster.invariants.checkQuota(user.spec.team());
    }

    @Override
    public void taskEnded(String task, Worker worker) {
        if (placementByTask.remove(task, placement(worker))) {
            taskCountByJobId.merge(jobIdOf(task), -1, Integer::sum);
        }
        ends++;
    }

    @Override
    public void clearedAttemptStarted(String attemptId, Worker worker) {
        cluster.violations.add("started_again: " + attemptId + " on " + worker.machine());
    }

    /** Returns the machine and zone of each running task, as {@code machine|zone}, by task id. */
    Map<String, String> placements() {
        return placementByTask;
    }

    /** Returns the machines on which tasks of a job run. */
    Set<String> machinesOf(SimulatedUser user) {
        Set<String> names = new TreeSet<>();
        placementByTask.forEach((task, placement) -> {
            if (task.startsWith(user.spec.id() + "/")) {
                names.add(placement.substring(0, placement.indexOf('|')));
            }
        });
        return names;
    }

    /** Returns the number of running tasks of a job. */
    public long running(SimulatedUser user) {
        return taskCountByJobId.getOrDefault(user.spec.id(), 0);
    }

    /** Returns the number of tasks that run on a machine. */
    long runningOn(String machine) {
        return placementByTask.values().stream()
                .filter(placement -> placement.startsWith(machine + "|"))
                .count();
    }

    /** Returns the number of running tasks in the cluster. */
    int running() {
        return placementByTask.size();
    }

    /** Returns the machine of the running task with the lowest id; a task must be running. */
    String busyMachine() {
        String placement = new TreeMap<>(placementByTask).firstEntry().getValue();
        return placement.substring(0, placement.indexOf('|'));
    }

    /** Returns the CPUs that the running tasks of a team take. */
    double cpusInUse(String team) {
        double sum = 0;
        for (String task : placementByTask.keySet()) {
            JobSpec spec = cluster.users.get(jobIdOf(task)).spec;
            sum += spec.team().equals(team) ? spec.cpus() : 0;
        }
        return sum;
    }
}
