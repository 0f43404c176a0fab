package stileferry.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import stileferry.protocol.Features;
import stileferry.transport.StandInServer;

/**
 * The features file: both deployed files are valid, an invalid one ends the process, and the classes of disabled
 * features are not loaded.
 */
class FeaturesSwitchTest {
    private static final long RUN_S = 4;

    @TempDir
    private Path dir;

    private static String standardErrorOf(int expected, String... args) {
        PrintStream before = System.err;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        System.setErr(new PrintStream(bytes));
        try {
            assertEquals(expected, Daemon.run(args));
        } finally {
            System.setErr(before);
        }
        return bytes.toString();
    }

    @Test
    void deployedFeaturesFilesAreValid() {
        assertTrue(FeaturesFile.read(Path.of("deploy/features.json")).features() != null);
        assertEquals(
                new Features(true, true),
                FeaturesFile.read(Path.of("deploy/features-all.json")).features());
    }

    @Test
    void invalidFeaturesFileEndsProcessWithOneLineNamingTheField() throws IOException {
        StandInServer standIns = StandIns.start(Ports.findFreeRange(7), dir);
        standIns.close();
        String config = dir.resolve("node-0.json").toString();
        Path features = dir.resolve("features.json");
        Files.writeString(features, "{\"partial_cuts\":\"yes\"}");
        String wrongType = standardErrorOf(2, "--config", config, "--features", features.toString());
        assertEquals("stileferry: features: partial_cuts: must be true or false", wrongType.strip());
        Files.writeString(features, "{\"partial\":true}");
        String unknown = standardErrorOf(2, "--config", config, "--features", features.toString());
        assertEquals("stileferry: features: partial: no such feature", unknown.strip());
        String missing = standardErrorOf(
                2, "--config", config, "--features", dir.resolve("none.json").toString());
        assertTrue(missing.startsWith("stileferry: features: can't read"), missing);
        assertEquals(1, missing.strip().lines().count());
    }

    /** A controller with a tenth of a core must not bear the cost of disabled features. */
    @Test
    @SuppressWarnings("try") // the stand-ins only need to run meanwhile
    void disabledFeatureLoadsNoClasses() throws Exception {
        int port = Ports.findFreeRange(7);
        try (StandInServer standIns = StandIns.start(port, dir)) {
            Path none = dir.resolve("none.json");
            Files.writeString(none, "{}");
            String disabled = loadedClasses(none.toString());
            assertTrue(
                    disabled.contains("stileferry.coordination.Leader "), "the controller must have become the leader");
            assertFalse(disabled.contains("stileferry.connectivity"), "loaded although the feature is disabled");
            assertFalse(disabled.contains("org.roaringbitmap"), "loaded although the feature is disabled");
            assertFalse(disabled.contains("stileferry.admission"), "loaded although the feature is disabled");
            assertFalse(disabled.contains("org.apache.datasketches"), "loaded although the feature is disabled");
            String enabled = loadedClasses("deploy/features-all.json");
            assertTrue(
                    enabled.contains("stileferry.connectivity.Connectivity "),
                    "not loaded although the feature is enabled");
            assertTrue(
                    enabled.contains("stileferry.admission.AdmissionController "),
                    "not loaded although the feature is enabled");
        }
    }

    private String loadedClasses(String features) throws IOException, InterruptedException {
        File log = dir.resolve("classes.log").toFile();
        Process process = new ProcessBuilder(
                        ProcessHandle.current().info().command().orElse("java"),
                        "-Xlog:class+load:file=" + log,
                        "-cp",
                        System.getProperty("java.class.path"),
                        "stileferry.cli.Daemon",
                        "--config",
                        dir.resolve("node-0.json").toString(),
                        "--features",
                        features)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        try {
            assertFalse(process.waitFor(RUN_S, TimeUnit.SECONDS), "the controller exited by itself");
        } finally {
            process.destroy();
            process.waitFor();
        }
        return Files.readString(log.toPath());
    }
}
