package stileferry.cli;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import stileferry.standin.Worker;

/** Every begin and end of a task on the workers, in order, and the invariants that these violate. */
final class TaskHistory implements Worker.Watcher {
    private final List<Entry> entries = new ArrayList<>();

    /** One begin or end. */
    record Entry(long atMs, String task, String machine, boolean start) {}

    @Override
    public synchronized void started(String task, Worker worker) {
        add(new Entry(System.nanoTime() / 1_000_000, task, worker.machine(), true));
    }

    @Override
    public synchronized void ended(String task, Worker worker) {
        add(new Entry(System.nanoTime() / 1_000_000, task, worker.machine(), false));
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

    /** Tasks that are on a machine now, by job. */
    synchronized long runningTasks(String job) {
        return machinesOfRunningTasks().keySet().stream()
                .filter(task -> task.startsWith(job + "/"))
                .count();
    }

    private Map<String, String> machinesOfRunningTasks() {
        Map<String, String> on = new HashMap<>();
        for (Entry entry : entries) {
            if (entry.start) {
                on.put(entry.task, entry.machine);
            } else {
                on.remove(entry.task, entry.machine);
            }
        }
        return on;
    }

    /**
     * Violations: a task at two places, more CPUs of limited jobs at once than their team may use.
     *
     * @param limited the jobs of the team that has a limit, with the CPUs of each of their tasks
     */
    synchronized List<String> findViolations(Map<String, Double> limited, double limit) {
        List<String> problems = new ArrayList<>();
        Map<String, String> on = new HashMap<>();
        double used = 0;
        for (Entry entry : entries) {
            double cpus = limited.getOrDefault(entry.task.substring(0, entry.task.indexOf('/')), 0.0);
            if (entry.start) {
                String before = on.put(entry.task, entry.machine);
                if (before != null) {
                    problems.add(entry.task + " on " + before + " and " + entry.machine);
                }
                used += cpus;
                if (used > limit + 1e-6) {
                    problems.add(entry.task + " brings the team to " + used + " CPUs");
                }
            } else if (on.remove(entry.task, entry.machine)) {
                used -= cpus;
            }
        }
        return problems;
    }
}
