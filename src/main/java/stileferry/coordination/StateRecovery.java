package stileferry.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.LastHeartbeatRecord;
import stileferry.cluster.TaskAssignment;
import stileferry.leadership.LeaderElection;
import stileferry.lifecycle.TaskEventReader;
import stileferry.overload.AdmissionCountShards;
import stileferry.protocol.Environment;
import stileferry.protocol.InvalidJobSpecException;
import stileferry.protocol.KeyValue;
import stileferry.protocol.OperatorSettings;
import stileferry.storage.CommitQueue;
import stileferry.storage.KeyValueStoreClient;
import stileferry.storage.ScanSummary;

/** Reads the whole durable state when a leader's term begins, and restores jobs and task assignments from it. */
final class StateRecovery {
    private static final Logger LOG = LoggerFactory.getLogger("leader");

    private static final long RETRY_DELAY_MS = 300;

    /** Prefix of legacy records, each with a part of one job's tasks, which are read and then replaced. */
    private static final String LEGACY_CHUNK_PREFIX = "c/";

    private final Environment environment;
    private final KeyValueStoreClient store;
    private final ClusterState cluster;
    private final CommitQueue commitQueue;
    private final Listener listener;
    private final long term;
    private final long startedAt;
    private final boolean readsAdmissionShards;
    private int attempts;
    private boolean closed;

    /** Receives the recovered state; implemented by the leader. */
    interface Listener {
        /**
         * Called with the ids of the jobs that were cancelled in earlier terms, long before recovery is complete; again
         * if a failed read makes recovery start over.
         */
        void cancelledJobs(List<String> jobs);

        /** Called with the operators' settings if any are stored. */
        void operatorSettings(OperatorSettings settings);

        /** Called with the number of machines that have task assignments. */
        void machinesKnown(int machines);

        /** Called when all jobs and task assignments are in the cluster state. */
        void recovered(Recovered recovered);
    }

    /**
     * What was read besides jobs and task assignments.
     *
     * @param operatorSettingsRevision the revision of the operators' settings, or 0 if none are stored
     * @param assignments the number of task assignments that were read
     * @param tookMs how long recovery took, with all attempts
     * @param attempts how often it was begun; more than one if reads failed
     */
    record Recovered(
            long operatorSettingsRevision,
            int assignments,
            long tookMs,
            int attempts,
            Iterable<LastHeartbeatRecord> lastHeartbeats,
            List<KeyValue> admissionShards) {}

    /**
     * Creates a recovery, without starting it.
     *
     * @param term the term in which the state is read
     * @param readsAdmissionShards whether the durable count of admissions is read too
     */
    StateRecovery(
            Environment environment,
            KeyValueStoreClient store,
            ClusterState cluster,
            CommitQueue commitQueue,
            Listener listener,
            long term,
            boolean readsAdmissionShards) {
        this.environment = environment;
        this.term = term;
        this.startedAt = environment.now();
        this.store = store;
        this.cluster = cluster;
        this.commitQueue = commitQueue;
        this.listener = listener;
        this.readsAdmissionShards = readsAdmissionShards;
    }

    void close() {
        closed = true;
    }

    /** Reads the whole state, and starts over after a delay if a read fails. */
    void load() {
        attempts++;
        new Attempt().readJobs();
    }

    private void startOver(String failedRead) {
        LOG.warn("state read failed, starting over: term={} attempt={} key={}", term, attempts, failedRead);
        environment.schedule(RETRY_DELAY_MS, this::load);
    }

    /**
     * One attempt to read everything. What has been read is kept in decoded form only and reaches the cluster state at
     * the end, so a failed attempt leaves nothing behind.
     */
    private final class Attempt {
        private final Map<String, Job> jobs = new HashMap<>();
        private final List<String> unreadableJobs = new ArrayList<>();
        private final List<String> cancelledJobs = new ArrayList<>();
        private final TaskEventReader events = new TaskEventReader(jobs);
        private final List<KeyValue> admissionShards = new ArrayList<>();

        void readJobs() {
            scan(Job.KEY_PREFIX, this::readJob, () -> {
                listener.cancelledJobs(cancelledJobs);
                readEventLog();
            });
        }

        private void readEventLog() {
            scan(
                    CommitQueue.EVENT_LOG_PREFIX,
                    row -> events.read(row.key(), row.revision(), row.value()),
                    this::readLegacyChunks);
        }

        private void readLegacyChunks() {
            scan(
                    LEGACY_CHUNK_PREFIX,
                    row -> events.readLegacyChunk(row.key(), row.revision(), row.value()),
                    readsAdmissionShards ? this::readAdmissionShards : this::readOperatorSettings);
        }

        private void readAdmissionShards() {
            scan(AdmissionCountShards.KEY_PREFIX, admissionShards::add, this::readOperatorSettings);
        }

        private void scan(String prefix, Consumer<KeyValue> onRow, Runnable next) {
            long sentAt = environment.now();
            store.scanPages(
                    prefix,
                    true,
                    rows -> {
                        if (!closed) {
                            rows.forEach(onRow);
                        }
                    },
                    summary -> {
                        if (closed) {
                            return;
                        }
                        if (!summary.complete()) {
                            startOver(prefix);
                            return;
                        }
                        logRead(prefix, summary, environment.now() - sentAt);
                        next.run();
                    });
        }

        private void readJob(KeyValue row) {
            String id = row.key().substring(Job.KEY_PREFIX.length());
            if (row.value().path("cancelled").asBoolean()) {
                cancelledJobs.add(id);
            }
            try {
                jobs.put(id, Job.read(row.value(), row.revision()));
            } catch (InvalidJobSpecException e) {
                // A user was informed that the job was accepted, so no response may say that it is unknown.
                LOG.error("stored job is unreadable and can't run: key={} reason={}", row.key(), e.getMessage());
                unreadableJobs.add(id);
            }
        }

        private void readOperatorSettings() {
            store.get(LeaderElection.OPERATOR_SETTINGS_KEY, result -> {
                if (closed) {
                    return;
                }
                if (result.unknown()) {
                    startOver(LeaderElection.OPERATOR_SETTINGS_KEY);
                    return;
                }
                if (result.found()) {
                    listener.operatorSettings(OperatorSettings.read(result.row().value()));
                }
                restoreState(result.found() ? result.row().revision() : 0);
            });
        }

        private void restoreState(long operatorSettingsRevision) {
            unreadableJobs.forEach(cluster::addUnreadableJob);
            jobs.values().stream()
                    .sorted(Comparator.comparingLong(Job::submissionOrder))
                    .forEach(cluster::addJob);
            inSlices(events.replaySteps(), () -> restoreAssignments(operatorSettingsRevision));
        }

        private void restoreAssignments(long operatorSettingsRevision) {
            List<TaskAssignment> assignments = events.unsettledAssignments();
            listener.machinesKnown((int)
                    assignments.stream().map(TaskAssignment::machine).distinct().count());
            Stream<Runnable> assignSteps = assignments.stream().map(assignment -> () -> cluster.assign(assignment));
            inSlices(
                    Stream.concat(events.restoreSteps(commitQueue::restore), assignSteps),
                    () -> listener.recovered(new Recovered(
                            operatorSettingsRevision,
                            assignments.size(),
                            environment.now() - startedAt,
                            attempts,
                            events.lastHeartbeats(),
                            admissionShards)));
        }

        private void inSlices(Stream<Runnable> steps, Runnable onEnd) {
            new SlicedWork(environment, () -> closed, steps.iterator(), onEnd).run();
        }
    }

    private void logRead(String prefix, ScanSummary scan, long tookMs) {
        LOG.info(
                "state read: term={} attempt={} prefix={} rows={} pages={} revision={} took_ms={} heap_used_mb={}",
                term,
                attempts,
                prefix,
                scan.rows(),
                scan.pages(),
                scan.revision(),
                tookMs,
                environment.usedHeapMb());
    }
}
