package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Pins the help texts: names of all commands and flags, their values and their descriptions. */
class GoldenCommandLineHelpTest {
    @ParameterizedTest
    @CsvSource({
        "serve, help-serve.txt",
        "check-config, help-check-config.txt",
        "submit, help-submit.txt",
        "status, help-status.txt",
        "stand-ins, help-stand-ins.txt",
        "admin, help-admin.txt",
        "admin get, help-admin-get.txt",
        "admin set, help-admin-set.txt",
        "admin reset, help-admin-reset.txt",
        "admin show, help-admin-show.txt"
    })
    void commandHelpListsItsFlags(String command, String file) {
        CommandLineRunner.Outcome outcome = CommandLineRunner.run((command + " --help").split(" "));
        assertEquals(0, outcome.exitCode());
        assertEquals(CommandLineRunner.goldenFile(file), outcome.out());
        assertEquals("", outcome.err());
    }

    /** Does not check the usage line, because the command may use either of its names there. */
    @Test
    void withdrawHelpListsItsFlags() {
        CommandLineRunner.Outcome outcome = CommandLineRunner.run("withdraw", "--help");
        assertEquals(0, outcome.exitCode());
        String expected =
                """
                      ID             The job.
                  -h, --help         Show this help message and exit.
                      --json         Print the answer as JSON.
                      --node=ADDR[,ADDR...]
                                     Client addresses of controllers, such as 127.0.0.1:7701;
                                       more than one with commas.
                      --patience=S   Seconds for which a request is repeated (default 60).
                  -V, --version      Print version information and exit.
                """;
        assertTrue(outcome.out().contains(expected.stripTrailing()), outcome.out());
    }

    /** The program may gain commands, but these must remain. */
    @ParameterizedTest
    @ValueSource(strings = {"serve", "check-config", "submit", "status", "withdraw", "admin", "stand-ins"})
    void programHelpListsEachCommand(String command) {
        CommandLineRunner.Outcome outcome = CommandLineRunner.run("--help");
        assertEquals(0, outcome.exitCode());
        assertTrue(
                outcome.out().lines().anyMatch(line -> List.of(line.strip().split("[ ,]+"))
                        .contains(command)),
                outcome.out());
    }

    @Test
    void programHelpExplainsTheExitCodes() {
        String help = CommandLineRunner.run("--help").out();
        assertTrue(help.startsWith("Usage: stileferry [-hV] [COMMAND]\nA cluster scheduler.\n"), help);
        String footer =
                """

                Exit codes: 0 done, 1 failed or no answer, 2 wrong usage or settings, 3 refused
                by the service.""";
        assertTrue(help.endsWith(footer), help);
    }

    @ParameterizedTest
    @ValueSource(strings = {"--version", "-V"})
    void versionIsPrinted(String flag) {
        CommandLineRunner.Outcome outcome = CommandLineRunner.run(flag);
        assertEquals(new CommandLineRunner.Outcome(0, "stileferry 0.1.0", ""), outcome);
    }

    @ParameterizedTest
    @ValueSource(strings = {"-h", "--help"})
    void bothHelpFlagsPrintTheHelp(String flag) {
        assertEquals(0, CommandLineRunner.run(flag).exitCode());
        assertEquals(
                CommandLineRunner.goldenFile("help-status.txt"),
                CommandLineRunner.run("status", flag).out());
    }
}
