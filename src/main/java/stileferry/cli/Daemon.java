package stileferry.cli;

import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import stileferry.transport.LogLevel;

/**
 * The entry point with which service managers start a controller. Does the same as the command {@code serve}, but
 * parses its options with Commons CLI instead of picocli: the JVM can't put picocli's classes into the class archive,
 * and setting up its commands would make the start slower on a small share of a core.
 */
public final class Daemon {
    private static final String CONFIG = "config";
    private static final String FEATURES = "features";

    private Daemon() {}

    /** Runs a controller until the process is killed. Exits with code 2 for wrong usage or settings. */
    public static void main(String[] args) {
        LogLevel.initialize(System.getenv("LOG_LEVEL"));
        System.exit(run(args));
    }

    /** Runs a controller; returns the exit code as soon as the controller is closed or fails to start. */
    static int run(String[] args) {
        // Disables JMX: the networking library would register MBeans, which nothing uses here and which makes the start
        // slower. Without an MBean server it skips the registration.
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
