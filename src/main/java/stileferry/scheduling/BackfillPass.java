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
    private static final int MAX_STARTS = 400;

    private final ClusterState cluster;
    private final Placement placement;
    private final long now;
    private final long timeOfDay;
    private final boolean preempts;
    private final BiConsumer<Job, List<Machine>> start;
    private final double protectHeadAfterMs;

    private final List<Entry> queue = new ArrayList<>();
    private final UnplaceableRequests unplaceable = new UnplaceableRequests();
    private int notStuck;
    private int starts;
    private boolean startedOverdue;
    private Job machineKeptFor;
    private Machine keptMachine;

    /** A job in the queue with its rank. */
    private static final class Entry {
        private final Job job;
        private final double rank;
        private boolean stuck;

        Entry(Job job, double rank) {
            this.job = job;
            this.rank = rank;
        }
    }

    /** A pass at this time; for the parameters see {@link Placement#pass}. */
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
        this.preempts = preempts;
        this.start = start;
        this.protectHeadAfterMs = 1000 * cluster.operatorSettings().number(OperatorSettings.HEAD_PROTECTION_S);
    }

    /** Starts what fits and returns the jobs that still wait for capacity, in queue order. */
    List<Job> run() {
        placement.queueOrder().markWithinQuota();
        for (Job job : placement.queue(now, timeOfDay)) {
            queue.add(new Entry(job, placement.rank(job)));
        }
        notStuck = queue.size();
        while (notStuck > 0 && starts < MAX_STARTS) {
            tryToStart(nextPosition());
        }
        List<Job> waiting = new ArrayList<>(queue.size());
        queue.forEach(entry -> waiting.add(entry.job));
        return waiting;
    }

    /** Whether the pass has stopped before everything that fits was started. */
    boolean stoppedEarly() {
        return notStuck > 0 || startedOverdue;
    }

    /** The position of the head unless it is stuck, else that with the lowest rank times position, counted from 1. */
    private int nextPosition() {
        if (!queue.get(0).stuck) {
            return 0;
        }
        int next = -1;
        double lowest = Double.MAX_VALUE;
        for (int position = 1; position < queue.size(); position++) {
            Entry entry = queue.get(position);
            double value = entry.rank * (position + 1);
            if (!entry.stuck && value < lowest) {
                lowest = value;
                next = position;
            }
        }
        return next;
    }

    private void tryToStart(int position) {
        Entry entry = queue.get(position);
        List<Machine> machines = placement.select(entry.job, usableMachines(entry.job), now);
        if (machines.isEmpty()) {
            markStuck(entry);
            skipWhatFitsNowhereEither(entry.job);
        } else if (preempts && placement.imageHoldBack().holdsBack(entry.job, machines, now)) {
            markStuck(entry);
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
        if (timeOfDay - head.acceptedAt() > protectHeadAfterMs) {
            return machine -> !head.spec().fitsMachineType(machine.type());
        }
        if (placement.overdue(head, timeOfDay)) {
            Machine kept = machineKeptFor(head);
            return machine -> machine != kept;
        }
        return machine -> true;
    }

    private Machine machineKeptFor(Job head) {
        if (machineKeptFor != head) {
            machineKeptFor = head;
            keptMachine = placement.selector().withMostFreeCpus(head, now);
        }
        return keptMachine;
    }

    private void start(int position, Job job, List<Machine> machines) {
        boolean overdue = placement.overdue(job, timeOfDay);
        start.accept(job, machines);
        starts += machines.size();
        startedOverdue |= overdue; // the rest of the job follows in its usual place, in another pass
        if (overdue || job.nextPendingTask(now) < 0) {
            queue.remove(position);
            notStuck--;
        }
    }

    private void markStuck(Entry entry) {
        entry.stuck = true;
        notStuck--;
    }

    /** Nobody who requests as much as a job that fits nowhere fits before something ends. */
    private void skipWhatFitsNowhereEither(Job job) {
        if (unplaceable.add(job) && cluster.withinTeamLimit(job)) {
            for (Entry entry : queue) {
                if (!entry.stuck && unplaceable.cover(entry.job)) {
                    markStuck(entry);
                }
            }
        }
    }
}
