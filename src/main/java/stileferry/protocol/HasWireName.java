package stileferry.protocol;

/** An enum constant that has a name of its own in messages. */
interface HasWireName {
    /** Returns the constant's name in messages. */
    String wireName();

    /** Returns the value with this wire name, or the fallback if there is none. */
    static <T extends HasWireName> T byWireName(T[] values, String wireName, T fallback) {
        for (T value : values) {
            if (value.wireName().equals(wireName)) {
                return value;
            }
        }
        return fallback;
    }
}
