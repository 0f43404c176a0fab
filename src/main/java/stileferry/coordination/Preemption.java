package stileferry.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import stileferry.protocol.JobSpec;
import stileferry.protocol.Settings;

/**
 * Makes room for tasks that may ask for it: by stopping work of lower priority, or work that another team runs
 * beyond its guarantee when the waiting job is within its own. Least loss first, and only if it makes the room.
 */
final class Preemption {
    private final Board board;
    private final Placement placement;

    /** CPUs and GPUs that teams are giving back already. */
    private final Map<String, double[]> givenBack = new HashMap<>();

    Preemption(Board board, Placement placement) {
        this.board = board;
        this.placement = placement;
    }

    /** A stop that was decided: the task and how long it may save. */
    record Stop(Claim victim, double graceS, Job forJob) {}

    /** Decides for the waiting jobs, in queue order; room already being made is kept for the first that fit it. */
    List<Stop> decide(List<Job> waiting, long now, long urgentAfterMs, long timeOfDay) {
        List<Stop> stops = new ArrayList<>();
        Set<Claim> going = new HashSet<>();
        givenBack.clear();
        for (Machine m : board.machines.values()) {
            for (Claim c : m.claims.values()) {
                if (c.stopping()) {
                    give(going, c);
                }
            }
        }
        Map<String, double[]> promised = new HashMap<>(); // cpus, gpus, memory kept for earlier waiting tasks
        for (Job job : waiting) {
            if (!mayPreempt(job, timeOfDay, urgentAfterMs) || !board.withinLimit(job)) {
                continue;
            }
            if (job.spec.gang() && job.waitingCount() > 1) {
                continue; // room for a part of a gang helps nobody, so nothing is stopped for it
            }
            int tasks = job.waitingCount();
            for (int n = 0; n < tasks; n++) {
                if (!makeRoom(job, now, going, promised, stops)) {
                    break;
                }
            }
        }
        return stops;
    }

    private void give(Set<Claim> going, Claim claim) {
        going.add(claim);
        double[] sum = givenBack.computeIfAbsent(claim.job.spec.team(), n -> new double[2]);
        sum[0] += claim.job.spec.cpus();
        sum[1] += claim.job.spec.gpus();
    }

    private boolean mayPreempt(Job job, long timeOfDay, long urgentAfterMs) {
        return job.withinGuarantee || job.spec.priority().compareTo(JobSpec.Priority.URGENT) <= 0
                || job.spec.priority() == JobSpec.Priority.NORMAL && timeOfDay - job.acceptedAt > urgentAfterMs;
    }

    private boolean makeRoom(Job job, long now, Set<Claim> going, Map<String, double[]> promised,
            List<Stop> stops) {
        Machine best = null;
        List<Claim> bestVictims = null;
        long bestLoss = Long.MAX_VALUE;
        for (Machine m : board.machines.values()) {
            if (!placement.allowed(job, m, now)) {
                continue;
            }
            List<Claim> victims = victims(job, m, now, going, promised.getOrDefault(m.name, new double[3]));
            if (victims == null) {
                continue;
            }
            long loss = 0;
            for (Claim v : victims) {
                loss += 1 + v.lossMs(now);
            }
            if (loss < bestLoss) {
                bestLoss = loss;
                best = m;
                bestVictims = victims;
            }
        }
        if (best == null) {
            return false;
        }
        double[] kept = promised.computeIfAbsent(best.name, n -> new double[3]);
        kept[0] += job.spec.cpus();
        kept[1] += job.spec.gpus();
        kept[2] += job.spec.memoryGb();
        for (Claim v : bestVictims) {
            give(going, v);
            stops.add(new Stop(v, hurry(job, v) ? 0 : v.job.spec.saveS(), job));
        }
        return true;
    }

    /** Saving takes time; work that has to start within a few seconds can't wait for it. */
    private boolean hurry(Job job, Claim victim) {
        if (job.spec.priority() == JobSpec.Priority.CRITICAL) {
            return true;
        }
        for (Settings.Objective aim : board.settings.objectives()) {
            if (job.withinGuarantee && aim.kind().equals("guarantee") && aim.withinS() < 2 * victim.job.spec.saveS()) {
                return true;
            }
        }
        return false;
    }

    /** The tasks to stop on this machine so that one more task of the job fits; null when that can't be done. */
    private List<Claim> victims(Job job, Machine m, long now, Set<Claim> going, double[] kept) {
        double cpus = m.type.cpus() - kept[0] - job.spec.cpus();
        double gpus = m.type.gpus() - kept[1] - job.spec.gpus();
        double memory = m.type.memoryGb() - kept[2] - job.spec.memoryGb();
        List<Claim> candidates = new ArrayList<>();
        double givenCpus = 0;
        double givenGpus = 0;
        for (Claim c : m.claims.values()) {
            if (going.contains(c)) {
                continue;
            }
            cpus -= c.job.spec.cpus();
            gpus -= c.job.spec.gpus();
            memory -= c.job.spec.memoryGb();
            if (mayStop(job, c, 0, 0)) {
                candidates.add(c);
            }
        }
        candidates.sort(Comparator.<Claim>comparingInt(c -> -c.job.spec.priority().ordinal())
                .thenComparingLong(c -> c.lossMs(now)));
        List<Claim> victims = new ArrayList<>();
        for (Claim c : candidates) {
            if (fits(cpus, gpus, memory)) {
                break;
            }
            if (mayStop(job, c, givenCpus, givenGpus)) {
                victims.add(c);
                cpus += c.job.spec.cpus();
                gpus += c.job.spec.gpus();
                memory += c.job.spec.memoryGb();
                givenCpus += c.job.spec.cpus();
                givenGpus += c.job.spec.gpus();
            }
        }
        return fits(cpus, gpus, memory) ? victims : null;
    }

    private static boolean fits(double cpus, double gpus, double memory) {
        return cpus > -1e-6 && gpus > -1e-6 && memory > -1e-6;
    }

    private boolean mayStop(Job job, Claim c, double givenCpus, double givenGpus) {
        if (job.spec.priority().compareTo(c.job.spec.priority()) < 0) {
            return true;
        }
        // A team's guarantee could also be met by stopping more urgent work of another. That work would come back at
        // once as the head of the queue and be stopped again: on one day a service was stopped five times so.
        if (job.spec.priority().compareTo(c.job.spec.priority()) > 0) {
            return false;
        }
        double[] back = givenBack.getOrDefault(c.job.spec.team(), new double[2]);
        return job.withinGuarantee && !c.job.withinGuarantee && !c.job.spec.team().equals(job.spec.team())
                && board.beyondGuarantee(c.job.spec.team(), back[0] + givenCpus, back[1] + givenGpus);
    }
}
