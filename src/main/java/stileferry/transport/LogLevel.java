package stileferry.transport;

import java.util.Locale;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Sets the log level. SLF4J is backed by java.util.logging, whose levels can be changed while the process runs. */
public final class LogLevel {
    private static final Map<String, Level> LEVELS =
            Map.of("error", Level.SEVERE, "info", Level.INFO, "debug", Level.FINE);

    /** Referenced here because java.util.logging discards loggers that are not strongly referenced. */
    private static final Logger ROOT = Logger.getLogger("");

    private static final Logger[] LIBRARY_LOGGERS = {
        Logger.getLogger("org.xnio"),
        Logger.getLogger("io.undertow"),
        Logger.getLogger("org.jboss"),
        Logger.getLogger("com.netflix")
    };

    private static Level initialLevel = Level.INFO;

    private LogLevel() {}

    /**
     * Sets up logging when the process starts.
     *
     * @param level the initial level, to which {@link #set} can return: error, info or debug; info if null or unknown
     */
    public static void initialize(String level) {
        // must precede getHandlers() below: the format is read when the handlers are created
        System.setProperty("java.util.logging.SimpleFormatter.format", "%4$s %3$s - %5$s%6$s%n");
        initialLevel = level == null ? Level.INFO : LEVELS.getOrDefault(level.toLowerCase(Locale.ROOT), Level.INFO);
        for (Logger logger : LIBRARY_LOGGERS) {
            logger.setLevel(Level.SEVERE);
        }
        for (java.util.logging.Handler handler : ROOT.getHandlers()) {
            handler.setLevel(Level.ALL);
        }
        ROOT.setLevel(initialLevel);
    }

    /** Sets the level to error, info or debug; any other text restores the initial level. */
    static void set(String level) {
        ROOT.setLevel(LEVELS.getOrDefault(level, initialLevel));
    }
}
