package stileferry.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Cancels a job. */
@Command(
        name = "withdraw",
        description = "Cancels a job; its tasks are stopped.",
        mixinStandardHelpOptions = true,
        footer = {"", "Example: stileferry withdraw --node 127.0.0.1:7701 job-1"})
final class Cancel implements Callable<Integer> {
    @Mixin
    private ControllerConnection connection;

    @Parameters(paramLabel = "ID", description = "The job.")
    private String id;

    @Override
    public Integer call() throws IOException, InterruptedException {
        return connection.ask("POST", "/work/" + id + "/withdraw", null, JobText::of);
    }
}
