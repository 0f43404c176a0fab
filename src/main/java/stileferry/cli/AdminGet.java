package stileferry.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import stileferry.protocol.ApiPaths;

/** Shows the operator settings. */
@Command(
        name = "get",
        description = "Shows the settings, with defaults, limits and revision.",
        mixinStandardHelpOptions = true,
        footer = {"", "Example: stileferry admin get --node 127.0.0.1:7701"})
final class AdminGet implements Callable<Integer> {
    @Mixin
    private ControllerConnection connection;

    @Override
    public Integer call() throws IOException, InterruptedException {
        return connection.request(
                "GET",
                ApiPaths.ADMINISTRATION_PREFIX + "settings",
                ControllerConnection.NO_BODY,
                OperatorSettingsText::of);
    }
}
