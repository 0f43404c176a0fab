package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Pins the exit codes 0 to 3 with examples of each, and the single line on standard error that goes with a failure.
 */
class GoldenCommandLineExitCodesTest {
    private static CommandLineRunner.Outcome failure(int exitCode, String err) {
        return new CommandLineRunner.Outcome(exitCode, "", err);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "400|{\"error\":\"crew: unknown\"}|3|: crew: unknown",
                "404|{\"error\":\"no such job\"}|3|: no such job",
                "405|{\"error\":\"only GET here\"}|3|: only GET here",
                "409|{\"error\":\"revision: now at 2\"}|3|: revision: now at 2",
                "422|{\"other\":1}|3|: {\"other\":1}",
                "404|''|3|''",
                "429|{\"error\":\"later\"}|1|: later",
                "500|''|1|''",
                "503|{\"error\":\"try again\"}|1|: try again",
                "302|''|1|''"
            })
    void rejectionsExitWithThreeAndFailuresWithOne(int status, String body, int exitCode, String reason)
            throws IOException {
        try (StubController controller = new StubController()) {
            controller.respondWith(status, body);
            for (String command : List.of("status", "withdraw")) {
                assertEquals(
                        failure(exitCode, "stileferry: refused with " + status + reason),
                        CommandLineRunner.run(command, "--node", controller.address(), "--patience", "0", "job-1"));
            }
        }
    }

    /** A successful response must have a body, since the command has to print it. */
    @Test
    void successWithoutABodyExitsWithOne() throws IOException {
        try (StubController controller = new StubController()) {
            controller.respondWith(200, "");
            assertEquals(
                    failure(1, "stileferry: refused with 200"),
                    CommandLineRunner.run("status", "--node", controller.address(), "job-1"));
        }
    }

    @Test
    void missingResponseExitsWithOne() {
        assertEquals(
                failure(1, "stileferry: no answer from [127.0.0.1:1, 127.0.0.1:2]"),
                CommandLineRunner.run("status", "--node=127.0.0.1:1,127.0.0.1:2", "--patience=0", "job-1"));
    }

    @Test
    void missingJobFileExitsWithOne(@TempDir Path dir) {
        Path file = dir.resolve("none.json");
        assertEquals(
                failure(1, "stileferry: java.nio.file.NoSuchFileException: " + file),
                CommandLineRunner.run("submit", "--node=127.0.0.1:1", "--file=" + file));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "''|Unmatched argument at index 0: ''",
                "admin|a command is missing",
                "nonsense|Unmatched argument at index 0: 'nonsense'",
                "status job-1|Missing required option: '--node=ADDR'",
                "status --node=a:1|Missing required parameter: 'ID'",
                "withdraw --node=a:1|Missing required parameter: 'ID'",
                "withdraw job-1|Missing required option: '--node=ADDR'",
                "status --node=a:1 --patience=x j|Invalid value for option '--patience': 'x' is not an int",
                "submit --node=a:1 --tasks=many|Invalid value for option '--tasks': 'many' is not an int",
                "submit --node=a:1 --kind=x|Invalid value for option '--kind': expected one of [ARRAY, SERVICE, GANG] "
                        + "(case-insensitive) but was 'x'",
                "submit --node=a:1 --priority=x|Invalid value for option '--priority': expected one of "
                        + "[CRITICAL, URGENT, NORMAL, IDLE] (case-insensitive) but was 'x'",
                "admin get|Missing required option: '--node=ADDR'",
                "admin set --node=a:1 a=1|Missing required option: '--revision=<revision>'",
                "admin set --node=a:1 --revision=1|Missing required parameter: 'NAME=VALUE'",
                "admin reset --node=a:1|Missing required option: '--revision=<revision>'",
                "admin show --node=a:1|Missing required parameter: 'VIEW'",
                "admin show --node=a:1 x|Invalid value for positional parameter at index 0 (VIEW): expected one of "
                        + "[LEADER, MACHINES, QUEUE, TEAMS, COUNTERS, LINKS, ADMISSION] (case-insensitive) but was 'x'",
                "serve|Missing required option: '--config=FILE'",
                "check-config|Missing required parameter: 'FILE'",
                "stand-ins|Missing required option: '--dir=DIR'"
            })
    void wrongUsageExitsWithTwo(String command, String reason) {
        assertEquals(failure(2, "stileferry: " + reason + " (see --help)"), CommandLineRunner.run(command.split(" ")));
    }

    @Test
    void missingCommandExitsWithTwo() {
        assertEquals(failure(2, "stileferry: a command is missing (see --help)"), CommandLineRunner.run());
    }

    @ParameterizedTest
    @CsvSource({"serve --config", "check-config"})
    void unreadableSettingsExitWithTwo(String command, @TempDir Path dir) {
        Path file = dir.resolve("none.json");
        String reason = "can't read " + file + ": java.nio.file.NoSuchFileException: " + file;
        assertEquals(
                failure(2, "stileferry: settings: " + reason),
                CommandLineRunner.run((command + " " + file).split(" ")));
    }

    @Test
    void addressInUseExitsWithOne(@TempDir Path dir) throws IOException {
        try (StubController occupant = new StubController()) {
            Path config = dir.resolve("node.json");
            String settings = CommandLineRunner.goldenFile("settings-every-name.json")
                    .replace("10.0.0.1:8080", occupant.address())
                    .replace("10.0.0.1:8081", occupant.address());
            Files.writeString(config, settings);
            CommandLineRunner.Outcome outcome = CommandLineRunner.run("serve", "--config", config.toString());
            assertEquals(1, outcome.exitCode(), outcome.err());
            String lastLine =
                    outcome.err().lines().reduce((first, last) -> last).orElse("");
            assertTrue(lastLine.startsWith("stileferry: can't start: java.net.BindException: "), outcome.err());
        }
    }
}
