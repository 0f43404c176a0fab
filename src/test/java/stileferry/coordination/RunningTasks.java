package stileferry.coordination;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import stileferry.protocol.JobSpec;
import stileferry.standin.Worker;

/** Which task runs on which machine, as the machines themselves know it. */
public final class RunningTasks implements Worker.TaskListener {
    private final SimulatedCluster cluster;

    /** Machine and zone of each task. */
    private final Map<String, String> placeOf = new HashMap<>();

    /** Tasks on machines, by job: with thousands of tasks they can't be counted at every tick. */
    private final Map<String, Integer> countOf = new HashMap<>();

    /** Starts of tasks since the beginning. */
    public int starts;

    /** Ends of tasks since the beginning. */
    int ends;

    RunningTasks(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    static String jobOf(String task) {
        return task.substring(0, task.indexOf('/'));
    }

    private static String place(Worker worker) {
        return worker.machine() + "|" + worker.zone();
    }

    @Override
    public void taskStarted(String task, Worker worker) {
        starts++;
        SimulatedUser user = cluster.users.get(jobOf(task));
        user.startedAt = user.startedAt == 0 ? cluster.now : user.startedAt;
        cluster.invariants.checkStart(user, task, worker);
        if (placeOf.put(task, place(worker)) == null) {
            countOf.merge(user.spec.id(), 1, Integer::sum);
        }
        cluster.invariants.checkQuota(user.spec.team());
    }

    @Override
    public void taskEnded(String task, Worker worker) {
        if (placeOf.remove(task, place(worker))) {
            countOf.merge(jobOf(task), -1, Integer::sum);
        }
        ends++;
    }

    /** Machine and zone of each running task. */
    Map<String, String> places() {
        return placeOf;
    }

    /** The machines that have a task of this job. */
    Set<String> machinesOf(SimulatedUser user) {
        Set<String> names = new TreeSet<>();
        placeOf.forEach((task, on) -> {
            if (task.startsWith(user.spec.id() + "/")) {
                names.add(on.substring(0, on.indexOf('|')));
            }
        });
        return names;
    }

    /** Tasks of this job that are on machines. */
    public long running(SimulatedUser user) {
        return countOf.getOrDefault(user.spec.id(), 0);
    }

    /** Tasks that are on one machine now. */
    long runningOn(String machine) {
        return placeOf.values().stream()
                .filter(on -> on.startsWith(machine + "|"))
                .count();
    }

    /** Tasks that are on machines now. */
    int running() {
        return placeOf.size();
    }

    /** A machine with a task on it. */
    String machineInUse() {
        String on = new TreeMap<>(placeOf).firstEntry().getValue();
        return on.substring(0, on.indexOf('|'));
    }

    /** The CPUs that a team's running tasks use. */
    double cpusOf(String team) {
        double sum = 0;
        for (String task : placeOf.keySet()) {
            JobSpec spec = cluster.users.get(jobOf(task)).spec;
            sum += spec.team().equals(team) ? spec.cpus() : 0;
        }
        return sum;
    }
}
