package stileferry.cli;

/** The exit codes that the help names. */
final class ExitCode {
    static final int OK = 0;

    /** Failed, or no answer. */
    static final int FAILED = 1;

    /** Wrong usage or settings. */
    static final int USAGE = 2;

    /** Refused by the service. */
    static final int REFUSED = 3;

    private ExitCode() {}
}
