package stileferry.validation;

/** Thrown for an invalid argument. The object that threw it has not changed. */
public final class InvalidInputException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    private final String argument;

    /** Creates an exception whose message consists of the argument's name and the problem with its value. */
    public InvalidInputException(String argument, String problem) {
        super(argument + ": " + problem);
        this.argument = argument;
    }

    /** Returns the name of the invalid argument. */
    public String argument() {
        return argument;
    }

    /** Throws for an argument if a condition does not hold. */
    public static void require(boolean condition, String argument, String problem) {
        if (!condition) {
            throw new InvalidInputException(argument, problem);
        }
    }

    /** Throws if the time is negative. */
    public static void requireNonNegativeTime(long now) {
        require(now >= 0, "now", "must not be negative: " + now);
    }

    /** Throws if the name is null or empty. */
    public static void requireNonEmptyName(String name, String argument) {
        require(name != null && !name.isEmpty(), argument, "missing or empty");
    }
}
