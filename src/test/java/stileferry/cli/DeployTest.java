package stileferry.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** The deploy file names what the build makes, and its memory bounds add up. */
class DeployTest {
    /** The smallest controllers have 194 MB; of these the runtime itself takes some 20, and its threads' stacks 8. */
    private static final int MAX_BOUNDED_MB = 194 - 20 - 8;

    /**
     * A process over its machine's memory is killed: areas that may grow beyond it all the same would do so one day.
     */
    @Test
    void sumOfMemoryLimitsFitsSmallestMachine() throws IOException {
        Matcher bounds = Pattern.compile("-(?:Xmx|XX:(?:MaxMetaspace|ReservedCodeCache|MaxDirectMemory)Size=)(\\d+)m")
                .matcher(Files.readString(Path.of("deploy/service.toml")));
        int sum = 0;
        int count = 0;
        while (bounds.find()) {
            sum += Integer.parseInt(bounds.group(1));
            count++;
        }
        assertEquals(4, count, "areas with a bound");
        assertTrue(sum <= MAX_BOUNDED_MB, sum + " MB");
    }
}
