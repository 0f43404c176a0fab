package stileferry.cluster;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * How many more tasks of a job its zone constraints allow in each zone, beside its tasks that may be on machines and
 * those planned since.
 */
public final class ZoneAllowance {
    private final Job job;
    private Map<String, Integer> plannedByZone = Map.of();

    /** Creates an allowance without planned tasks. */
    public ZoneAllowance(Job job) {
        this.job = job;
    }

    /** Creates an allowance for a job whose tasks have to be in one zone, which admits them in this zone. */
    public static ZoneAllowance in(String zone, Job job) {
        ZoneAllowance allowance = new ZoneAllowance(job);
        allowance.plannedByZone = Map.of(zone, 0);
        return allowance;
    }

    /** Returns how many more tasks may be in a zone. */
    public int remaining(String zone) {
        if (job.spec().oneZone() && !(isOnly(zone, job.zonesWithTasks()) && isOnly(zone, plannedByZone.keySet()))) {
            return 0;
        }
        if (!job.spec().spreadAcrossZones()) {
            return Integer.MAX_VALUE;
        }
        // after a failover, machines whose zone is not known yet may be in this zone
        int possibleTasks = job.tasksInZone(zone) + job.tasksInZone("") + plannedByZone.getOrDefault(zone, 0);
        return Math.max(0, (job.spec().taskCount() + 1) / 2 - possibleTasks);
    }

    private static boolean isOnly(String zone, Set<String> zones) {
        return zones.isEmpty() || zones.size() == 1 && zones.contains(zone);
    }

    /** Records that this number of tasks is planned in a zone; 0 changes nothing. */
    public void plan(String zone, int tasks) {
        if (tasks > 0) {
            plannedByZone = new HashMap<>(plannedByZone);
            plannedByZone.merge(zone, tasks, Integer::sum);
        }
    }
}
