package stileferry.protocol;

/** Thrown for an invalid change of the operator settings; the message names the setting and the problem. */
public final class InvalidOperatorSettingException extends Exception {
    InvalidOperatorSettingException(String message) {
        super(message);
    }
}
