package stileferry.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;

/**
 * One pass of JR-backfilling over the queue. It starts tasks of the head of the queue if they fit, otherwise of the
 * fitting job with the lowest product of rank and queue position, until nothing fits. A job whose tasks don't fit is
 * blocked for the rest of the pass.
 */
final class BackfillPass {
    private final ClusterState cluster;
    private final Placement placement;
    private final long now;
    private final long timeOfDay;
    private final boolean preemptionEnabled;
    private final int maxStarts;
    private final BiConsumer<Job, List<Machine>> start;

    private final List<QueuedJob> queue = new ArrayList<>();
    private final UnplaceableRequests unplaceableRequests = new UnplaceableRequests();
    private int unblockedCount;
    private int starts;
    private boolean startedOverdue;
    private HeadProtection headProtection;

    /** A job in the queue, with its rank and whether it is blocked for the rest of the pass. */
    private static final class QueuedJob {
        private final Job job;
        private final double rank;
        private boolean blocked;

        QueuedJob(Job job, double rank) {
            this.job = job;
            this.rank = rank;
        }
    }

    /** Creates a pass; for the parameters see {@link Placement#runPass}. */
    BackfillPass(
            ClusterState cluster,
            Placement placement,
            long now,
            long timeOfDay,
            boolean preemptionEnabled,
            int maxStarts,
            BiConsumer<Job, List<Machine>> start) {
        this.cluster = cluster;
        this.placement = placement;
        this.now = now;
        this.timeOfDay = timeOfDay;
        this.preemptionEnabled = preemptionEnabled;
        this.maxStarts = maxStarts;
        this.start = start;
    }

    /**
     * Runs the pass and returns the jobs that still wait for capacity, in queue order. Jobs that wait for their team's
     * limit are not among them.
     */
    List<Job> run() {
        placement.queueOrder().markWithinQuota();
        fillQueue();
        unblockedCount = queue.size();
        while (unblockedCount > 0 && starts < maxStarts) {
            tryToStart(nextPosition());
        }
        List<Job> waiting = new ArrayList<>(queue.size());
        queue.forEach(entry -> waiting.add(entry.job));
        return waiting;
    }

    /**
     * Adds the jobs that may start if there is capacity. A job that its team's limit keeps from starting would keep
     * capacity that it can't use from other jobs. If such a job is the first of all and has waited for too long, later
     * jobs of its team don't take part either: they would use what becomes free below the limit.
     */
    private void fillQueue() {
        List<Job> jobs = placement.queue(now, timeOfDay);
        String teamHeldBack = null;
        for (Job job : jobs) {
            if (cluster.teamLimits().startableTasks(job) > 0) {
                if (!job.spec().team().equals(teamHeldBack)) {
                    queue.add(new QueuedJob(job, placement.rank(job)));
                }
            } else if (job == jobs.get(0) && placement.waitsTooLong(job, timeOfDay)) {
                teamHeldBack = job.spec().team();
            }
        }
    }

    /** Returns whether the pass stopped before it had started everything that fits. */
    boolean stoppedEarly() {
        return unblockedCount > 0 || startedOverdue;
    }

    /**
     * Returns the index of the head unless it is blocked, otherwise the index of the unblocked job with the lowest
     * product of rank and position; positions count from 1 and indexes from 0.
     */
    private int nextPosition() {
        if (!queue.get(0).blocked) {
            return 0;
        }
        int next = -1;
        double lowest = Double.MAX_VALUE;
        for (int position = 1; position < queue.size(); position++) {
            QueuedJob entry = queue.get(position);
            double value = entry.rank * (position + 1);
            if (!entry.blocked && value < lowest) {
                lowest = value;
                next = position;
            }
        }
        return next;
    }

    private void tryToStart(int position) {
        QueuedJob entry = queue.get(position);
        if (cluster.teamLimits().startableTasks(entry.job) == 0) { // others of its team have started since
            removeUnblocked(position);
            return;
        }
        List<Machine> machines = placement.select(entry.job, usableMachines(entry.job), now);
        if (machines.isEmpty()) {
            markBlocked(entry);
            blockLargerRequests(entry.job);
        } else if (preemptionEnabled && placement.imageLocalityDelay().shouldDelay(entry.job, machines, now)) {
            markBlocked(entry);
        } else {
            start(position, entry.job, machines);
        }
    }

    private Predicate<Machine> usableMachines(Job job) {
        Job head = queue.get(0).job;
        if (headProtection == null || headProtection.head() != head) {
            headProtection = new HeadProtection(placement, head, now, timeOfDay);
        }
        return headProtection.usableMachines(job);
    }

    private void start(int position, Job job, List<Machine> machines) {
        boolean overdue = placement.overdue(job, timeOfDay);
        start.accept(job, machines);
        starts += machines.size();
        startedOverdue |= overdue; // the job's other tasks follow in another pass, in their regular queue position
        if (overdue || job.nextPendingTask(now) < 0) {
            removeUnblocked(position);
        }
    }

    private void removeUnblocked(int position) {
        queue.remove(position);
        unblockedCount--;
    }

    private void markBlocked(QueuedJob entry) {
        entry.blocked = true;
        unblockedCount--;
    }

    /** Blocks all jobs that request at least as much as a job that fits on no machine: they don't fit either. */
    private void blockLargerRequests(Job job) {
        if (unplaceableRequests.add(job)) {
            for (QueuedJob entry : queue) {
                if (!entry.blocked && unplaceableRequests.cover(entry.job)) {
                    markBlocked(entry);
                }
            }
        }
    }
}
