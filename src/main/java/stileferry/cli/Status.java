package stileferry.cli;

import picocli.CommandLine.Command;

/** Shows a job's state. */
@Command(
        name = "status",
        description = "Shows a job's state.",
        mixinStandardHelpOptions = true,
        footer = {"", "Example: stileferry status --node 127.0.0.1:7701 job-1"})
final class Status extends JobCommand {
    Status() {
        super("GET", "");
    }
}
