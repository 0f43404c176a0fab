package stileferry.cli;

import java.util.Locale;
import java.util.Map;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command line. */
@Command(
        name = "stileferry",
        description = "A cluster scheduler.",
        mixinStandardHelpOptions = true,
        version = "stileferry 0.1.0",
        subcommands = {Serve.class, CheckConfig.class, StandIns.class, Rehearse.class},
        footer = {"", "Exit codes: 0 done, 1 failed, 2 wrong usage or settings."})
public final class Main implements Runnable {
    private static final Map<String, String> LEVELS = Map.of("error", "error", "info", "info", "debug", "debug");

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** Runs a command and ends the process with its exit code, unless a server stays up. */
    public static void main(String[] args) {
        // Read by the logger when the first class asks for one, so it has to be set before any other class loads.
        String level = System.getenv().getOrDefault("LOG_LEVEL", "info").toLowerCase(Locale.ROOT);
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", LEVELS.getOrDefault(level, "info"));
        System.setProperty("org.jboss.logging.provider", "slf4j");
        int code = new CommandLine(new Main()).setCaseInsensitiveEnumValuesAllowed(true).execute(args);
        if (code != Serve.STAYS_UP) {
            System.exit(code);
        }
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }
}
