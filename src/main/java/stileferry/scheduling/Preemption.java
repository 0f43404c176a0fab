package stileferry.scheduling;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.cluster.TaskAssignment;
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

    /** Others may save first if so many saves fit into the time within which the work shall start. */
    private static final double SAVES_WITHIN_AIM = 2;

    /** The share of its time to start that a gang waits for free room before others are stopped for it. */
    private static final double GANG_PATIENCE = 0.25;

    private static final double[] NOTHING = new double[3];

    private final ClusterState cluster;
    private final Placement placement;
    private int looksLeft;

    Preemption(ClusterState cluster, Placement placement) {
        this.cluster = cluster;
        this.placement = placement;
    }

    /** A stop that was decided: the task and how long it may save. */
    record Stop(TaskAssignment victim, double graceS, Job forJob) {}

    /** What has been decided so far in one turn. It can be copied, to try out one way to make room among several. */
    private static final class Plan {
        final List<Stop> stops = new ArrayList<>();

        /** Claims that are stopping, or will be. */
        final Set<TaskAssignment> going = new HashSet<>();

        /** CPUs, GPUs and memory on machines that are kept for waiting tasks considered earlier. */
        final Map<String, double[]> promised = new HashMap<>();

        /** CPUs and GPUs that teams are giving back already. */
        final Map<String, double[]> givenBack = new HashMap<>();

        /** Images that the tasks whose room was made have yet to fetch. */
        int fetches;

        /** Waiting tasks for which room was found, with the machine. */
        final List<Map.Entry<Job, Machine>> placed = new ArrayList<>();

        /** The work that the stops lose. */
        long loss;

        Plan copy() {
            Plan copy = new Plan();
            copy.stops.addAll(stops);
            copy.going.addAll(going);
            promised.forEach((machine, kept) -> copy.promised.put(machine, kept.clone()));
            givenBack.forEach((team, sum) -> copy.givenBack.put(team, sum.clone()));
            copy.placed.addAll(placed);
            copy.fetches = fetches;
            copy.loss = loss;
            return copy;
        }

        /** Takes in that a claimed task is stopped, and with it the rest of its gang. */
        void stop(TaskAssignment victim) {
            if (victim.job().spec().gang()) {
                victim.job().assignments().values().stream()
                        .filter(c -> !going.contains(c))
                        .forEach(this::give);
            } else {
                give(victim);
            }
        }

        void give(TaskAssignment claim) {
            going.add(claim);
            double[] sum = givenBack.computeIfAbsent(claim.job().spec().team(), n -> new double[2]);
            sum[0] += claim.job().spec().cpus();
            sum[1] += claim.job().spec().gpus();
        }

        void promise(Machine machine, Job job) {
            double[] kept = promised.computeIfAbsent(machine.name(), n -> new double[3]);
            kept[0] += job.spec().cpus();
            kept[1] += job.spec().gpus();
            kept[2] += job.spec().memoryGb();
            placed.add(Map.entry(job, machine));
        }

        boolean betterThan(Plan other) {
            return other == null || fetches < other.fetches || fetches == other.fetches && loss < other.loss;
        }
    }

    /** Decides for the waiting jobs, in queue order; room already being made is kept for the first that fit it. */
    List<Stop> decide(List<Job> waiting, long now, long urgentAfterMs, long timeOfDay) {
        Plan plan = new Plan();
        cluster.stoppingTasks().forEach(plan::give);
        Map<List<Object>, Placement.UnplaceableRequests> unplaceable = new HashMap<>();
        looksLeft = LOOKS_PER_MACHINE * cluster.machines().size() + LEAST_LOOKS;
        for (Job job : waiting) {
            if (looksLeft <= 0) {
                break; // the rest in a later turn
            }
            if (!mayPreempt(job, timeOfDay, urgentAfterMs) || !cluster.withinTeamLimit(job) || !anyToStop(job)) {
                continue;
            }
            if (job.spec().gang()) {
                plan = makeRoomForAll(job, now, plan);
                continue;
            }
            Placement.UnplaceableRequests same = unplaceable.computeIfAbsent(
                    List.of(job.spec().priority(), job.withinQuota(), job.spec().team()),
                    k -> new Placement.UnplaceableRequests());
            if (!same.cover(job) && makeRoom(job, null, now, plan) == 0) {
                same.add(job);
            }
        }
        cluster.reservations().clear();
        plan.placed.forEach(task -> cluster.reservations().add(task.getKey(), task.getValue()));
        return plan.stops;
    }

    /** Whether anything runs that might be stopped for this job; spares looking at every machine. */
    private boolean anyToStop(Job job) {
        if (cluster.anyOfLowerPriority(job.spec().priority())) {
            return true;
        }
        if (job.withinQuota()) {
            for (Settings.Team team : cluster.settings().teams()) {
                if (!team.name().equals(job.spec().team()) && cluster.exceedsQuota(team.name(), 0, 0)) {
                    return true;
                }
            }
        }
        return false;
    }

    private boolean mayPreempt(Job job, long timeOfDay, long urgentAfterMs) {
        if (job.withinQuota() || job.spec().priority().compareTo(JobSpec.Priority.URGENT) <= 0) {
            return true;
        }
        long waitedMs = timeOfDay - job.acceptedAt();
        // a machine to be rented boots too late for a gang that is to start soon, so it doesn't wait for one
        double patienceMs = job.spec().gang()
                ? Math.min(urgentAfterMs, GANG_PATIENCE * 1000 * placement.startAim(job))
                : urgentAfterMs;
        return job.spec().priority() == JobSpec.Priority.NORMAL && waitedMs > patienceMs;
    }

    /**
     * Room for a part of a gang helps nobody: it is made for all its tasks or not at all, and where they must be in one
     * zone, in the one where least has to be fetched and lost. Returns the plan to go on with.
     */
    private Plan makeRoomForAll(Job job, long now, Plan before) {
        int tasks = job.pendingCount();
        Plan best = null;
        for (String zone :
                job.spec().oneZone() ? cluster.settings().zones() : Collections.<String>singletonList(null)) {
            Plan here = before.copy();
            if (makeRoom(job, zone, now, here) == tasks && here.betterThan(best)) {
                best = here;
            }
        }
        return best == null ? before : best;
    }

    /** One machine where room can be made, with what that costs. */
    private record Option(Machine machine, List<TaskAssignment> victims, boolean fetch, long loss) {}

    /** Makes room for as many waiting tasks of a job as can be, in one zone or (null) in any; returns for how many. */
    private int makeRoom(Job job, String zone, long now, Plan plan) {
        PriorityQueue<Option> options = new PriorityQueue<>(Comparator.comparing(Option::fetch)
                .thenComparingLong(Option::loss)
                .thenComparing(Option::machine));
        for (Machine machine : cluster.machines().values()) {
            if (machine.agent().heardThisTerm()
                    && (zone == null || zone.equals(machine.zone()))
                    && placement.allowed(job, machine, now)) {
                looksLeft--;
                offer(options, option(job, machine, now, plan));
            }
        }
        int made = 0;
        int tasks = job.pendingCount();
        while (made < tasks && looksLeft > 0 && !options.isEmpty()) {
            Option best = options.poll();
            looksLeft--;
            // what was decided since may have made it dearer, or not allowed any more
            Option again = option(job, best.machine, now, plan);
            if (again == null || again.loss > best.loss) {
                offer(options, again);
                continue;
            }
            plan.promise(best.machine, job);
            plan.fetches += again.fetch ? 1 : 0;
            plan.loss += again.loss;
            for (TaskAssignment assignment : again.victims) {
                plan.stop(assignment);
                plan.stops.add(new Stop(
                        assignment,
                        hurry(job, assignment) ? 0 : assignment.job().spec().checkpointSaveS(),
                        job));
            }
            made++;
            offer(options, option(job, best.machine, now, plan));
        }
        return made;
    }

    private static void offer(PriorityQueue<Option> options, Option option) {
        if (option != null) {
            options.add(option);
        }
    }

    private Option option(Job job, Machine machine, long now, Plan plan) {
        List<TaskAssignment> victims = victims(job, machine, now, plan);
        if (victims == null) {
            return null;
        }
        long loss = 0;
        for (TaskAssignment assignment : victims) {
            loss += assignment.preemptionCostMs(now);
        }
        boolean fetch = placement.needsImage(job, machine.type())
                && !machine.hasImage(job.spec().image());
        return new Option(machine, victims, fetch, loss);
    }

    /** Saving takes time; work that has to start within a few seconds can't wait for it. */
    private boolean hurry(Job job, TaskAssignment victim) {
        double saves = SAVES_WITHIN_AIM * victim.job().spec().checkpointSaveS();
        if (job.spec().priority() == JobSpec.Priority.CRITICAL
                || job.spec().gang() && placement.startAim(job) < saves) {
            return true;
        }
        for (Settings.ServiceLevelObjective aim : cluster.settings().objectives()) {
            if (job.withinQuota() && aim.kind().equals("guarantee") && aim.withinS() < saves) {
                return true;
            }
        }
        return false;
    }

    /** The tasks to stop on this machine so that one more task of the job fits; null when that can't be done. */
    private List<TaskAssignment> victims(Job job, Machine machine, long now, Plan plan) {
        double[] kept = plan.promised.getOrDefault(machine.name(), NOTHING);
        double cpus = machine.type().cpus() - kept[0] - job.spec().cpus();
        double gpus = machine.type().gpus() - kept[1] - job.spec().gpus();
        double memory = machine.type().memoryGb() - kept[2] - job.spec().memoryGb();
        List<TaskAssignment> candidates = new ArrayList<>();
        double givenCpus = 0;
        double givenGpus = 0;
        for (TaskAssignment assignment : machine.assignments().values()) {
            if (plan.going.contains(assignment)) {
                continue;
            }
            cpus -= assignment.job().spec().cpus();
            gpus -= assignment.job().spec().gpus();
            memory -= assignment.job().spec().memoryGb();
            if (!(assignment.startedOverdue() && assignment.runtimeMs(now) < OVERDUE_RUN_MS)
                    && mayStop(job, assignment, plan, 0, 0)) {
                candidates.add(assignment);
            }
        }
        candidates.sort(Comparator.<TaskAssignment>comparingInt(
                        c -> -c.job().spec().priority().ordinal())
                .thenComparingLong(c -> c.preemptionCostMs(now)));
        List<TaskAssignment> victims = new ArrayList<>();
        for (TaskAssignment assignment : candidates) {
            if (fits(cpus, gpus, memory)) {
                break;
            }
            if (mayStop(job, assignment, plan, givenCpus, givenGpus)) {
                victims.add(assignment);
                cpus += assignment.job().spec().cpus();
                gpus += assignment.job().spec().gpus();
                memory += assignment.job().spec().memoryGb();
                givenCpus += assignment.job().spec().cpus();
                givenGpus += assignment.job().spec().gpus();
            }
        }
        return fits(cpus, gpus, memory) ? victims : null;
    }

    private static boolean fits(double cpus, double gpus, double memory) {
        return cpus > -1e-6 && gpus > -1e-6 && memory > -1e-6;
    }

    private boolean mayStop(Job job, TaskAssignment assignment, Plan plan, double givenCpus, double givenGpus) {
        if (job.spec().priority().compareTo(assignment.job().spec().priority()) < 0) {
            return true;
        }
        // A team's guarantee could also be met by stopping more urgent work of another. That work would come back at
        // once as the head of the queue and be stopped again: on one day a service was stopped five times so.
        if (job.spec().priority().compareTo(assignment.job().spec().priority()) > 0) {
            return false;
        }
        double[] back = plan.givenBack.getOrDefault(assignment.job().spec().team(), new double[2]);
        return job.withinQuota()
                && !assignment.job().withinQuota()
                && !assignment.job().spec().team().equals(job.spec().team())
                && cluster.exceedsQuota(assignment.job().spec().team(), back[0] + givenCpus, back[1] + givenGpus);
    }
}
