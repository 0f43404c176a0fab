package stileferry.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.admission.AdmissionFixtures.RED;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that totals are never wrongly reported as complete after a leader that did not count admissions. */
class AdmissionTotalsTest {
    @Test
    void incompleteTotalsReportTheRevisionUpToWhichNothingIsMissing() {
        AdmissionCounts counts = new AdmissionCounts();
        counts.add(AdmissionCounts.TeamClass.of(RED), 3);
        AdmissionTotals.Shard shard = new AdmissionTotals.Shard(counts, 1, AdmissionTotals.COMPLETE, 40);
        assertTrue(AdmissionTotals.of(List.of(), 1, 10).isComplete(), "all leaders since the first term have counted");
        assertTrue(AdmissionTotals.of(List.of(shard), 1, 50).isComplete());
        assertEquals(40, completeUntil(0, shard), "the last leader, of an older version, does not count");
        assertEquals(40, completeUntil(5, shard), "a leader that does not count has led in between");
        assertEquals(0, completeUntil(5), "jobs accepted before term 5 are not counted");
        AdmissionTotals.Shard after = new AdmissionTotals.Shard(counts, 5, 40, 60);
        AdmissionTotals both = AdmissionTotals.of(List.of(shard, after), 5, 70);
        assertEquals(40, both.completeUntilRevision(), "totals that were incomplete stay incomplete");
        assertEquals(6, both.counts().total());
    }

    private static long completeUntil(long countingSinceTerm, AdmissionTotals.Shard... shards) {
        return AdmissionTotals.of(List.of(shards), countingSinceTerm, 50).completeUntilRevision();
    }
}
