package stileferry.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
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
import stileferry.storage.StoredEvent;

/** Reads all that is durable when a term of leading begins, and builds the jobs and claims from it. */
final class StateRecovery {
    private static final Logger LOG = LoggerFactory.getLogger("leader");

    private static final long RETRY_MS = 300;

    /** Records of an older form, read and then replaced. */
    private static final String OLD_PARTS = "c/";

    /** Prefixes that are always read; the count of admissions comes after them. */
    private static final int OLD_PREFIXES = 3;

    private final Environment environment;
    private final KeyValueStoreClient state;
    private final ClusterState cluster;
    private final CommitQueue ledger;
    private final Listener listener;
    private final List<String> prefixes;
    private boolean closed;

    /** Told what was read. */
    interface Listener {
        /** The jobs that were cancelled before, long before everything has been read. */
        void cancelledBefore(List<String> jobs);

        /** The operators' settings. */
        void options(OperatorSettings options);

        /** Everything is on the board. */
        void loaded(Loaded loaded);
    }

    /** What was read beside jobs and claims. */
    record Loaded(
            long optionsRevision, int claims, Iterable<LastHeartbeatRecord> silences, List<KeyValue> admissionShards) {}

    /** {@code countsAdmissions}: whether the count of admissions is read too. */
    StateRecovery(
            Environment environment,
            KeyValueStoreClient state,
            ClusterState cluster,
            CommitQueue ledger,
            Listener listener,
            boolean countsAdmissions) {
        this.environment = environment;
        this.state = state;
        this.cluster = cluster;
        this.ledger = ledger;
        this.listener = listener;
        this.prefixes = new ArrayList<>(List.of(Job.PREFIX, CommitQueue.EVENT_LOG_PREFIX, OLD_PARTS));
        if (countsAdmissions) {
            prefixes.add(AdmissionCountShards.PREFIX);
        }
    }

    void close() {
        closed = true;
    }

    void load() {
        read(prefixes, new ArrayList<>());
    }

    /** Reads one prefix after the other; starts again when a read fails. */
    private void read(List<String> left, List<List<KeyValue>> done) {
        if (left.isEmpty()) {
            readOptions(done);
            return;
        }
        state.scan(left.get(0), true, read -> {
            if (closed) {
                return;
            }
            if (read.rows() == null) {
                environment.schedule(RETRY_MS, this::load);
                return;
            }
            if (left.get(0).equals(Job.PREFIX)) {
                listener.cancelledBefore(cancelled(read.rows()));
            }
            done.add(read.rows());
            read(left.subList(1, left.size()), done);
        });
    }

    private static List<String> cancelled(List<KeyValue> jobs) {
        List<String> ids = new ArrayList<>();
        for (KeyValue row : jobs) {
            if (row.value().path("cancelled").asBoolean()) {
                ids.add(id(row));
            }
        }
        return ids;
    }

    private static String id(KeyValue job) {
        return job.key().substring(Job.PREFIX.length());
    }

    private void readOptions(List<List<KeyValue>> rows) {
        state.get(LeaderElection.OPERATOR_SETTINGS_KEY, result -> {
            if (closed) {
                return;
            }
            if (result.found()) {
                listener.options(OperatorSettings.read(result.row().value()));
            } else if (result.unknown()) {
                environment.schedule(RETRY_MS, this::load);
                return;
            }
            long revision = result.found() ? result.row().revision() : 0;
            buildJobs(rows.get(0));
            TaskEventReader reader = new TaskEventReader(cluster.jobs());
            buildFromOldParts(rows.get(2), reader);
            buildFromRecords(rows.get(1), reader);
            List<TaskAssignment> claims = reader.assignments();
            claims.forEach(cluster::assign);
            List<KeyValue> shards = rows.size() > OLD_PREFIXES ? rows.get(OLD_PREFIXES) : List.of();
            listener.loaded(new Loaded(revision, claims.size(), reader.lastHeartbeats(), shards));
        });
    }

    private void buildJobs(List<KeyValue> rows) {
        List<Job> jobs = new ArrayList<>();
        for (KeyValue row : rows) {
            try {
                jobs.add(Job.read(row.value(), row.revision()));
            } catch (InvalidJobSpecException e) {
                // its user was told that it is accepted, so nobody may hear that it is unknown
                LOG.error("the record {} can't be read, its job can't run: {}", row.key(), e.getMessage());
                cluster.unreadableJobs().add(id(row));
            }
        }
        jobs.sort(Comparator.comparingLong(j -> j.acceptanceOrder()));
        jobs.forEach(job -> cluster.jobs().put(job.spec().id(), job));
    }

    private void buildFromOldParts(List<KeyValue> rows, TaskEventReader reader) {
        long number = 0;
        for (KeyValue row : rows) {
            String[] key = row.key().split("/");
            Job job = key.length == 3 ? cluster.jobs().get(key[1]) : null;
            // what is left of a job that ended is deleted like the others, with nothing kept of it
            List<StoredEvent> events = job == null
                    ? List.of()
                    : reader.readLegacyChunk(job, Integer.parseInt(key[2]), row.value(), --number);
            ledger.restore(row.key(), row.revision(), number, events);
        }
    }

    private void buildFromRecords(List<KeyValue> rows, TaskEventReader reader) {
        rows.sort(Comparator.comparingLong(row -> row.value().path("n").asLong()));
        for (KeyValue row : rows) {
            long number = row.value().path("n").asLong();
            ledger.restore(row.key(), row.revision(), number, reader.read(row.value(), number));
        }
    }
}
