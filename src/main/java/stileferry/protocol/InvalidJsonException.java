package stileferry.protocol;

/** Thrown for a file whose text is not valid JSON; the message describes the problem. */
final class InvalidJsonException extends Exception {
    InvalidJsonException(String message) {
        super(message);
    }
}
