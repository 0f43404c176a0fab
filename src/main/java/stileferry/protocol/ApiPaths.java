package stileferry.protocol;

/** The paths of a controller's interface for users, workers, operators and health checks. */
public final class ApiPaths {
    /** Submissions; the other requests about jobs are below it. */
    public static final String JOBS = "/work";

    /** What follows a job's path to cancel it. */
    public static final String CANCEL_SUFFIX = "/withdraw";

    /** Workers' heartbeats. */
    public static final String HEARTBEATS = "/v1/report";

    /** The administration API. */
    public static final String ADMINISTRATION_PREFIX = "/admin/";

    /** Whether users should be sent to this controller. */
    public static final String READY = "/ready";

    private static final String JOB_PREFIX = JOBS + "/";

    private ApiPaths() {}

    /** The path of a job. */
    public static String jobPath(String id) {
        return JOB_PREFIX + id;
    }

    /** What follows {@link #JOBS} and a slash in a path; null when it does not begin with them. */
    public static String jobPathRemainder(String path) {
        return path.startsWith(JOB_PREFIX) ? path.substring(JOB_PREFIX.length()) : null;
    }
}
