package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Pins every name in the settings file: the value read from it, and the error if it is missing or invalid. */
class GoldenSettingsTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String FULL_SETTINGS = CommandLineRunner.goldenFile("settings-every-name.json");
    private static final String ERROR_PREFIX = "stileferry: settings: ";

    @TempDir
    private Path dir;

    private CommandLineRunner.Outcome checkConfig(String settings) throws IOException {
        Path file = Files.writeString(dir.resolve("settings.json"), settings);
        return CommandLineRunner.run("check-config", file.toString());
    }

    private static String errorLines(List<String> problems) {
        return problems.stream().map(problem -> ERROR_PREFIX + problem).collect(Collectors.joining("\n"));
    }

    @Test
    void everyNameIsRead() {
        assertEquals(
                CommandLineRunner.goldenFile("settings-as-read.txt"), GoldenSettingsFields.describe(FULL_SETTINGS));
    }

    @Test
    void settingsWithEveryNameAreValid() throws IOException {
        assertEquals(
                new CommandLineRunner.Outcome(0, "settings are usable\nfeatures on: none", ""),
                checkConfig(FULL_SETTINGS));
    }

    static Stream<String> problems() {
        return CommandLineRunner.goldenFile("settings-messages.txt").lines().skip(1);
    }

    @ParameterizedTest
    @MethodSource("problems")
    void invalidAndMissingValuesAreReportedByName(String line) throws IOException {
        List<String> columns =
                Arrays.stream(line.split("\\|")).map(String::strip).toList();
        ObjectNode settings = (ObjectNode) JSON.readTree(FULL_SETTINGS);
        replaceOrRemove(settings, columns.get(0), columns.get(1));
        assertEquals(
                new CommandLineRunner.Outcome(2, "", errorLines(columns.subList(2, columns.size()))),
                checkConfig(settings.toString()));
    }

    private static void replaceOrRemove(JsonNode settings, String pointer, String value) throws IOException {
        int slash = pointer.lastIndexOf('/');
        String name = pointer.substring(slash + 1);
        ObjectNode parent = (ObjectNode) settings.at(pointer.substring(0, slash));
        assertTrue(parent.has(name), "the golden settings have no such name: " + pointer);
        if (value.equals("-")) {
            parent.remove(name);
        } else {
            parent.set(name, JSON.readTree(value));
        }
    }

    /** Removes an optional name and checks the default that is read instead. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "/cluster/teams/0/cpus|team: red cpus 0.0 to 102.5, gpus 103.5 to 104.5",
                "/cluster/teams/0/cpus_max|team: red cpus 101.5 to 0.0, gpus 103.5 to 104.5",
                "/cluster/teams/0/gpus|team: red cpus 101.5 to 102.5, gpus 0.0 to 104.5",
                "/cluster/teams/0/gpus_max|team: red cpus 101.5 to 102.5, gpus 103.5 to 0.0",
                "/cluster/workers/gang_wait_s|"
                        + "workers: report 3.5, lease 32.5, cancel 52.5, gang wait 0.0, gang peer 6.5",
                "/cluster/workers/gang_peer_s|"
                        + "workers: report 3.5, lease 32.5, cancel 52.5, gang wait 40.5, gang peer 0.0",
                "/cluster/state/next|state limits: requests 150.5, writes 30.5, value 16.5, transaction 12",
                "/cluster/state/next/rps|state limits: requests 150.5, writes 30.5, value 15.5, transaction 11",
                "/cluster/state/next/value_kb|state limits: requests 149.5, writes 30.5, value 16.5, transaction 11",
                "/cluster/state/next/txn_ops|state limits: requests 149.5, writes 30.5, value 15.5, transaction 12",
                "/cluster/machine_limits/cores|machine: cores 1.0, sockets 3000",
                "/cluster/clock_off_ms|clock off: -1.0"
            })
    void optionalNamesHaveDefaults(String pointer, String line) throws IOException {
        ObjectNode settings = (ObjectNode) JSON.readTree(FULL_SETTINGS);
        replaceOrRemove(settings, pointer, "-");
        String described = GoldenSettingsFields.describe(settings.toString());
        assertTrue(described.lines().anyMatch(line::equals), described);
    }

    @Test
    void lowerOfTheCurrentAndNextWriteLimitIsUsed() throws IOException {
        ObjectNode settings = (ObjectNode) JSON.readTree(FULL_SETTINGS);
        replaceOrRemove(settings, "/cluster/state/next/write_rps", "29.5");
        String line = "state limits: requests 149.5, writes 29.5, value 15.5, transaction 11";
        String described = GoldenSettingsFields.describe(settings.toString());
        assertTrue(described.lines().anyMatch(line::equals), described);
    }

    @Test
    void objectivesAreOptional() throws IOException {
        ObjectNode settings = (ObjectNode) JSON.readTree(FULL_SETTINGS);
        replaceOrRemove(settings, "/cluster/objectives", "-");
        assertEquals(
                CommandLineRunner.goldenFile("settings-as-read.txt").replaceAll("objective: [^\n]*\n", ""),
                GoldenSettingsFields.describe(settings.toString()));
    }

    @Test
    void unknownNamesAreIgnoredEverywhere() throws IOException {
        ObjectNode settings = (ObjectNode) JSON.readTree(FULL_SETTINGS);
        List<ObjectNode> objects = new ArrayList<>();
        collectObjects(settings, objects);
        assertEquals(15, objects.size(), "number of objects in the golden settings");
        objects.forEach(object -> object.put("a_name_nobody_knows", 1));
        assertEquals(
                CommandLineRunner.goldenFile("settings-as-read.txt"),
                GoldenSettingsFields.describe(settings.toString()));
    }

    private static void collectObjects(JsonNode node, List<ObjectNode> found) {
        if (node instanceof ObjectNode object) {
            found.add(object);
        }
        if (node instanceof ObjectNode || node instanceof ArrayNode) {
            node.forEach(child -> collectObjects(child, found));
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "[]|the settings must be a JSON object",
                "7|the settings must be a JSON object",
                "''|the settings must be a JSON object"
            })
    void settingsThatAreNotAnObjectAreReported(String text, String problem) throws IOException {
        assertEquals(new CommandLineRunner.Outcome(2, "", ERROR_PREFIX + problem), checkConfig(text));
    }

    @Test
    void invalidJsonIsReportedInOneLine() throws IOException {
        CommandLineRunner.Outcome outcome = checkConfig("{\"host_name\":");
        assertEquals(2, outcome.exitCode());
        assertTrue(outcome.err().startsWith(ERROR_PREFIX + "not valid JSON: "), outcome.err());
        assertEquals(1, outcome.err().lines().count());
    }

    /** The command check-config reports all problems, serve only the first one. */
    @Test
    void emptySettingsAreReportedWithEveryRequiredName() throws IOException {
        assertEquals(
                new CommandLineRunner.Outcome(
                        2,
                        "",
                        errorLines(CommandLineRunner.goldenFile("settings-all-missing.txt")
                                .lines()
                                .toList())),
                checkConfig("{}"));
        assertEquals(
                new CommandLineRunner.Outcome(2, "", ERROR_PREFIX + "host_name: missing or not a text"),
                CommandLineRunner.run(
                        "serve", "--config", dir.resolve("settings.json").toString()));
    }
}
