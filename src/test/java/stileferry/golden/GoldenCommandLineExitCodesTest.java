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

/** Pins the exit codes 0 to 3 with a case of each, and the one line on standard error that goes with it. */
class GoldenCommandLineExitCodesTest {
    private static GoldenCommandLineRunner.Outcome failed(int exitCode, String err) {
        return new GoldenCommandLineRunner.Outcome(exitCode, "", err);
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
    void refusalsGiveThreeAndFailuresOne(int status, String body, int exitCode, String reason) throws IOException {
        try (GoldenCommandLineStub controller = new GoldenCommandLineStub()) {
            controller.answers(status, body);
            for (String command : List.of("status", "withdraw")) {
                assertEquals(
                        failed(exitCode, "stileferry: refused with " + status + reason),
                        GoldenCommandLineRunner.run(
                                command, "--node", controller.address(), "--patience", "0", "job-1"));
            }
        }
    }

    /** A success without a body can't be printed. */
    @Test
    void aSuccessWithoutABodyGivesOne() throws IOException {
        try (GoldenCommandLineStub controller = new GoldenCommandLineStub()) {
            controller.answers(200, "");
            assertEquals(
                    failed(1, "stileferry: refused with 200"),
                    GoldenCommandLineRunner.run("status", "--node", controller.address(), "job-1"));
        }
    }

    @Test
    void noAnswerGivesOne() {
        assertEquals(
                failed(1, "stileferry: no answer from [127.0.0.1:1, 127.0.0.1:2]"),
                GoldenCommandLineRunner.run("status", "--node=127.0.0.1:1,127.0.0.1:2", "--patience=0", "job-1"));
    }

    @Test
    void aJobFileThatIsMissingGivesOne(@TempDir Path dir) {
        Path file = dir.resolve("none.json");
        assertEquals(
                failed(1, "stileferry: java.nio.file.NoSuchFileException: " + file),
                GoldenCommandLineRunner.run("submit", "--node=127.0.0.1:1", "--file=" + file));
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
    void wrongUsageGivesTwo(String command, String reason) {
        assertEquals(
                failed(2, "stileferry: " + reason + " (see --help)"), GoldenCommandLineRunner.run(command.split(" ")));
    }

    @Test
    void noCommandAtAllGivesTwo() {
        assertEquals(failed(2, "stileferry: a command is missing (see --help)"), GoldenCommandLineRunner.run());
    }

    @ParameterizedTest
    @CsvSource({"serve --config", "check-config"})
    void unreadableSettingsGiveTwo(String command, @TempDir Path dir) {
        Path file = dir.resolve("none.json");
        String reason = "can't read " + file + ": java.nio.file.NoSuchFileException: " + file;
        assertEquals(
                failed(2, "stileferry: settings: " + reason),
                GoldenCommandLineRunner.run((command + " " + file).split(" ")));
    }

    @Test
    void anAddressInUseGivesOne(@TempDir Path dir) throws IOException {
        try (GoldenCommandLineStub taken = new GoldenCommandLineStub()) {
            Path config = dir.resolve("node.json");
            String settings = GoldenCommandLineRunner.resource("settings-every-name.json")
                    .replace("10.0.0.1:8080", taken.address())
                    .replace("10.0.0.1:8081", taken.address());
            Files.writeString(config, settings);
            GoldenCommandLineRunner.Outcome outcome =
                    GoldenCommandLineRunner.run("serve", "--config", config.toString());
            assertEquals(1, outcome.exitCode(), outcome.err());
            String line = outcome.err().lines().reduce((first, last) -> last).orElse("");
            assertTrue(line.startsWith("stileferry: can't start: java.net.BindException: "), outcome.err());
        }
    }
}
