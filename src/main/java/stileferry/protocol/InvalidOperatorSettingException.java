package stileferry.protocol;

/** A change of operators' settings that can't be made; the message names the setting. */
public final class InvalidOperatorSettingException extends Exception {
    InvalidOperatorSettingException(String message) {
        super(message);
    }
}
