package stileferry.protocol;

/** The URL paths of a controller's HTTP API for users, workers, operators and health checks. */
public final class ApiPaths {
    /** The path of job submissions; the paths of single jobs are below it. */
    public static final String JOBS = "/work";

    /** The suffix that turns a job's path into the path of its cancellation. */
    public static final String CANCEL_SUFFIX = "/withdraw";

    /** The path to which workers send heartbeats. */
    public static final String HEARTBEATS = "/v1/report";

    /** The prefix of all paths of the administration API. */
    public static final String ADMINISTRATION_PREFIX = "/admin/";

    /** The path of the readiness check: whether users should be routed to this controller. */
    public static final String READY = "/ready";

    private static final String JOB_PREFIX = JOBS + "/";

    private ApiPaths() {}

    /** Returns the path of the job with this id. */
    public static String jobPath(String id) {
        return JOB_PREFIX + id;
    }

    /** Returns the part of a path after {@link #JOBS} and a slash, or null if it doesn't begin with them. */
    public static String jobPathRemainder(String path) {
        return path.startsWith(JOB_PREFIX) ? path.substring(JOB_PREFIX.length()) : null;
    }
}
