package stileferry.cli;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import stileferry.standin.Worker;

/** Records all starts and ends of tasks on the workers, in order, and checks invariants on them. */
final class TaskHistory implements Worker.TaskListener {
    private final List<Entry> entries = new ArrayList<>();
    private final List<String> startedAgain = new ArrayList<>();

    /**
     * The start or end of a task on a machine.
     *
     * @param start true for a start, false for an end
     */
    record Entry(long atMs, String task, String machine, boolean start) {}

    @Override
    public synchronized void taskStarted(String task, Worker worker) {
        add(new Entry(now(), task, worker.machine(), true));
    }

    @Override
    public synchronized void taskEnded(String task, Worker worker) {
        add(new Entry(now(), task, worker.machine(), false));
    }

    @Override
    public synchronized void clearedAttemptStarted(String attemptId, Worker worker) {
        startedAgain.add(attemptId + " started again on " + worker.machine());
    }

    /** Returns the time in milliseconds on the clock of the entries. */
    static long now() {
        return System.nanoTime() / 1_000_000;
    }

    synchronized void add(Entry entry) {
        entries.add(entry);
    }

    synchronized int startCount() {
        return (int) entries.stream().filter(Entry::start).count();
    }

    synchronized List<Entry> entries() {
        return List.copyOf(entries);
    }

    /** Returns the number of the job's tasks that are running now. */
    synchronized long runningTasks(String job) {
        return machinesOfRunningTasks().keySet().stream()
                .filter(task -> task.startsWith(job + "/"))
                .count();
    }

    private Map<String, String> machinesOfRunningTasks() {
        Map<String, String> machines = new HashMap<>();
        for (Entry entry : entries) {
            if (entry.start) {
                machines.put(entry.task, entry.machine);
            } else {
                machines.remove(entry.task, entry.machine);
            }
        }
        return machines;
    }

    /**
     * Returns the violations found: a start of an attempt that was cleared, a task that runs on two machines, or
     * running tasks of the limited jobs that use more CPUs than their team may.
     *
     * @param cpusPerTask the jobs of the team that has a limit, with the CPUs of each of their tasks
     * @param maxCpus the team's limit
     */
    synchronized List<String> findViolations(Map<String, Double> cpusPerTask, double maxCpus) {
        List<String> violations = new ArrayList<>(startedAgain);
        Map<String, String> machines = new HashMap<>();
        double usedCpus = 0;
        for (Entry entry : entries) {
            double cpus = cpusPerTask.getOrDefault(entry.task.substring(0, entry.task.indexOf('/')), 0.0);
            if (entry.start) {
                String otherMachine = machines.put(entry.task, entry.machine);
                if (otherMachine != null) {
                    violations.add(entry.task + " on " + otherMachine + " and " + entry.machine);
                }
                usedCpus += cpus;
                if (usedCpus > maxCpus + 1e-6) {
                    violations.add(entry.task + " brings the team to " + usedCpus + " CPUs");
                }
            } else if (machines.remove(entry.task, entry.machine)) {
                usedCpus -= cpus;
            }
        }
        return violations;
    }
}
