package stileferry.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;
import stileferry.protocol.ApiPaths;

/** A command about one job, which answers with the job's state. */
abstract class JobCommand implements Callable<Integer> {
    @Mixin
    private ControllerConnection connection;

    @Parameters(paramLabel = "ID", description = "The job.")
    private String id;

    private final String method;
    private final String action;

    /** {@code action} follows the job's path. */
    JobCommand(String method, String action) {
        this.method = method;
        this.action = action;
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        return connection.request(method, ApiPaths.jobPath(id) + action, ControllerConnection.NO_BODY, JobText::of);
    }
}
