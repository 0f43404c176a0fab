package stileferry.lifecycle;

import java.util.List;
import java.util.function.Consumer;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.TaskAssignment;
import stileferry.leadership.LeaderElection;
import stileferry.storage.CommitQueue;
import stileferry.storage.StoredEntry;

/** Ends of jobs, done or cancelled. Users hear of them when they are durable, of cancellations when enough know. */
public final class JobCompletion {
    private final ClusterState cluster;
    private final CommitQueue ledger;
    private final CompletedJobCache ended;
    private final LeaderElection leadership;
    private final Listener listener;
    private final Consumer<TaskAssignment> stop;

    /** Told of what users may hear. */
    public interface Listener {
        /** A job's end is durable. */
        void jobCompleted(Job job, CompletedJob end);

        /** A job's cancellation may be confirmed. */
        void cancellationConfirmed(Job job);
    }

    /** The consumer stops a claimed task at once. */
    public JobCompletion(
            ClusterState cluster,
            CommitQueue ledger,
            CompletedJobCache ended,
            LeaderElection leadership,
            Listener listener,
            Consumer<TaskAssignment> stop) {
        this.cluster = cluster;
        this.ledger = ledger;
        this.ended = ended;
        this.leadership = leadership;
        this.listener = listener;
        this.stop = stop;
    }

    /** Ends the jobs that were over when a term began, and goes on with what was cancelled. */
    public void resumeAfterFailover() {
        for (Job job : List.copyOf(cluster.jobs().values())) {
            if (job.cancelled()) {
                cancelDurable(job);
            } else if (job.unfinishedCount() == 0) {
                end(job, "done");
            }
        }
    }

    private void stopAll(Job job) {
        for (TaskAssignment claim : List.copyOf(job.assignments().values())) {
            stop.accept(claim);
        }
    }

    void end(Job job, String how) {
        end(job, how, null);
    }

    /** Moves a job among the ended ones; what else is stored of it goes afterwards. */
    void end(Job job, String how, Runnable onDurable) {
        if (job.completing()) {
            return;
        }
        job.setCompleting(true);
        CompletedJob record = new CompletedJob(how, job.completedCount());
        StoredEntry entry = new StoredEntry(Job.completedKey(job.spec().id()), 0, record::write);
        ledger.putAndDelete(entry, job.entry(), () -> {
            job.setCompleted(true);
            leadership.cancellations().allTasksGone(job.spec().id());
            cluster.jobs().remove(job.spec().id());
            ended.put(job.spec().id(), record);
            listener.jobCompleted(job, record);
            if (onDurable != null) {
                onDurable.run();
            }
        });
    }

    public void cancel(Job job) {
        job.setCancelled(true);
        for (TaskAssignment claim : List.copyOf(job.assignments().values())) {
            if (claim.startsSent() == 0) {
                cluster.unassign(claim, false); // no machine has heard of it
                ledger.appendEvent(TaskEvents.freed(claim), null);
            }
        }
        if (job.assignments().isEmpty()) {
            end(job, "cancelled");
            return;
        }
        ledger.put(job.entry(), () -> cancelDurable(job));
    }

    /** A cancellation is durable: the tasks are stopped, and the user hears of it when that is allowed. */
    void cancelDurable(Job job) {
        job.setCancelDurable(true);
        stopAll(job);
        if (job.assignments().isEmpty()) {
            end(job, "cancelled");
            return;
        }
        leadership.confirmCancellation(job.spec().id(), () -> {
            job.setCancelReplicated(true);
            confirm(job);
        });
    }

    /**
     * Tells a job's user that it is cancelled, once enough controllers know that (whoever renews leases may have to
     * stop its tasks) and no task of it can begin any more. Found with cuts between the leader and the workers: a stop
     * that did not arrive let a task begin whose image came after its user had been told.
     */
    void confirm(Job job) {
        if (job.cancelReplicated() && !job.cancelConfirmed() && !job.completing() && !job.mayStartUnprompted()) {
            job.setCancelConfirmed(true);
            listener.cancellationConfirmed(job);
        }
    }
}
