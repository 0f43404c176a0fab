package stileferry.validation;

/** Input that can't be right. The object that threw it has not changed. */
public final class InvalidInputException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    private final String argument;

    /** Names the argument and says what is wrong with it. */
    public InvalidInputException(String argument, String problem) {
        super(argument + ": " + problem);
        this.argument = argument;
    }

    /** The name of the argument that was refused. */
    public String argument() {
        return argument;
    }

    /** Refuses an argument of which something does not hold. */
    public static void require(boolean holds, String argument, String problem) {
        if (!holds) {
            throw new InvalidInputException(argument, problem);
        }
    }

    /** Refuses a negative time. */
    public static void requireNonNegativeTime(long now) {
        require(now >= 0, "now", "negative time " + now);
    }

    /** Refuses a missing or empty name. */
    public static void requireNonEmptyName(String name, String argument) {
        require(name != null && !name.isEmpty(), argument, "missing or empty");
    }
}
