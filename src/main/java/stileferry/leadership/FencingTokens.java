package stileferry.leadership;

/**
 * The fencing tokens that the leader of one term may show to workers. The last one is the number of the term, which is
 * stored and announced; so a later term, also one of a version in which a term has a single token, has higher tokens
 * only. The first one numbers the attempts, transactions and rentals of the term.
 *
 * @param first the token with which the leader begins
 * @param last the highest token, which equals the term
 */
public record FencingTokens(long first, long last) {
    /** The number of tokens of a term. Attempts have 31 bits for it, which leaves room for half a million terms. */
    public static final int TOKENS_PER_TERM = 4096;

    /** Returns this many tokens for the next term, all of them higher than any token seen before. */
    static FencingTokens after(long highestSeen, int count) {
        return new FencingTokens(highestSeen + 1, highestSeen + count);
    }

    /** Returns the number of the term. */
    public long term() {
        return last;
    }

    /** Returns the number of the term before, whose tokens are all lower. */
    public long previousTerm() {
        return first - 1;
    }

    /** Returns the token after it was raised this many times. */
    public long raised(long raises) {
        return first + raises;
    }

    /** Returns whether the token can be raised once more after it was raised this many times. */
    public boolean canRaise(long raises) {
        return first + raises < last;
    }
}
