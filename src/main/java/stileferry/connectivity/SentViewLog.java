package stileferry.connectivity;

/**
 * Records when this controller's latest views were sent. A view from another controller that acknowledges one of them
 * was built after it was sent, which bounds the age of that view without comparing clocks.
 */
final class SentViewLog {
    private static final int MAX_VIEWS = 256;

    private final long[] sentAt = new long[MAX_VIEWS];
    private long newestSequence;

    /** Records that a view is sent now, and returns the view's sequence number. */
    long record(long now) {
        newestSequence++;
        sentAt[(int) (newestSequence % MAX_VIEWS)] = now;
        return newestSequence;
    }

    long newestSequence() {
        return newestSequence;
    }

    /** Returns when a view was sent, or -1 if it never was or is no longer in the log. */
    long sentAt(long sequence) {
        return sequence <= 0 || sequence > newestSequence || sequence <= newestSequence - MAX_VIEWS
                ? -1
                : sentAt[(int) (sequence % MAX_VIEWS)];
    }
}
