package stileferry.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import stileferry.protocol.JobSpec;

/** What the tasks of gangs know of each other, for all workers of one deployment, after the published protocol. */
public final class GangSimulation {
    private final long waitMs;
    private final long peerMs;
    private final Map<String, Gang> gangs = new HashMap<>();

    /** Progress of jobs that is safe, in milliseconds. */
    private final Map<String, Long> saved = new HashMap<>();

    private static final class Gang {
        final JobSpec spec;
        final Map<String, Worker.Task> members = new HashMap<>();
        long startedAt = -1;
        long lostAt = -1;
        long firstKillAt = -1;
        int told;

        Gang(JobSpec spec) {
            this.spec = spec;
        }
    }

    /** Gangs whose tasks wait so long for the others, and notice within such a time that one is gone. */
    public GangSimulation(double waitS, double peerS) {
        waitMs = Math.round(1000 * waitS);
        peerMs = Math.round(1000 * peerS);
    }

    private static String key(Worker.Task task) {
        return task.spec.id() + "#" + task.attempt;
    }

    private Gang of(Worker.Task task) {
        return gangs.computeIfAbsent(key(task), k -> new Gang(task.spec));
    }

    /** A task has its image; it waits, and when it is the last, all of them start. */
    void ready(Worker.Task task, long now) {
        Gang gang = of(task);
        gang.members.put(task.name, task);
        task.state = "waiting";
        task.until = now + waitMs;
        if (gang.members.size() == gang.spec.taskCount() && gang.startedAt < 0) {
            gang.startedAt = now;
            for (Worker.Task t : gang.members.values()) {
                t.state = "running";
                t.worker.changed();
            }
        }
    }

    private long left(Gang gang) {
        return Math.round(1000 * gang.spec.estimateS()) - saved.getOrDefault(gang.spec.id(), 0L);
    }

    /** Lets time pass for a task that has its image; the reason for which it exits now, or null. */
    String tick(Worker.Task task, long now) {
        Gang gang = of(task);
        if (gang.startedAt < 0) {
            return now >= task.until ? "incomplete" : null;
        }
        if (gang.firstKillAt >= 0) { // a save is under way
            boolean all = gang.told == gang.spec.taskCount() && gang.lostAt < 0;
            if (task.state.equals("saving") && all && now >= task.until) {
                saved.merge(gang.spec.id(), gang.firstKillAt - gang.startedAt, Long::sum);
                gang.startedAt = gang.firstKillAt; // once only
                task.kept = true;
                return "halted";
            }
            return !all && now >= gang.firstKillAt + peerMs ? "peers" : null;
        }
        if (gang.lostAt >= 0) {
            return now >= gang.lostAt + peerMs / 2 ? "peers" : null;
        }
        if (now >= gang.startedAt + left(gang)) {
            for (Worker.Task t : new ArrayList<>(gang.members.values())) {
                t.worker.exit(t, "done");
            }
        }
        return null;
    }

    /** A running task is told to save; whether it does so. */
    boolean save(Worker.Task task, long now) {
        Gang gang = of(task);
        boolean noticedLoss = gang.lostAt >= 0 && now >= gang.lostAt + peerMs / 2;
        if (gang.startedAt < 0 || noticedLoss) {
            return false;
        }
        gang.firstKillAt = gang.firstKillAt < 0 ? now : gang.firstKillAt;
        gang.told++;
        return true;
    }

    /** A task is not on its machine any more. */
    void gone(Worker.Task task, String why, long now) {
        Gang gang = of(task);
        gang.members.remove(task.name, task);
        if (gang.startedAt >= 0 && !why.equals("done") && !task.kept && gang.lostAt < 0) {
            gang.lostAt = now;
            long every = Math.round(1000 * gang.spec.checkpointIntervalS());
            long ran = saved.getOrDefault(gang.spec.id(), 0L)
                    + (gang.firstKillAt < 0 ? now : gang.firstKillAt)
                    - gang.startedAt;
            saved.put(gang.spec.id(), every > 0 ? ran / every * every : 0);
        }
        if (gang.members.isEmpty()) {
            gangs.remove(key(task));
        }
    }

    /** Jobs with tasks of more than one attempt at a time, which must never be. */
    public List<String> jobsWithMixedAttempts() {
        Map<String, Integer> attempts = new HashMap<>();
        gangs.values().stream()
                .filter(g -> !g.members.isEmpty())
                .forEach(g -> attempts.merge(g.spec.id(), 1, Integer::sum));
        return attempts.entrySet().stream()
                .filter(e -> e.getValue() > 1)
                .map(Map.Entry::getKey)
                .toList();
    }
}
