package stileferry.protocol;

/**
 * The field names of messages to and from users, workers and the cloud, as defined by the published protocol. The rest
 * of the code uses the terms of {@code docs/glossary.md} instead.
 */
public final class WireNames {
    /** A job's id, or the name of a machine in the cloud's list. */
    public static final String NAME_ID = "name_id";

    /** The state of a job, of a task (see {@link Heartbeat.TaskPhase}) or of a machine in the cloud's list. */
    public static final String STATE = "tide";

    /** A job's class. */
    public static final String JOB_CLASS = "berth";

    /** The team that a job belongs to. */
    public static final String TEAM = "crew";

    /** The kind of a job; see {@link JobSpec.Kind}. */
    public static final String KIND = "craft";

    /** A job's priority. */
    public static final String PRIORITY = "precedence";

    /** The number of a job's tasks in a submission; the list of a machine's tasks in a heartbeat. */
    public static final String TASKS = "passengers";

    /** The CPUs that a task needs, or that a machine type has. */
    public static final String CPUS = "cores";

    /** The GPUs that a task needs, or that a machine type has. */
    public static final String GPUS = "gpus";

    /** The memory in GB that a task needs, or that a machine type has. */
    public static final String MEMORY_GB = "ram_gb";

    /** The name of the image that a job's tasks need. */
    public static final String IMAGE = "cargo";

    /** The size of the job's image in GB. */
    public static final String IMAGE_GB = "pull_gb";

    /** Machine types: the allowed ones of a job, or all in the cloud's response. */
    public static final String MACHINE_TYPES = "hulls";

    /** The machine type of a machine. */
    public static final String MACHINE_TYPE = "hull";

    /** The zone of a machine, or the only zone allowed for a job. */
    public static final String ZONE = "harbor";

    /** The zones in which a machine type is available. */
    public static final String ZONES = "harbors";

    /** Whether all tasks of a job must be in the same zone. */
    public static final String ONE_ZONE = "same_place";

    /** Whether at most half of a job's tasks may be in one zone. */
    public static final String SPREAD_ACROSS_ZONES = "apart";

    /** Whether a machine is a spot instance, or whether a job may run on spot instances. */
    public static final String SPOT = "tender";

    /** The expected run time of a task in seconds. */
    public static final String ESTIMATE_S = "crossing_s";

    /** Seconds between checkpoints of a task. */
    public static final String CHECKPOINT_INTERVAL_S = "waypoint_s";

    /** Seconds that saving a checkpoint takes. */
    public static final String CHECKPOINT_SAVE_S = "stow_s";

    /** A job's deadline, in seconds after its submission. */
    public static final String DEADLINE_S = "moor_by_s";

    /** The number of completed tasks of a job. */
    public static final String DONE = "done";

    /** The number of running tasks of a job. */
    public static final String RUNNING = "running";

    /** The reason for a rejection. */
    public static final String ERROR = "error";

    /** The name of a worker's machine. */
    public static final String MACHINE = "vessel";

    /** The address of a worker's agent. */
    public static final String ADDRESS = "addr";

    /** The incarnation of a worker's agent. */
    public static final String INCARNATION = "voyage";

    /** The sequence number of a heartbeat. */
    public static final String SEQUENCE = "log_seq";

    /** The fencing token, which is the leader's term. */
    public static final String FENCING_TOKEN = "helm";

    /** Seconds until a spot instance is reclaimed, if notice was given. */
    public static final String RECLAIM_NOTICE_S = "recall_s";

    /** The id of a task in a heartbeat or a command. */
    public static final String TASK = "passenger";

    /** The number of a task's attempt. */
    public static final String ATTEMPT = "launch";

    /** The reason why a task exited; see {@link ExitReason}. */
    public static final String EXIT_REASON = "landing_cause";

    /** Whether a task saved a checkpoint before it exited. */
    public static final String CHECKPOINT_SAVED = "kept";

    /** The list of commands to a worker. */
    public static final String COMMANDS = "signals";

    /** The kind of a command; see {@link WorkerCommand.Kind}. */
    public static final String COMMAND = "signal";

    /** The grace period of a kill command, in seconds. */
    public static final String GRACE_S = "ashore_s";

    /** The name of the leader, in a response that redirects a worker to it. */
    public static final String LEADER = "harbormaster";

    /** The id of a scale-out request, which makes it idempotent. */
    public static final String SCALE_OUT_REQUEST = "charter";

    /** The number of machines that a scale-out request asks for. */
    public static final String COUNT = "count";

    /** The list of machines in requests to the cloud and its responses. */
    public static final String MACHINES = "fleet";

    /** Seconds since a machine in the cloud's list was created. */
    public static final String AGE_S = "age_s";

    /** The name of a machine type. */
    public static final String MACHINE_TYPE_NAME = "sku";

    /** The disk space for cached images on a machine, in GB. */
    public static final String CACHE_GB = "local_gb";

    /** The rate at which a machine downloads images, in GB per second. */
    public static final String FETCH_GB_PER_S = "fetch_gb_per_s";

    /** The price of an on-demand machine. */
    public static final String ON_DEMAND_PRICE = "rate";

    /** The price of a spot instance. */
    public static final String SPOT_PRICE = "spot_price";

    /** Seconds from the creation of a machine until the first heartbeat of its agent. */
    public static final String BOOT_S = "startup_s";

    private WireNames() {}
}
