package stileferry.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Shows a job's state. */
@Command(
        name = "status",
        description = "Shows a job's state.",
        mixinStandardHelpOptions = true,
        footer = {"", "Example: stileferry status --node 127.0.0.1:7701 job-1"})
final class Status implements Callable<Integer> {
    @Mixin
    private ControllerConnection connection;

    @Parameters(paramLabel = "ID", description = "The job.")
    private String id;

    @Override
    public Integer call() throws IOException, InterruptedException {
        return connection.ask("GET", "/work/" + id, null, JobText::of);
    }
}
