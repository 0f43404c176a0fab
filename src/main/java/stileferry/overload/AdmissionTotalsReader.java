package stileferry.overload;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.Consumer;
import stileferry.admission.AdmissionTotals;
import stileferry.leadership.LeaderElection;
import stileferry.leadership.TermRecord;
import stileferry.protocol.MessageCodec;
import stileferry.storage.KeyValueStoreClient;
import stileferry.storage.ScanResult;

/**
 * Reads the totals of admissions, at any controller that reaches the key-value store. The shards are read before the
 * term record, so that a leader elected in between makes the totals appear incomplete rather than wrongly complete.
 */
final class AdmissionTotalsReader {
    /**
     * Number of scans of the shards before giving up, as shards that change between two pages make a scan inconsistent.
     */
    private static final int MAX_SCANS = 3;

    /** The first term of counting leaders if there was no leader yet. */
    private static final long FIRST_TERM = 1;

    private final KeyValueStoreClient store;
    private long lastReportedRevision;

    AdmissionTotalsReader(KeyValueStoreClient store) {
        this.store = store;
    }

    /**
     * Reads the totals.
     *
     * @param callback receives the totals, or null if they can't be determined now or are older than those reported
     *     before
     */
    void read(Consumer<AdmissionTotals> callback) {
        readShards(MAX_SCANS, callback);
    }

    private void readShards(int scansLeft, Consumer<AdmissionTotals> callback) {
        store.scan(AdmissionCountShards.KEY_PREFIX, false, scan -> {
            if (scan.rows() == null || scansLeft == 0) {
                callback.accept(null);
            } else if (scan.rows().stream().anyMatch(row -> row.revision() > scan.firstRevision())) {
                readShards(scansLeft - 1, callback);
            } else {
                readTerm(scan, callback);
            }
        });
    }

    private void readTerm(ScanResult scan, Consumer<AdmissionTotals> callback) {
        store.get(LeaderElection.TERM_KEY, result -> {
            if (result.unknown() || scan.firstRevision() < lastReportedRevision) {
                callback.accept(null);
                return;
            }
            List<AdmissionTotals.Shard> shards = AdmissionCountShards.read(scan.rows());
            long countingSinceTerm =
                    result.found() ? TermRecord.read(result.row()).admissionsCountedSince() : FIRST_TERM;
            lastReportedRevision = scan.firstRevision();
            callback.accept(AdmissionTotals.of(shards, countingSinceTerm, scan.firstRevision()));
        });
    }

    /** Returns the totals as a view of the administration API. */
    static ObjectNode describe(AdmissionTotals totals) {
        ObjectNode view = MessageCodec.map()
                .put("revision", totals.revision())
                .put("admitted", totals.counts().total())
                .put("complete", totals.isComplete());
        if (!totals.isComplete()) {
            view.put("incomplete_from_revision", totals.completeUntilRevision());
        }
        ArrayNode admissions = view.putArray("admissions");
        totals.counts().byTeamClass().forEach((teamClass, count) -> admissions
                .addObject()
                .put("team", teamClass.team())
                .put("class", teamClass.jobClass())
                .put("admitted", count));
        return view;
    }
}
