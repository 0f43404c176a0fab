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
 * The durable count of admissions, in one term of leading. Each transaction that makes accepted jobs durable also puts
 * one shard of the count, the first that no other transaction in flight holds. Fencing, repetition and recognition are
 * those of all transactions, so a count is carried out exactly when its jobs are. A shard costs one change for each
 * transaction with acceptances, however many it holds.
 */
public final class AdmissionCountShards implements TransactionCounter {
    /** The prefix of the shards' keys; no version before this one reads or writes it. */
    public static final String KEY_PREFIX = "n/";

    private static final String COUNTING_SINCE_TERM = "run";
    private static final String COMPLETE_UNTIL = "complete_until";
    private static final String COUNTS = "counts";

    /** The share of the value limit that a shard may take in JSON form. */
    private static final double MAX_VALUE_SHARE = 0.9;

    /** At most so many characters for a number and the punctuation around a name. */
    private static final int MAX_NUMBER_CHARS = 28;

    private final long countingSinceTerm;
    private final long completeUntil;
    private final int maxValueChars;
    private final List<WritableShard> shards = new ArrayList<>();
    private final Map<StoredEntry, AdmissionCounts.TeamClass> uncountedJobs = new IdentityHashMap<>();

    /** A shard that this term may write. */
    private final class WritableShard {
        final AdmissionCounts counts = new AdmissionCounts();
        final StoredEntry entry;

        WritableShard(String key, long revision) {
            entry = new StoredEntry(key, revision, () -> write(counts));
        }

        boolean hasRoomFor(List<AdmissionCounts.TeamClass> cells) {
            int addedLength = cells.stream()
                    .filter(cell -> !counts.contains(cell))
                    .mapToInt(
                            cell -> 2 * (cell.team().length() + cell.jobClass().length()) + 2 * MAX_NUMBER_CHARS)
                    .sum();
            return !entry.inFlight() && write(counts).toString().length() + addedLength <= maxValueChars;
        }
    }

    /**
     * The count as a new leader finds it.
     *
     * @param rows all shards
     * @param run the first term of the unbroken run of counting leaders that this one is of
     */
    public AdmissionCountShards(List<KeyValue> rows, long run, double maxValueKb) {
        this.countingSinceTerm = run;
        this.maxValueChars = (int) (maxValueKb * 1024 * MAX_VALUE_SHARE);
        this.completeUntil = AdmissionTotals.completeUntilRevision(read(rows), run);
        for (KeyValue row : rows) {
            WritableShard shard = new WritableShard(row.key(), row.revision());
            shard.counts.addAll(readShard(row).counts());
            shards.add(shard);
        }
    }

    /** Has a job counted in the transaction that makes it durable. */
    public void registerJob(StoredEntry job, AdmissionCounts.TeamClass cell) {
        uncountedJobs.put(job, cell);
    }

    @Override
    public StoredEntry count(List<StoredEntry> entries) {
        List<AdmissionCounts.TeamClass> cells = new ArrayList<>();
        for (StoredEntry entry : entries) {
            AdmissionCounts.TeamClass cell = uncountedJobs.remove(entry);
            if (cell != null) {
                cells.add(cell);
            }
        }
        if (cells.isEmpty()) {
            return null;
        }
        WritableShard shard = shardFor(cells);
        cells.forEach(cell -> shard.counts.add(cell, 1));
        return shard.entry;
    }

    private WritableShard shardFor(List<AdmissionCounts.TeamClass> cells) {
        for (WritableShard shard : shards) {
            if (shard.hasRoomFor(cells)) {
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
        counts.byTeamClass()
                .forEach((cell, count) -> teams.withObjectProperty(cell.team()).put(cell.jobClass(), count));
        return value;
    }

    /** The shards as they are stored. */
    public static List<AdmissionTotals.Shard> read(List<KeyValue> rows) {
        return rows.stream().map(AdmissionCountShards::readShard).toList();
    }

    private static AdmissionTotals.Shard readShard(KeyValue row) {
        AdmissionCounts counts = new AdmissionCounts();
        for (Map.Entry<String, JsonNode> team : row.value().path(COUNTS).properties()) {
            for (Map.Entry<String, JsonNode> cell : team.getValue().properties()) {
                counts.add(
                        new AdmissionCounts.TeamClass(team.getKey(), cell.getKey()),
                        cell.getValue().asLong());
            }
        }
        return new AdmissionTotals.Shard(
                counts,
                row.value().path(COUNTING_SINCE_TERM).asLong(),
                row.value().path(COMPLETE_UNTIL).asLong(AdmissionTotals.COMPLETE),
                row.revision());
    }
}
