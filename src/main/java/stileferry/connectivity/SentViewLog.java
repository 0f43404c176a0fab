package stileferry.connectivity;

/**
 * When this controller's last views were sent. A view of another controller that acknowledges one of them is newer than
 * that, which bounds its age without comparing clocks.
 */
final class SentViewLog {
    private static final int MAX_VIEWS = 256;

    private final long[] sentAt = new long[MAX_VIEWS];
    private long newestSequence;

    /** Records that a view is sent now; returns its sequence number. */
    long record(long now) {
        newestSequence++;
        sentAt[(int) (newestSequence % MAX_VIEWS)] = now;
        return newestSequence;
    }

    long newestSequence() {
        return newestSequence;
    }

    /** When a view was sent; -1: it was not, or it is no longer in the log. */
    long sentAt(long sequence) {
        return sequence <= 0 || sequence > newestSequence || sequence <= newestSequence - MAX_VIEWS
                ? -1
                : sentAt[(int) (sequence % MAX_VIEWS)];
    }
}
