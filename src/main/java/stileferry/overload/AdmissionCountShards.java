package stileferry.overload;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import stileferry.admission.AdmissionCounts;
import stileferry.admission.AdmissionTotals;
import stileferry.protocol.KeyValue;
import stileferry.protocol.MessageCodec;
import stileferry.storage.StoredEntry;
import stileferry.storage.TransactionCounter;

/**
 * The durable count of admissions, for one term of a leader. Each transaction that makes accepted jobs durable also
 * writes one shard of the count: the first that no other transaction in flight writes. Shards are fenced, retried and
 * recognised as applied together with the transaction that holds them, so a job is counted exactly when it becomes
 * durable. Counting costs one write per transaction with accepted jobs, regardless of the number of jobs.
 */
public final class AdmissionCountShards implements TransactionCounter {
    /** The prefix of the shards' keys; older versions neither read nor write such keys. */
    public static final String KEY_PREFIX = "n/";

    private static final String COUNTING_SINCE_TERM = "run";
    private static final String COMPLETE_UNTIL = "complete_until";
    private static final String COUNTS = "counts";

    /** The share of the key-value store's value size limit that a shard may take in JSON form. */
    private static final double MAX_VALUE_SHARE = 0.9;

    /** Upper bound on the characters of a number and the punctuation around a name. */
    private static final int MAX_NUMBER_CHARS = 28;

    private final long countingSinceTerm;
    private final long completeUntil;
    private final int maxValueChars;
    private final List<WritableShard> shards = new ArrayList<>();
    private final Map<StoredEntry, AdmissionCounts.TeamClass> uncountedJobs = new IdentityHashMap<>();

    /** A shard as this term writes it. */
    private final class WritableShard {
        final AdmissionCounts counts = new AdmissionCounts();
        final StoredEntry entry;

        WritableShard(String key, long revision) {
            entry = new StoredEntry(key, revision, () -> write(counts));
        }

        boolean hasRoomFor(List<AdmissionCounts.TeamClass> teamClasses) {
            int addedChars = teamClasses.stream()
                    .filter(teamClass -> !counts.contains(teamClass))
                    .mapToInt(teamClass -> 2
                                    * (teamClass.team().length()
                                            + teamClass.jobClass().length())
                            + 2 * MAX_NUMBER_CHARS)
                    .sum();
            return !entry.inFlight() && write(counts).toString().length() + addedChars <= maxValueChars;
        }
    }

    /**
     * Restores the count at the start of a term.
     *
     * @param rows all stored shards
     * @param countingSinceTerm the first of the unbroken run of terms up to this one whose leaders all counted
     *     admissions
     * @param maxValueKb the key-value store's limit for the size of a value
     */
    public AdmissionCountShards(List<KeyValue> rows, long countingSinceTerm, double maxValueKb) {
        this.countingSinceTerm = countingSinceTerm;
        this.maxValueChars = (int) (maxValueKb * 1024 * MAX_VALUE_SHARE);
        this.completeUntil = AdmissionTotals.completeUntilRevision(read(rows), countingSinceTerm);
        for (KeyValue row : rows) {
            WritableShard shard = new WritableShard(row.key(), row.revision());
            shard.counts.addAll(readShard(row).counts());
            shards.add(shard);
        }
    }

    /** Registers a job to be counted in the transaction that makes it durable. */
    public void registerJob(StoredEntry job, AdmissionCounts.TeamClass teamClass) {
        uncountedJobs.put(job, teamClass);
    }

    @Override
    public StoredEntry count(List<StoredEntry> entries) {
        List<AdmissionCounts.TeamClass> teamClasses = new ArrayList<>();
        for (StoredEntry entry : entries) {
            AdmissionCounts.TeamClass teamClass = uncountedJobs.remove(entry);
            if (teamClass != null) {
                teamClasses.add(teamClass);
            }
        }
        if (teamClasses.isEmpty()) {
            return null;
        }
        WritableShard shard = shardFor(teamClasses);
        teamClasses.forEach(teamClass -> shard.counts.add(teamClass, 1));
        return shard.entry;
    }

    private WritableShard shardFor(List<AdmissionCounts.TeamClass> teamClasses) {
        for (WritableShard shard : shards) {
            if (shard.hasRoomFor(teamClasses)) {
                return shard;
            }
        }
        WritableShard added = new WritableShard(KEY_PREFIX + shards.size(), 0);
        shards.add(added);
        return added;
    }

    private ObjectNode write(AdmissionCounts counts) {
        ObjectNode value = MessageCodec.map().put(COUNTING_SINCE_TERM, countingSinceTerm);
        if (completeUntil != AdmissionTotals.COMPLETE) {
            value.put(COMPLETE_UNTIL, completeUntil);
        }
        ObjectNode teams = value.putObject(COUNTS);
        counts.byTeamClass().forEach((teamClass, count) -> teams.withObjectProperty(teamClass.team())
                .put(teamClass.jobClass(), count));
        return value;
    }

    /** Decodes stored shards. */
    public static List<AdmissionTotals.Shard> read(List<KeyValue> rows) {
        return rows.stream().map(AdmissionCountShards::readShard).toList();
    }

    private static AdmissionTotals.Shard readShard(KeyValue row) {
        AdmissionCounts counts = new AdmissionCounts();
        for (Map.Entry<String, JsonNode> team : row.value().path(COUNTS).properties()) {
            for (Map.Entry<String, JsonNode> jobClass : team.getValue().properties()) {
                counts.add(
                        new AdmissionCounts.TeamClass(team.getKey(), jobClass.getKey()),
                        jobClass.getValue().asLong());
            }
        }
        return new AdmissionTotals.Shard(
                counts,
                row.value().path(COUNTING_SINCE_TERM).asLong(),
                row.value().path(COMPLETE_UNTIL).asLong(AdmissionTotals.COMPLETE),
                row.revision());
    }
}
