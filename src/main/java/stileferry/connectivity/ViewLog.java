package stileferry.connectivity;

/**
 * When this controller's own views were sent, as far back as it matters. Whoever has seen one of them said whatever it
 * says after that moment, which dates it without a clock that both have.
 */
final class ViewLog {
    private static final int REMEMBERED = 256;

    private final long[] sentAt = new long[REMEMBERED];
    private long newest;

    /** The number of the next view, which is sent now. */
    long next(long now) {
        newest++;
        sentAt[(int) (newest % REMEMBERED)] = now;
        return newest;
    }

    long newest() {
        return newest;
    }

    /** When a view was sent; -1: never, or too long ago to be remembered. */
    long sentAt(long number) {
        return number <= 0 || number > newest || number <= newest - REMEMBERED
                ? -1
                : sentAt[(int) (number % REMEMBERED)];
    }
}
