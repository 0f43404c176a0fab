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

/** Pins the files that the platform and the operators use as they are: the deploy file and the features files. */
class GoldenDeployTest {
    private static final Path SERVICE = Path.of("deploy/service.toml");

    @TempDir
    private Path dir;

    private static List<String> service() throws IOException {
        return Files.readAllLines(SERVICE);
    }

    @Test
    void theBuildCommandStays() throws IOException {
        assertTrue(
                service().contains("build = \"mvn -q -B -DskipTests package\""),
                service().toString());
    }

    @Test
    void theRunCommandStays() throws IOException {
        String run =
                """
                run = "java -XX:SharedArchiveFile=target/stileferry.jsa -Xshare:auto -XX:+UseSerialGC \
                -XX:TieredStopAtLevel=1 -Xms48m -Xmx84m -Xss512k -XX:MaxMetaspaceSize=40m \
                -XX:ReservedCodeCacheSize=20m -XX:MaxDirectMemorySize=16m -XX:-UsePerfData -XX:+ErrorFileToStderr \
                -cp target/stileferry.jar stileferry.cli.Daemon --features deploy/features.json --config\"""";
        assertTrue(service().contains(run), service().toString());
    }

    @Test
    void theDeployFileHasTheNamesThatThePlatformReads() throws IOException {
        assertEquals(
                List.of("production", "build", "run"),
                service().stream()
                        .filter(line -> !line.isBlank())
                        .map(line -> line.split(" = ")[0])
                        .toList());
    }

    /** The jar of the run command, and the class that it starts without another's name. */
    @Test
    void theBuildMakesTheJarThatIsRun() throws IOException {
        String build = Files.readString(Path.of("pom.xml"));
        assertTrue(build.contains("<finalName>stileferry</finalName>"));
        assertTrue(build.contains("<mainClass>stileferry.cli.Main</mainClass>"));
        assertTrue(build.contains("<argument>-XX:ArchiveClassesAtExit=target/stileferry.jsa</argument>"));
    }

    @Test
    void everyClassThatTheFilesNameExists() throws Exception {
        Pattern name = Pattern.compile("stileferry(?:\\.[a-z]+)+\\.[A-Z][A-Za-z]+");
        List<String> found = new ArrayList<>();
        for (Path file : List.of(SERVICE, Path.of("pom.xml"))) {
            name.matcher(Files.readString(file))
                    .results()
                    .map(MatchResult::group)
                    .forEach(found::add);
        }
        assertEquals(3, found.size(), found.toString());
        for (String each : found) {
            assertTrue(
                    Class.forName(each, false, getClass().getClassLoader()).getMethod("main", String[].class) != null,
                    each);
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
    void bothMainClassesStart(String name, String args, int exitCode, String line) throws Exception {
        List<String> command = new ArrayList<>(List.of(
                ProcessHandle.current().info().command().orElse("java"),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                name));
        command.addAll(args == null ? List.of() : List.of(args.split(" ")));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        try {
            String printed = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(process.waitFor(20, TimeUnit.SECONDS), "it ends by itself");
            assertEquals(line, printed.strip());
            assertEquals(exitCode, process.exitValue());
        } finally {
            process.destroy();
        }
    }

    // ---- features

    private GoldenCommandLineRunner.Outcome checkWith(Path features) throws IOException {
        Path settings = Files.writeString(
                dir.resolve("settings.json"), GoldenCommandLineRunner.resource("settings-every-name.json"));
        return GoldenCommandLineRunner.run("check-config", settings.toString(), "--features", features.toString());
    }

    @Test
    void theDeployedFeaturesFileTurnsNothingOn() throws IOException {
        assertEquals("{}", Files.readString(Path.of("deploy/features.json")).strip());
        assertEquals(
                new GoldenCommandLineRunner.Outcome(0, "settings are usable\nfeatures on: none", ""),
                checkWith(Path.of("deploy/features.json")));
    }

    @Test
    void theOtherFeaturesFileTurnsEverythingOn() throws IOException {
        Path file = Path.of("deploy/features-all.json");
        assertEquals(
                "{\"partial_cuts\": true, \"fair_admission\": true}",
                Files.readString(file).strip());
        assertEquals(
                new GoldenCommandLineRunner.Outcome(
                        0, "settings are usable\nfeatures on: partial_cuts, fair_admission", ""),
                checkWith(file));
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
    void eachFeatureHasItsName(String json, String on) throws IOException {
        assertEquals(
                new GoldenCommandLineRunner.Outcome(0, "settings are usable\nfeatures on: " + on, ""),
                checkWith(Files.writeString(dir.resolve("features.json"), json)));
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
    void wrongFeaturesAreReported(String json, String problem) throws IOException {
        assertEquals(
                new GoldenCommandLineRunner.Outcome(2, "", "stileferry: features: " + problem),
                checkWith(Files.writeString(dir.resolve("features.json"), json)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{\"partial_cuts\":"})
    void unreadableFeaturesAreReportedInOneLine(String text) throws IOException {
        GoldenCommandLineRunner.Outcome outcome = checkWith(Files.writeString(dir.resolve("features.json"), text));
        assertEquals(2, outcome.exitCode());
        assertFalse(outcome.err().contains("\n"), outcome.err());
        assertTrue(outcome.err().startsWith("stileferry: features: "), outcome.err());
        GoldenCommandLineRunner.Outcome missing = checkWith(dir.resolve("none.json"));
        String file = dir.resolve("none.json").toString();
        assertEquals(
                "stileferry: features: can't read " + file + ": java.nio.file.NoSuchFileException: " + file,
                missing.err());
    }
}
