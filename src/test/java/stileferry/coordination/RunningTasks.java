package stileferry.coordination;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import stileferry.protocol.JobSpec;
import stileferry.standin.Worker;

/** Which task runs on which machine, as the machines themselves know it. */
public final class RunningTasks implements Worker.Watcher {
    private final SimulatedCluster cluster;

    /** Machine and zone of each task. */
    private final Map<String, String> placementByTask = new HashMap<>();

    /** Tasks on machines, by job: with thousands of tasks they can't be counted at every tick. */
    private final Map<String, Integer> taskCountByJob = new HashMap<>();

    /** Starts of tasks since the beginning. */
    public int starts;

    /** Ends of tasks since the beginning. */
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
    public void started(String task, Worker worker) {
        starts++;
        SimulatedUser user = cluster.users.get(jobIdOf(task));
        user.startedAt = user.startedAt == 0 ? cluster.now : user.startedAt;
        cluster.invariants.checkStart(user, task, worker);
        if (placementByTask.put(task, placement(worker)) == null) {
            taskCountByJob.merge(user.spec.id(), 1, Integer::sum);
        }
        cluster.invariants.checkQuota(user.spec.team());
    }

    @Override
    public void ended(String task, Worker worker) {
        if (placementByTask.remove(task, placement(worker))) {
            taskCountByJob.merge(jobIdOf(task), -1, Integer::sum);
        }
        ends++;
    }

    /** Machine and zone of each running task. */
    Map<String, String> placements() {
        return placementByTask;
    }

    /** The machines that have a task of this job. */
    Set<String> machinesOf(SimulatedUser user) {
        Set<String> names = new TreeSet<>();
        placementByTask.forEach((task, on) -> {
            if (task.startsWith(user.spec.id() + "/")) {
                names.add(on.substring(0, on.indexOf('|')));
            }
        });
        return names;
    }

    /** Tasks of this job that are on machines. */
    public long running(SimulatedUser user) {
        return taskCountByJob.getOrDefault(user.spec.id(), 0);
    }

    /** Tasks that are on one machine now. */
    long runningOn(String machine) {
        return placementByTask.values().stream()
                .filter(on -> on.startsWith(machine + "|"))
                .count();
    }

    /** Tasks that are on machines now. */
    int running() {
        return placementByTask.size();
    }

    /** A machine with a task on it. */
    String busyMachine() {
        String on = new TreeMap<>(placementByTask).firstEntry().getValue();
        return on.substring(0, on.indexOf('|'));
    }

    /** The CPUs that a team's running tasks use. */
    double cpusInUse(String team) {
        double sum = 0;
        for (String task : placementByTask.keySet()) {
            JobSpec spec = cluster.users.get(jobIdOf(task)).spec;
            sum += spec.team().equals(team) ? spec.cpus() : 0;
        }
        return sum;
    }
}
