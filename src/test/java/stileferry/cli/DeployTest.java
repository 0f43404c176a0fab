package stileferry.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** The JVM's memory limits in the deployment file fit the smallest machine. */
class DeployTest {
    /**
     * The smallest controllers have 194 MB, of which the JVM itself takes about 20 MB and the stacks of its threads 8
     * MB.
     */
    private static final int MAX_BOUNDED_MB = 194 - 20 - 8;

    /**
     * A process that exceeds its machine's memory is killed. If the limits of the JVM's memory areas add up to more
     * than the machine has, the areas will grow beyond it eventually.
     */
    @Test
    void sumOfMemoryLimitsFitsSmallestMachine() throws IOException {
        Matcher limits = Pattern.compile("-(?:Xmx|XX:(?:MaxMetaspace|ReservedCodeCache|MaxDirectMemory)Size=)(\\d+)m")
                .matcher(Files.readString(Path.of("deploy/service.toml")));
        int sumMb = 0;
        int count = 0;
        while (limits.find()) {
            sumMb += Integer.parseInt(limits.group(1));
            count++;
        }
        assertEquals(4, count, "number of memory areas with a limit");
        assertTrue(sumMb <= MAX_BOUNDED_MB, sumMb + " MB");
    }
}
