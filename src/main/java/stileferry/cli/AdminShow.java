package stileferry.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import stileferry.protocol.ApiPaths;

/** Shows a view of the state of the leader, or of the controller that the request is sent to. */
@Command(
        name = "show",
        description = "Shows leader, machines, queue, teams, counters, links or admission, as JSON.",
        mixinStandardHelpOptions = true,
        footer = {"", "Example: stileferry admin show --node 127.0.0.1:7701 queue"})
final class AdminShow implements Callable<Integer> {
    /** The views that can be shown. Their names in lower case are the paths of the administration API. */
    enum View {
        LEADER,
        MACHINES,
        QUEUE,
        TEAMS,
        COUNTERS,
        LINKS,
        ADMISSION
    }

    @Mixin
    private ControllerConnection connection;

    @Option(names = "--from", defaultValue = "", description = "Continue a long list after this name or position.")
    private String from;

    @Parameters(paramLabel = "VIEW", description = "${COMPLETION-CANDIDATES}")
    private View view;

    @Override
    public Integer call() throws IOException, InterruptedException {
        String path = ApiPaths.ADMINISTRATION_PREFIX + view.name().toLowerCase(Locale.ROOT);
        String query = from.isEmpty() ? "" : "?from=" + from;
        return connection.request("GET", path + query, ControllerConnection.NO_BODY, JsonNode::toPrettyString);
    }
}
