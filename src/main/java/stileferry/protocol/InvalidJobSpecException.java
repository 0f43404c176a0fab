package stileferry.protocol;

/** A submission that is no well-formed job; the message names the field and what is wrong with it. */
public final class InvalidJobSpecException extends Exception {
    InvalidJobSpecException(String message) {
        super(message);
    }
}
