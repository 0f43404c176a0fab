package stileferry.coordination;

import java.util.List;
import stileferry.cluster.Job;
import stileferry.overload.AdmissionCountShards;
import stileferry.overload.AdmissionSettings;
import stileferry.protocol.KeyValue;
import stileferry.protocol.Settings;
import stileferry.protocol.SubmissionHeader;
import stileferry.storage.CommitQueue;

/** Counts the jobs that a leader accepts, if fair admission is enabled. */
final class AdmissionCounting {
    private final Settings settings;

    /** Null while this leader does not count. */
    private AdmissionCountShards shards;

    AdmissionCounting(Settings settings) {
        this.settings = settings;
    }

    /**
     * Starts counting; called before anything is written in the term.
     *
     * @param countedSince the first term of the unbroken run of leaders that count admissions
     */
    void start(List<KeyValue> storedShards, long countedSince, CommitQueue commitQueue) {
        shards = new AdmissionCountShards(
                storedShards, countedSince, settings.keyValueStore().maxValueKb());
        commitQueue.setTransactionCounter(shards);
    }

    /** Returns whether this leader counts the jobs that it accepts, and so applies fair admission. */
    boolean started() {
        return shards != null;
    }

    /**
     * Registers a job to be counted in the transaction that makes it durable; no effect if this leader does not count.
     */
    void count(Job job) {
        if (started()) {
            shards.registerJob(job.entry(), AdmissionSettings.teamClass(settings, job.spec()));
        }
    }

    /** Returns whether a submission is written before all others and accepted even when others are rejected. */
    boolean bypassesBacklog(byte[] submission) {
        return started() && SubmissionHeader.isCritical(submission);
    }
}
