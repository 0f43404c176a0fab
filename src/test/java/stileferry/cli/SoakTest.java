package stileferry.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A few seeds of the soak, short, on real processes; {@link Soak} runs many by hand. */
class SoakTest {
    private static final long FAULTS_MS = 15_000;

    @TempDir
    private Path dir;

    /** The second seed has several hundred machines. */
    @ParameterizedTest
    @CsvSource({"101, 16", "102, 300"})
    @Timeout(300)
    void noRuleIsBrokenAndEveryAcceptedJobIsAnsweredAfterOverlappingFaults(long seed, int machines) throws Exception {
        SoakRun.Result result = SoakRun.run(seed, machines, FAULTS_MS, dir);
        assertEquals(
                List.of(),
                result.violations(),
                () -> "seed " + seed + " faults " + result.faults() + "\n" + result.logs());
    }
}
