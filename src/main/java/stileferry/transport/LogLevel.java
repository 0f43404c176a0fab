package stileferry.transport;

import java.util.Locale;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;

/** How much is logged, now; the logging of the platform is behind SLF4J since it can be changed while it runs. */
public final class LogLevel {
    private static final Map<String, Level> LEVELS =
            Map.of("error", Level.SEVERE, "info", Level.INFO, "debug", Level.FINE);

    /** Kept here, since the platform forgets loggers that nobody holds. */
    private static final Logger ROOT = Logger.getLogger("");

    private static final Logger[] LIBRARY_LOGGERS = {
        Logger.getLogger("org.xnio"),
        Logger.getLogger("io.undertow"),
        Logger.getLogger("org.jboss"),
        Logger.getLogger("com.netflix")
    };

    private static Level initialLevel = Level.INFO;

    private LogLevel() {}

    /** Sets the level that the process starts with and returns to: error, info or debug; info when there is none. */
    public static void initialize(String level) {
        // read when the platform makes its handlers, which is below
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

    /** Sets the level from now on; anything unknown is the one the process was started with. */
    static void set(String level) {
        ROOT.setLevel(LEVELS.getOrDefault(level, initialLevel));
    }
}
