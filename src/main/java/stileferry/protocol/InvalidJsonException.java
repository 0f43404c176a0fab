package stileferry.protocol;

/** A text that is not JSON; the message says what is wrong with it. */
final class InvalidJsonException extends Exception {
    InvalidJsonException(String message) {
        super(message);
    }
}
