package stileferry.protocol;

/** Thrown for an invalid job description; the message names the field and the problem. It is sent to the user. */
public final class InvalidJobSpecException extends Exception {
    InvalidJobSpecException(String message) {
        super(message);
    }
}
