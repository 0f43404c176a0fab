package stileferry.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.protocol.OperatorSettings;

/**
 * One pass of JR-backfilling over the queue: the head goes first if it fits, else the fitting job with the lowest rank
 * times position, until nothing fits. A job whose tasks don't fit now is stuck for the rest of the pass.
 */
final class BackfillPass {
    /** Most starts of one pass; the rest follows in the next, so that heartbeats and lease renewals are not late. */
    private static final int MAX_STARTS_PER_PASS = 400;

    private final ClusterState cluster;
    private final Placement placement;
    private final long now;
    private final long timeOfDay;
    private final boolean preemptionEnabled;
    private final BiConsumer<Job, List<Machine>> start;
    private final double headProtectionMs;

    private final List<QueuedJob> queue = new ArrayList<>();
    private final UnplaceableRequests unplaceableRequests = new UnplaceableRequests();
    private int unblockedCount;
    private int starts;
    private boolean startedOverdue;
    private Job reservedMachineJob;
    private Machine reservedMachine;

    /** A job in the queue with its rank. */
    private static final class QueuedJob {
        private final Job job;
        private final double rank;
        private boolean blocked;

        QueuedJob(Job job, double rank) {
            this.job = job;
            this.rank = rank;
        }
    }

    /** A pass at this time; for the parameters see {@link Placement#runPass}. */
    BackfillPass(
            ClusterState cluster,
            Placement placement,
            long now,
            long timeOfDay,
            boolean preempts,
            BiConsumer<Job, List<Machine>> start) {
        this.cluster = cluster;
        this.placement = placement;
        this.now = now;
        this.timeOfDay = timeOfDay;
        this.preemptionEnabled = preempts;
        this.start = start;
        this.headProtectionMs = 1000 * cluster.operatorSettings().number(OperatorSettings.HEAD_PROTECTION_S);
    }

    /** Starts what fits and returns the jobs that still wait for capacity, in queue order. */
    List<Job> run() {
        placement.queueOrder().markWithinQuota();
        for (Job job : placement.queue(now, timeOfDay)) {
            queue.add(new QueuedJob(job, placement.rank(job)));
        }
        unblockedCount = queue.size();
        while (unblockedCount > 0 && starts < MAX_STARTS_PER_PASS) {
            tryToStart(nextPosition());
        }
        List<Job> waiting = new ArrayList<>(queue.size());
        queue.forEach(entry -> waiting.add(entry.job));
        return waiting;
    }

    /** Whether the pass has stopped before everything that fits was started. */
    boolean stoppedEarly() {
        return unblockedCount > 0 || startedOverdue;
    }

    /** The position of the head unless it is stuck, else that with the lowest rank times position, counted from 1. */
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

    /**
     * The machines that a job may use beside the head of the queue: after the head has waited long enough none that it
     * could use, and while it is overdue not the one that is kept for it.
     */
    private Predicate<Machine> usableMachines(Job job) {
        Job head = queue.get(0).job;
        if (job == head) {
            return machine -> true;
        }
        if (timeOfDay - head.submittedAt() > headProtectionMs) {
            return machine -> !head.spec().fitsType(machine.type());
        }
        if (placement.overdue(head, timeOfDay)) {
            Machine kept = machineReservedFor(head);
            return machine -> machine != kept;
        }
        return machine -> true;
    }

    private Machine machineReservedFor(Job head) {
        if (reservedMachineJob != head) {
            reservedMachineJob = head;
            reservedMachine = placement.selector().withMostFreeCpus(head, now);
        }
        return reservedMachine;
    }

    private void start(int position, Job job, List<Machine> machines) {
        boolean overdue = placement.overdue(job, timeOfDay);
        start.accept(job, machines);
        starts += machines.size();
        startedOverdue |= overdue; // the rest of the job follows in its usual place, in another pass
        if (overdue || job.nextPendingTask(now) < 0) {
            queue.remove(position);
            unblockedCount--;
        }
    }

    private void markBlocked(QueuedJob entry) {
        entry.blocked = true;
        unblockedCount--;
    }

    /** Nobody who requests as much as a job that fits nowhere fits before something ends. */
    private void blockLargerRequests(Job job) {
        if (unplaceableRequests.add(job) && cluster.withinTeamLimit(job)) {
            for (QueuedJob entry : queue) {
                if (!entry.blocked && unplaceableRequests.cover(entry.job)) {
                    markBlocked(entry);
                }
            }
        }
    }
}
