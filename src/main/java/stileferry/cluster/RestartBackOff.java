package stileferry.cluster;

/** Pauses between the starts of a failing task. */
public final class RestartBackOff {
    private static final long MAX_DELAY_MS = 60_000;

    private int failures;
    private long notBefore;

    /**
     * Notes a failure and postpones the next start.
     *
     * @param now the controller's steady clock in milliseconds
     * @param firstPauseMs the pause after the first failure; it doubles with each further one
     * @param mostDoublings how often it doubles at most
     */
    public void backOff(long now, long firstPauseMs, int mostDoublings) {
        notBefore = now + Math.min(MAX_DELAY_MS, firstPauseMs << Math.min(mostDoublings, failures++));
    }

    /** The time on the controller's steady clock, in milliseconds, before which the task may not start again. */
    long notBefore() {
        return notBefore;
    }
}
