package stileferry.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.admission.AdmissionFixtures.RED;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Runs of counting leaders: totals are complete, or incomplete from a stated revision on, never wrongly complete. */
class AdmissionTotalsTest {
    @Test
    void incompleteTotalsReportTheRevisionUpToWhichNothingIsMissing() {
        AdmissionCounts counts = new AdmissionCounts();
        counts.add(AdmissionCounts.TeamClass.of(RED), 3);
        AdmissionTotals.Shard shard = new AdmissionTotals.Shard(counts, 1, AdmissionTotals.COMPLETE, 40);
        assertTrue(AdmissionTotals.of(List.of(), 1, 10).isComplete(), "the first leader of all counts");
        assertTrue(AdmissionTotals.of(List.of(shard), 1, 50).isComplete());
        assertEquals(40, completeUntil(0, shard), "an older version leads");
        assertEquals(40, completeUntil(5, shard), "one has led in between");
        assertEquals(0, completeUntil(5), "jobs from before are not counted");
        AdmissionTotals.Shard after = new AdmissionTotals.Shard(counts, 5, 40, 60);
        AdmissionTotals both = AdmissionTotals.of(List.of(shard, after), 5, 70);
        assertEquals(40, both.completeUntilRevision(), "what is missing once is missing for good");
        assertEquals(6, both.counts().total());
    }

    private static long completeUntil(long countingSinceTerm, AdmissionTotals.Shard... shards) {
        return AdmissionTotals.of(List.of(shards), countingSinceTerm, 50).completeUntilRevision();
    }
}
