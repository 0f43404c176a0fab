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
 * Reads the totals of admissions, at any controller that reaches the key-value store. The shards are read first and the
 * term after them: whoever began to lead in between makes the totals seem incomplete rather than complete.
 */
final class AdmissionTotalsReader {
    /** Reads of shards that changed between two pages before it is given up. */
    private static final int MAX_SCANS = 3;

    /** Where a run of counting leaders begins when nobody ever led. */
    private static final long FIRST_TERM = 1;

    private final KeyValueStoreClient store;
    private long lastReportedRevision;

    AdmissionTotalsReader(KeyValueStoreClient store) {
        this.store = store;
    }

    /** Reads the totals; null: they can't be known now, or only older ones than were told before. */
    void read(Consumer<AdmissionTotals> then) {
        readShards(MAX_SCANS, then);
    }

    private void readShards(int readsLeft, Consumer<AdmissionTotals> then) {
        store.scan(AdmissionCountShards.KEY_PREFIX, false, scan -> {
            if (scan.rows() == null || readsLeft == 0) {
                then.accept(null);
            } else if (scan.rows().stream().anyMatch(row -> row.revision() > scan.firstRevision())) {
                readShards(readsLeft - 1, then);
            } else {
                readTerm(scan, then);
            }
        });
    }

    private void readTerm(ScanResult scan, Consumer<AdmissionTotals> then) {
        store.get(LeaderElection.TERM_KEY, result -> {
            if (result.unknown() || scan.firstRevision() < lastReportedRevision) {
                then.accept(null);
                return;
            }
            List<AdmissionTotals.Shard> shards = AdmissionCountShards.read(scan.rows());
            long run = result.found() ? TermRecord.read(result.row()).admissionsCountedSince() : FIRST_TERM;
            lastReportedRevision = scan.firstRevision();
            then.accept(AdmissionTotals.of(shards, run, scan.firstRevision()));
        });
    }

    /** The totals as operators see them. */
    static ObjectNode describe(AdmissionTotals totals) {
        ObjectNode view = MessageCodec.map()
                .put("revision", totals.revision())
                .put("admitted", totals.counts().total())
                .put("complete", totals.isComplete());
        if (!totals.isComplete()) {
            view.put("incomplete_from_revision", totals.completeUntilRevision());
        }
        ArrayNode cells = view.putArray("admissions");
        totals.counts().byTeamClass().forEach((cell, count) -> cells.addObject()
                .put("team", cell.team())
                .put("class", cell.jobClass())
                .put("admitted", count));
        return view;
    }
}
