package stileferry.protocol;

/** A value that a word stands for in messages. */
interface WireWord {
    /** The word. */
    String wireName();

    /** The value that a word stands for, or another one if it stands for none. */
    static <T extends WireWord> T find(T[] values, String word, T otherwise) {
        for (T value : values) {
            if (value.wireName().equals(word)) {
                return value;
            }
        }
        return otherwise;
    }
}
