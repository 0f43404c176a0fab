package stileferry.cli;

import picocli.CommandLine.Command;
import stileferry.protocol.ApiPaths;

/** Cancels a job. The alias is the command's older name, which the published protocol uses. */
@Command(
        name = "cancel",
        aliases = "withdraw",
        description = "Cancels a job; its tasks are stopped.",
        mixinStandardHelpOptions = true,
        footer = {"", "Example: stileferry cancel --node 127.0.0.1:7701 job-1"})
final class Cancel extends JobCommand {
    Cancel() {
        super("POST", ApiPaths.CANCEL_SUFFIX);
    }
}
