package stileferry.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static stileferry.admission.AdmissionFixtures.CONFIG;
import static stileferry.admission.AdmissionFixtures.RED;
import static stileferry.admission.AdmissionFixtures.assertInvalid;
import static stileferry.admission.AdmissionFixtures.loadShedder;
import static stileferry.admission.AdmissionFixtures.tableLimitingRed;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Tests that the types of the package reject invalid arguments. */
class AdmissionValidationTest {
    @Test
    void invalidArgumentsAreRejectedByNameAndChangeNothing() {
        assertInvalid("weights", () -> new AdmissionConfig(Map.of("red", 0.0), Set.of(), 1000, 5));
        assertInvalid("intervalMs", () -> new AdmissionConfig(Map.of(), Set.of(), 0, 5));
        assertInvalid("maxAdmissionsPerS", () -> new AdmissionConfig(Map.of(), Set.of(), 1000, Double.NaN));
        assertInvalid("team", () -> new Flow("", "x", 0));
        assertInvalid("capacity", () -> FairShareAllocator.allocate(-1, Map.of(), Map.of()));
        assertInvalid("demands", () -> FairShareAllocator.allocate(1, Map.of(RED, -1.0), Map.of()));
        assertInvalid("term", () -> new AdmissionWindowTable(0, 1, new TreeMap<>()));
        assertInvalid("roundsPerS", () -> new AdmissionWindow(0, 0));
        assertInvalid("previousTable", () -> new AdmissionController(CONFIG, 3, tableLimitingRed(3, 1), 0));
        assertInvalid("maxRememberedJobs", () -> new LoadShedder(CONFIG, 0));
        assertInvalid("number", () -> new AdmissionCounts().add(AdmissionCounts.TeamClass.of(RED), 0));
        LoadShedder loadShedder = loadShedder();
        loadShedder.updateTable(tableLimitingRed(2, 2), 0, 0);
        assertInvalid("requestedAt", () -> loadShedder.updateTable(tableLimitingRed(2, 3), 6, 5));
        assertEquals(2, loadShedder.lastTable().sequence());
    }
}
