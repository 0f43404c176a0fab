package stileferry.connectivity;

/**
 * When this controller's own views were sent, as far back as it matters. Whoever has seen one of them said whatever it
 * says after that moment, which dates it without a clock that both have.
 */
final class SentViewLog {
    private static final int CAPACITY = 256;

    private final long[] sentAt = new long[CAPACITY];
    private long newestSequence;

    /** The number of the next view, which is sent now. */
    long record(long now) {
        newestSequence++;
        sentAt[(int) (newestSequence % CAPACITY)] = now;
        return newestSequence;
    }

    long newestSequence() {
        return newestSequence;
    }

    /** When a view was sent; -1: never, or too long ago to be remembered. */
    long sentAt(long number) {
        return number <= 0 || number > newestSequence || number <= newestSequence - CAPACITY
                ? -1
                : sentAt[(int) (number % CAPACITY)];
    }
}
