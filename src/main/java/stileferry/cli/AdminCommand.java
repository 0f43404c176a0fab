package stileferry.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The commands for operators: settings and views of the cluster. */
@Command(
        name = "admin",
        description = "Reads and changes the operators' settings, and shows what the leader knows.",
        mixinStandardHelpOptions = true,
        subcommands = {AdminGet.class, AdminSet.class, AdminReset.class, AdminShow.class})
final class AdminCommand implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }
}
