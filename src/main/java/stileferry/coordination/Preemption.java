package stileferry.coordination;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import stileferry.protocol.JobSpec;
import stileferry.protocol.Settings;

/**
 * Makes room for tasks that may ask for it: by stopping work of lower priority, or work that another team runs
 * beyond its guarantee when the waiting job is within its own. Least loss first, and only if it makes the room.
 */
final class Preemption {
    /** Machines looked at in one turn, as a multiple of all. */
    private static final int LOOKS_PER_MACHINE = 6;

    /** Looks that cost little whatever the size, so that a small fleet decides for all jobs in each turn. */
    private static final int LEAST_LOOKS = 2000;

    /** The first task of a job that had waited too long runs for so long before it may be stopped. */
    private static final long OVERDUE_RUN_MS = 30_000;

    private static final double[] NOTHING = new double[3];

    private final Board board;
    private final Placement placement;
    private int looksLeft;

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
        board.stopping.forEach(c -> give(going, c));
        Map<String, double[]> promised = new HashMap<>(); // cpus, gpus, memory kept for earlier waiting tasks
        Map<List<Object>, Placement.Misfits> misfits = new HashMap<>();
        looksLeft = LOOKS_PER_MACHINE * board.machines.size() + LEAST_LOOKS;
        for (Job job : waiting) {
            if (looksLeft <= 0) {
                break; // the rest in a later turn
            }
            if (!mayPreempt(job, timeOfDay, urgentAfterMs) || !board.withinLimit(job) || !anyToStop(job)) {
                continue;
            }
            if (job.spec.gang()) {
                makeRoomForAll(job, now, going, promised, stops);
                continue;
            }
            Placement.Misfits same = misfits.computeIfAbsent(List.of(job.spec.priority(), job.withinGuarantee,
                    job.spec.team()), k -> new Placement.Misfits());
            if (!same.cover(job) && makeRoom(job, null, now, going, promised, stops) == 0) {
                same.add(job);
            }
        }
        return stops;
    }

    /** Whether anything runs that might be stopped for this job; spares looking at every machine. */
    private boolean anyToStop(Job job) {
        if (board.anyBelow(job.spec.priority())) {
            return true;
        }
        if (job.withinGuarantee) {
            for (Settings.Team team : board.settings.teams()) {
                if (!team.name().equals(job.spec.team()) && board.beyondGuarantee(team.name(), 0, 0)) {
                    return true;
                }
            }
        }
        return false;
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

    /** Room for a part of a gang helps nobody: it is made for all its tasks, where they may be together, or not at all. */
    private void makeRoomForAll(Job job, long now, Set<Claim> going, Map<String, double[]> promised, List<Stop> stops) {
        int tasks = job.waitingCount();
        for (String zone : job.spec.oneZone() ? board.settings.zones() : Collections.<String>singletonList(null)) {
            Set<Claim> goingThen = new HashSet<>(going);
            Map<String, double[]> promisedThen = new HashMap<>();
            promised.forEach((machine, kept) -> promisedThen.put(machine, kept.clone()));
            Map<String, double[]> givenBefore = new HashMap<>();
            givenBack.forEach((team, sum) -> givenBefore.put(team, sum.clone()));
            List<Stop> stopsThen = new ArrayList<>();
            if (makeRoom(job, zone, now, goingThen, promisedThen, stopsThen) == tasks) {
                going.addAll(goingThen);
                promised.putAll(promisedThen);
                stops.addAll(stopsThen);
                return;
            }
            givenBack.clear();
            givenBack.putAll(givenBefore);
        }
    }

    /** One machine where room can be made, with what that costs. */
    private record Option(Machine machine, List<Claim> victims, boolean fetch, long loss) {}

    /** Makes room for as many waiting tasks of a job as can be, in one zone or (null) in any; returns for how many. */
    private int makeRoom(Job job, String zone, long now, Set<Claim> going, Map<String, double[]> promised, List<Stop> stops) {
        PriorityQueue<Option> options = new PriorityQueue<>(Comparator.comparing(Option::fetch)
                .thenComparingLong(Option::loss).thenComparing(Option::machine));
        for (Machine m : board.machines.values()) {
            if (m.heard && (zone == null || zone.equals(m.zone)) && placement.allowed(job, m, now)) {
                offer(options, option(job, m, now, going, promised));
            }
        }
        looksLeft -= board.machines.size();
        int made = 0;
        int tasks = job.waitingCount();
        while (made < tasks && looksLeft > 0 && !options.isEmpty()) {
            Option best = options.poll();
            looksLeft--;
            // what was decided since may have made it dearer, or not allowed any more
            Option again = option(job, best.machine, now, going, promised);
            if (again == null || again.loss > best.loss) {
                offer(options, again);
                continue;
            }
            double[] kept = promised.computeIfAbsent(best.machine.name, n -> new double[3]);
            kept[0] += job.spec.cpus();
            kept[1] += job.spec.gpus();
            kept[2] += job.spec.memoryGb();
            for (Claim v : again.victims) {
                give(going, v);
                stops.add(new Stop(v, hurry(job, v) ? 0 : v.job.spec.saveS(), job));
            }
            made++;
            offer(options, option(job, best.machine, now, going, promised));
        }
        return made;
    }

    private static void offer(PriorityQueue<Option> options, Option option) {
        if (option != null) {
            options.add(option);
        }
    }

    private Option option(Job job, Machine m, long now, Set<Claim> going, Map<String, double[]> promised) {
        List<Claim> victims = victims(job, m, now, going, promised.getOrDefault(m.name, NOTHING));
        if (victims == null) {
            return null;
        }
        long loss = 0;
        for (Claim v : victims) { // a gang is stopped whole
            loss += (1 + v.lossMs(now)) * (v.job.spec.gang() ? v.job.claims.size() : 1);
        }
        boolean fetch = placement.needsImage(job, m.type) && !m.hasImage(job.spec.image());
        return new Option(m, victims, fetch, loss);
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
            if (!(c.overdue && c.ranMs(now) < OVERDUE_RUN_MS) && mayStop(job, c, 0, 0)) {
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
