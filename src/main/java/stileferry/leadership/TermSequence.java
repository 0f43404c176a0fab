package stileferry.leadership;

/** Issues numbers for attempts and accepted jobs in one term; the numbers of a later term are always higher. */
public final class TermSequence {
    private static final long NUMBERS_PER_TERM = 1L << 32;

    private final long base;
    private long issued;

    /** Creates the sequence of a term, given by its first fencing token, in which no number has been issued yet. */
    public TermSequence(long firstToken) {
        this.base = firstToken * NUMBERS_PER_TERM;
    }

    /** Returns a number higher than all issued so far. */
    public long next() {
        return base + ++issued;
    }
}
