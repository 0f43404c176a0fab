package stileferry.cli;

import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import stileferry.transport.LogLevel;

/**
 * Where service managers start a controller: the same as the command {@code serve}, without the command line around it.
 * Its options are read by Commons CLI: picocli's classes are of a form that the runtime can't archive, and setting up
 * its commands would lengthen the start on a small share of a core.
 */
public final class Daemon {
    private static final String CONFIG = "config";
    private static final String FEATURES = "features";

    private Daemon() {}

    /** Runs a controller until the process is killed; ends with exit code 2 for wrong usage or settings. */
    public static void main(String[] args) {
        LogLevel.initialize(System.getenv("LOG_LEVEL"));
        System.exit(run(args));
    }

    /** The exit code, as soon as the controller is closed or can't start. */
    static int run(String[] args) {
        // The networking library registers with the runtime's management, which nobody asks here and which lengthens
        // the start. It goes on without when there is none.
        System.setProperty("javax.management.builder.initial", "none");
        Options options = new Options()
                .addOption(Option.builder().longOpt(CONFIG).hasArg().required().get())
                .addOption(Option.builder().longOpt(FEATURES).hasArg().get());
        try {
            CommandLine line = new DefaultParser().parse(options, args);
            if (!line.getArgList().isEmpty()) {
                throw new ParseException(
                        "unknown argument: " + line.getArgList().get(0));
            }
            String features = line.getOptionValue(FEATURES);
            return Serve.run(Path.of(line.getOptionValue(CONFIG)), features == null ? null : Path.of(features));
        } catch (ParseException e) {
            System.err.println("stileferry: " + e.getMessage() + " (usage: --config FILE [--features FILE])");
            return ExitCode.USAGE;
        }
    }
}
