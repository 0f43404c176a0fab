package stileferry.leadership;

/** Numbers that no other term gives out: those of a later term are always higher. */
public final class TermSequence {
    private static final long NUMBERS_PER_TERM = 1L << 32;

    private final long first;
    private long issued;

    public TermSequence(long term) {
        this.first = term * NUMBERS_PER_TERM;
    }

    /** The next number, higher than all before. */
    public long next() {
        return first + ++issued;
    }
}
