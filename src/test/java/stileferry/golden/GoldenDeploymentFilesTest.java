package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Pins the files that the platform and the operators depend on: the deployment file, the features files, and the build
 * that produces what they run.
 */
class GoldenDeploymentFilesTest {
    private static final Path DEPLOY_FILE = Path.of("deploy/service.toml");

    @TempDir
    private Path dir;

    private static List<String> deployFileLines() throws IOException {
        return Files.readAllLines(DEPLOY_FILE);
    }

    @Test
    void buildCommandIsUnchanged() throws IOException {
        assertTrue(
                deployFileLines().contains("build = \"mvn -q -B -DskipTests package\""),
                deployFileLines().toString());
    }

    @Test
    void runCommandIsUnchanged() throws IOException {
        String run =
                """
                run = "java -XX:SharedArchiveFile=target/stileferry.jsa -Xshare:auto -XX:+UseSerialGC \
                -XX:TieredStopAtLevel=1 -Xms48m -Xmx84m -Xss512k -XX:MaxMetaspaceSize=40m \
                -XX:ReservedCodeCacheSize=20m -XX:MaxDirectMemorySize=16m -XX:-UsePerfData -XX:+ErrorFileToStderr \
                -cp target/stileferry.jar stileferry.cli.Daemon --features deploy/features.json --config\"""";
        assertTrue(deployFileLines().contains(run), deployFileLines().toString());
    }

    @Test
    void deployFileHasOnlyTheNamesThatThePlatformReads() throws IOException {
        assertEquals(
                List.of("production", "build", "run"),
                deployFileLines().stream()
                        .filter(line -> !line.isBlank())
                        .map(line -> line.split(" = ")[0])
                        .toList());
    }

    /** Checks the name of the jar in the run command, the default main class of the jar, and the class archive. */
    @Test
    void buildProducesTheJarOfTheRunCommand() throws IOException {
        String build = Files.readString(Path.of("pom.xml"));
        assertTrue(build.contains("<finalName>stileferry</finalName>"));
        assertTrue(build.contains("<mainClass>stileferry.cli.Main</mainClass>"));
        assertTrue(build.contains("<argument>-XX:ArchiveClassesAtExit=target/stileferry.jsa</argument>"));
    }

    @Test
    void everyClassNamedInTheFilesExists() throws Exception {
        Pattern classNamePattern = Pattern.compile("stileferry(?:\\.[a-z]+)+\\.[A-Z][A-Za-z]+");
        List<String> classNames = new ArrayList<>();
        for (Path file : List.of(DEPLOY_FILE, Path.of("pom.xml"))) {
            classNamePattern
                    .matcher(Files.readString(file))
                    .results()
                    .map(MatchResult::group)
                    .forEach(classNames::add);
        }
        assertEquals(3, classNames.size(), classNames.toString());
        for (String className : classNames) {
            assertTrue(
                    Class.forName(className, false, getClass().getClassLoader()).getMethod("main", String[].class)
                            != null,
                    className);
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "stileferry.cli.Daemon||2|stileferry: Missing required option: config "
                        + "(usage: --config FILE [--features FILE])",
                "stileferry.cli.Daemon|--config|2|stileferry: Missing argument for option: config "
                        + "(usage: --config FILE [--features FILE])",
                "stileferry.cli.Daemon|--config none more|2|stileferry: unknown argument: more "
                        + "(usage: --config FILE [--features FILE])",
                "stileferry.cli.Daemon|--config none --features none|2|stileferry: settings: can't read none: "
                        + "java.nio.file.NoSuchFileException: none",
                "stileferry.cli.Main|--version|0|stileferry 0.1.0",
                "stileferry.cli.Main||2|stileferry: a command is missing (see --help)"
            })
    void bothMainClassesStart(String mainClass, String arguments, int exitCode, String expectedOutput)
            throws Exception {
        List<String> command = new ArrayList<>(List.of(
                ProcessHandle.current().info().command().orElse("java"),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                mainClass));
        command.addAll(arguments == null ? List.of() : List.of(arguments.split(" ")));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        try {
            String printed = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(process.waitFor(20, TimeUnit.SECONDS), "the process did not exit by itself");
            assertEquals(expectedOutput, printed.strip());
            assertEquals(exitCode, process.exitValue());
        } finally {
            process.destroy();
        }
    }

    // ---- features files

    private CommandLineRunner.Outcome checkConfigWithFeatures(Path features) throws IOException {
        Path settings = Files.writeString(
                dir.resolve("settings.json"), CommandLineRunner.goldenFile("settings-every-name.json"));
        return CommandLineRunner.run("check-config", settings.toString(), "--features", features.toString());
    }

    @Test
    void deployedFeaturesFileEnablesNothing() throws IOException {
        assertEquals("{}", Files.readString(Path.of("deploy/features.json")).strip());
        assertEquals(
                new CommandLineRunner.Outcome(0, "settings are usable\nfeatures on: none", ""),
                checkConfigWithFeatures(Path.of("deploy/features.json")));
    }

    @Test
    void allFeaturesFileEnablesEveryFeature() throws IOException {
        Path file = Path.of("deploy/features-all.json");
        assertEquals(
                "{\"partial_cuts\": true, \"fair_admission\": true}",
                Files.readString(file).strip());
        assertEquals(
                new CommandLineRunner.Outcome(0, "settings are usable\nfeatures on: partial_cuts, fair_admission", ""),
                checkConfigWithFeatures(file));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"partial_cuts\":true}|partial_cuts",
                "{\"fair_admission\":true}|fair_admission",
                "{\"fair_admission\":true,\"partial_cuts\":true}|partial_cuts, fair_admission",
                "{\"fair_admission\":false,\"partial_cuts\":false}|none"
            })
    void featuresAreEnabledByName(String json, String enabledFeatures) throws IOException {
        assertEquals(
                new CommandLineRunner.Outcome(0, "settings are usable\nfeatures on: " + enabledFeatures, ""),
                checkConfigWithFeatures(Files.writeString(dir.resolve("features.json"), json)));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"gangs\":true}|gangs: no such feature",
                "{\"partial_cuts\":1}|partial_cuts: must be true or false",
                "{\"fair_admission\":\"yes\"}|fair_admission: must be true or false",
                "[]|must be a JSON object"
            })
    void invalidFeaturesAreReported(String json, String problem) throws IOException {
        assertEquals(
                new CommandLineRunner.Outcome(2, "", "stileferry: features: " + problem),
                checkConfigWithFeatures(Files.writeString(dir.resolve("features.json"), json)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{\"partial_cuts\":"})
    void unreadableFeaturesFileIsReportedInOneLine(String text) throws IOException {
        CommandLineRunner.Outcome outcome =
                checkConfigWithFeatures(Files.writeString(dir.resolve("features.json"), text));
        assertEquals(2, outcome.exitCode());
        assertFalse(outcome.err().contains("\n"), outcome.err());
        assertTrue(outcome.err().startsWith("stileferry: features: "), outcome.err());
        CommandLineRunner.Outcome missing = checkConfigWithFeatures(dir.resolve("none.json"));
        String file = dir.resolve("none.json").toString();
        assertEquals(
                "stileferry: features: can't read " + file + ": java.nio.file.NoSuchFileException: " + file,
                missing.err());
    }
}
