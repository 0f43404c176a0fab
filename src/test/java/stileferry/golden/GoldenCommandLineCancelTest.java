package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that both names of the command that cancels a job have the same flags, output and exit codes. */
class GoldenCommandLineCancelTest {
    private static final String JOB_RESPONSE =
            "{\"name_id\":\"job-7\",\"tide\":\"cancelled\",\"done\":2,\"running\":0}";

    @ParameterizedTest
    @ValueSource(strings = {"cancel", "withdraw"})
    void bothCommandNamesCancelTheJob(String command) throws IOException {
        try (StubController controller = new StubController()) {
            controller.respondWith(200, JOB_RESPONSE);
            assertEquals(
                    new CommandLineRunner.Outcome(0, "job-7 cancelled, 2 tasks done, 0 running", ""),
                    CommandLineRunner.run(command, "--node", controller.address(), "job-7"));
            assertEquals(
                    new CommandLineRunner.Outcome(0, JOB_RESPONSE, ""),
                    CommandLineRunner.run(command, "--node", controller.address(), "--json", "--patience=0", "job-7"));
            String request = "POST /work/job-7/withdraw";
            assertEquals(List.of(request, request), controller.requests());
        }
    }

    @ParameterizedTest
    @CsvSource({"cancel, 404, 3", "withdraw, 404, 3", "cancel, 503, 1", "withdraw, 503, 1"})
    void bothCommandNamesHaveTheSameExitCodes(String command, int status, int exitCode) throws IOException {
        try (StubController controller = new StubController()) {
            controller.respondWith(status, "{\"error\":\"reason\"}");
            assertEquals(
                    new CommandLineRunner.Outcome(exitCode, "", "stileferry: refused with " + status + ": reason"),
                    CommandLineRunner.run(command, "--node", controller.address(), "--patience=0", "job-7"));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"cancel", "withdraw"})
    void helpListsBothCommandNames(String command) {
        String help = CommandLineRunner.run("--help").out();
        assertTrue(help.contains("cancel, withdraw"), help);
        assertEquals(0, CommandLineRunner.run(command, "--help").exitCode());
    }
}
