package stileferry.cli;

/** The exit codes of the commands, as documented in the help. */
final class ExitCode {
    static final int OK = 0;

    /** The command failed or got no response. */
    static final int FAILED = 1;

    /** The arguments or the settings are invalid. */
    static final int USAGE = 2;

    /** The service rejected the request. */
    static final int REJECTED = 3;

    private ExitCode() {}
}
