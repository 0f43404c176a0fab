package stileferry.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import stileferry.validation.InvalidInputException;

/** Fixtures shared by the tests of this package: two teams of equal weight, and a table that limits one of them. */
final class AdmissionFixtures {
    static final AdmissionConfig CONFIG = new AdmissionConfig(Map.of("red", 1.0, "blue", 1.0), Set.of("x"), 1000, 5);
    static final Flow RED = CONFIG.flow("red", "x", 2);
    static final Flow BLUE = CONFIG.flow("blue", "x", 2);

    private AdmissionFixtures() {}

    /** Returns a table that limits RED to a slow admission window at the start of the ring. */
    static AdmissionWindowTable tableLimitingRed(long term, long sequence) {
        return new AdmissionWindowTable(term, sequence, new TreeMap<>(Map.of(RED, new AdmissionWindow(0, 0.01))));
    }

    static LoadShedder loadShedder() {
        return new LoadShedder(CONFIG, 100);
    }

    /** Returns a job id that is more than 20 s away from the admission window of {@link #tableLimitingRed}. */
    static String jobOutsideWindow() {
        AdmissionWindowTable table = tableLimitingRed(1, 1);
        int number = 0;
        while (table.waitS(RED, "job-" + number, 0) <= 20) {
            number++;
        }
        return "job-" + number;
    }

    /** Asserts that a call throws {@link InvalidInputException} for the argument of this name. */
    static void assertInvalid(String argument, Runnable call) {
        InvalidInputException invalid = assertThrows(InvalidInputException.class, call::run);
        assertEquals(argument, invalid.argument(), invalid.getMessage());
    }
}
