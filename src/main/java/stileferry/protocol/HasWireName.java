package stileferry.protocol;

/** A value that a word stands for in messages. */
interface HasWireName {
    /** The word. */
    String wireName();

    /** The value that a word stands for, or another one if it stands for none. */
    static <T extends HasWireName> T byWireName(T[] values, String word, T otherwise) {
        for (T value : values) {
            if (value.wireName().equals(word)) {
                return value;
            }
        }
        return otherwise;
    }
}
