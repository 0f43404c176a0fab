package stileferry.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.admission.AdmissionFixtures.BLUE;
import static stileferry.admission.AdmissionFixtures.CONFIG;
import static stileferry.admission.AdmissionFixtures.RED;
import static stileferry.admission.AdmissionFixtures.jobOutsideWindow;
import static stileferry.admission.AdmissionFixtures.loadShedder;
import static stileferry.admission.AdmissionFixtures.tableLimitingRed;

import org.junit.jupiter.api.Test;

/** Tests which requests are shed, which tables are used, and which retry times clients get. */
class LoadShedderTest {
    @Test
    void nothingIsShedWithoutATable() {
        assertEquals(0, loadShedder().retryAfterS(RED, jobOutsideWindow(), 10));
    }

    @Test
    void onlyJobsOutsideTheWindowOfALimitedFlowAreShed() {
        LoadShedder loadShedder = loadShedder();
        loadShedder.updateTable(tableLimitingRed(1, 1), 0, 0);
        int retryAfterS = loadShedder.retryAfterS(RED, jobOutsideWindow(), 0);
        assertTrue(retryAfterS > 20 && retryAfterS <= AdmissionConfig.MAX_RETRY_AFTER_S, "retry time: " + retryAfterS);
        assertEquals(0, loadShedder.retryAfterS(BLUE, jobOutsideWindow(), 0));
        assertEquals(1, loadShedder.rejectedCount());
    }

    /** A table must not be used after its validity, nor once a term later than its own is known. */
    @Test
    void aTableIsValidUntilItExpiresOrALaterTermIsKnown() {
        LoadShedder loadShedder = loadShedder();
        loadShedder.updateTable(tableLimitingRed(4, 1), 0, 500);
        assertTrue(loadShedder.hasValidTable(CONFIG.tableValidityMs() - 1));
        assertFalse(
                loadShedder.hasValidTable(CONFIG.tableValidityMs()),
                "validity is counted from the request for the table");
        loadShedder.updateTable(tableLimitingRed(4, 2), 5000, 5000);
        assertTrue(loadShedder.hasValidTable(5001));
        loadShedder.observeTerm(5);
        assertFalse(loadShedder.hasValidTable(5001));
        assertEquals(0, loadShedder.retryAfterS(RED, jobOutsideWindow(), 5001));
    }

    @Test
    void staleAndRepeatedTablesAreIgnored() {
        LoadShedder loadShedder = loadShedder();
        loadShedder.updateTable(tableLimitingRed(4, 7), 0, 0);
        loadShedder.updateTable(tableLimitingRed(4, 7), 3000, 3000);
        loadShedder.updateTable(tableLimitingRed(4, 6), 3000, 3000);
        loadShedder.updateTable(tableLimitingRed(3, 99), 3000, 3000);
        assertFalse(
                loadShedder.hasValidTable(CONFIG.tableValidityMs()), "a stale or repeated table was accepted as new");
        assertEquals(7, loadShedder.lastTable().sequence());
    }

    @Test
    void acceptedJobsAreNeverShed() {
        LoadShedder loadShedder = loadShedder();
        loadShedder.updateTable(tableLimitingRed(1, 1), 0, 0);
        loadShedder.recordAccepted(jobOutsideWindow());
        assertEquals(0, loadShedder.retryAfterS(RED, jobOutsideWindow(), 0));
    }

    /** Clients that were rejected at the same moment must not all retry at the same moment. */
    @Test
    void retriesAfterAFailureAreSpreadOverTime() {
        LoadShedder loadShedder = loadShedder();
        long[] clientsBySecond = new long[AdmissionConfig.MAX_RETRY_AFTER_S + 1];
        loadShedder.retryAfterFailureS("job-0", 0);
        for (int job = 0; job < 1000; job++) {
            clientsBySecond[loadShedder.retryAfterFailureS("job-" + job, 20_000)]++;
        }
        for (int second = 1; second <= 10; second++) {
            long clients = clientsBySecond[second];
            assertTrue(clients > 50 && clients < 150, "clients that retry after " + second + " s: " + clients);
        }
        loadShedder.recordAccepted("job-1");
        assertEquals(
                1,
                loadShedder.retryAfterFailureS("job-2", 20_001),
                "retry times start small again after the failure is over");
    }
}
