package stileferry.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import stileferry.transport.LogLevel;

/** The main command of the command line interface. */
@Command(
        name = "stileferry",
        description = "A cluster scheduler.",
        mixinStandardHelpOptions = true,
        version = "stileferry 0.1.0",
        subcommands = {
            Serve.class,
            CheckConfig.class,
            Submit.class,
            Status.class,
            Cancel.class,
            AdminCommand.class,
            StandIns.class
        },
        footer = {"", "Exit codes: 0 done, 1 failed or no answer, 2 wrong usage or settings, 3 refused by the service."
        })
public final class Main implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** Runs a command and exits with its exit code. */
    public static void main(String[] args) {
        LogLevel.initialize(System.getenv("LOG_LEVEL"));
        System.exit(commandLine().execute(args));
    }

    /** Creates the command line parser, which prints errors as a single line. */
    static CommandLine commandLine() {
        return new CommandLine(new Main())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setParameterExceptionHandler((e, args) -> {
                    System.err.println("stileferry: " + e.getMessage() + " (see --help)");
                    return ExitCode.USAGE;
                })
                .setExecutionExceptionHandler((e, command, parsed) -> {
                    System.err.println("stileferry: " + e);
                    return ExitCode.FAILED;
                });
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }
}
