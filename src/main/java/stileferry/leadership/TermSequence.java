package stileferry.leadership;

/** Numbers attempts and acceptances within one term, so that those of a later term are always higher. */
public final class TermSequence {
    private static final long NUMBERS_PER_TERM = 1L << 32;

    private final long first;
    private long issued;

    /** The numbers of one term, none of which has been issued. */
    public TermSequence(long term) {
        this.first = term * NUMBERS_PER_TERM;
    }

    /** The next number, higher than all before. */
    public long next() {
        return first + ++issued;
    }
}
