package stileferry.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;
import stileferry.protocol.ApiPaths;

/** A command about one job that prints the job's state. */
abstract class JobCommand implements Callable<Integer> {
    @Mixin
    private ControllerConnection connection;

    @Parameters(paramLabel = "ID", description = "The job.")
    private String id;

    private final String method;
    private final String pathSuffix;

    /** Creates the command; {@code pathSuffix} is appended to the job's path. */
    JobCommand(String method, String pathSuffix) {
        this.method = method;
        this.pathSuffix = pathSuffix;
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        return connection.request(method, ApiPaths.jobPath(id) + pathSuffix, ControllerConnection.NO_BODY, JobText::of);
    }
}
