package stileferry.protocol;

/**
 * The field names of messages to and from users, workers and the cloud, as the published protocol has them. Elsewhere
 * the concepts go by the terms of {@code docs/glossary.md}.
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

    /** Job array, service or gang; see {@link JobSpec.Kind}. */
    public static final String KIND = "craft";

    /** A job's priority. */
    public static final String PRIORITY = "precedence";

    /** The number of a job's tasks in a submission; the list of a machine's tasks in a heartbeat. */
    public static final String TASKS = "passengers";

    /** CPUs that a task needs, or that a machine type has. */
    public static final String CPUS = "cores";

    /** GPUs that a task needs, or that a machine type has. */
    public static final String GPUS = "gpus";

    /** Memory in GB that a task needs, or that a machine type has. */
    public static final String MEMORY_GB = "ram_gb";

    /** The image that a job's tasks need. */
    public static final String IMAGE = "cargo";

    /** The size of the image in GB. */
    public static final String IMAGE_GB = "pull_gb";

    /** Machine types: the allowed ones of a job, or all in the cloud's answer. */
    public static final String MACHINE_TYPES = "hulls";

    /** The machine type of a machine. */
    public static final String MACHINE_TYPE = "hull";

    /** The zone of a machine, or the only one allowed to a job. */
    public static final String ZONE = "harbor";

    /** The zones in which a machine type can be had. */
    public static final String ZONES = "harbors";

    /** Whether all tasks of a job must be in the same zone. */
    public static final String ONE_ZONE = "same_place";

    /** Whether at most half of a job's tasks may be in one zone. */
    public static final String SPREAD_ACROSS_ZONES = "apart";

    /** Whether a machine is a spot instance, or a job may use them. */
    public static final String SPOT = "tender";

    /** Seconds that a task is expected to run. */
    public static final String ESTIMATE_S = "crossing_s";

    /** Seconds between checkpoints. */
    public static final String CHECKPOINT_INTERVAL_S = "waypoint_s";

    /** Seconds that saving a checkpoint takes. */
    public static final String CHECKPOINT_SAVE_S = "stow_s";

    /** A job's deadline in seconds after its submission. */
    public static final String DEADLINE_S = "moor_by_s";

    /** Tasks of a job that are completed. */
    public static final String DONE = "done";

    /** Tasks of a job that are running. */
    public static final String RUNNING = "running";

    /** The reason of a refusal. */
    public static final String ERROR = "error";

    /** The name of a worker's machine. */
    public static final String MACHINE = "vessel";

    /** The address of a worker's agent. */
    public static final String ADDRESS = "addr";

    /** The incarnation of a worker's agent. */
    public static final String INCARNATION = "voyage";

    /** The sequence number of a heartbeat. */
    public static final String SEQUENCE = "log_seq";

    /** The fencing token: the leader's term. */
    public static final String FENCING_TOKEN = "helm";

    /** Seconds until a spot instance is reclaimed. */
    public static final String RECLAIM_NOTICE_S = "recall_s";

    /** A task in a heartbeat or a command. */
    public static final String TASK = "passenger";

    /** The number of a task's attempt. */
    public static final String ATTEMPT = "launch";

    /** Why a task has exited; see {@link ExitReason}. */
    public static final String EXIT_REASON = "landing_cause";

    /** Whether a task that has exited has saved a checkpoint. */
    public static final String CHECKPOINT_SAVED = "kept";

    /** The commands to a worker. */
    public static final String COMMANDS = "signals";

    /** What a command asks for; see {@link WorkerCommand.Kind}. */
    public static final String COMMAND = "signal";

    /** The grace period of a stop, in seconds. */
    public static final String GRACE_S = "ashore_s";

    /** The controller that leads, where a worker is sent to it. */
    public static final String LEADER = "harbormaster";

    /** The id of a request to scale out. */
    public static final String SCALE_OUT_REQUEST = "charter";

    /** How many machines a request to scale out asks for. */
    public static final String COUNT = "count";

    /** Machines, in requests to the cloud and its answers. */
    public static final String MACHINES = "fleet";

    /** Seconds since a machine of the cloud's list was created. */
    public static final String AGE_S = "age_s";

    /** The name of a machine type. */
    public static final String MACHINE_TYPE_NAME = "sku";

    /** The room for images on a machine, in GB. */
    public static final String CACHE_GB = "local_gb";

    /** How fast a machine fetches images, in GB a second. */
    public static final String FETCH_GB_PER_S = "fetch_gb_per_s";

    /** The price of an on-demand machine. */
    public static final String ON_DEMAND_PRICE = "rate";

    /** The price of a spot instance. */
    public static final String SPOT_PRICE = "spot_price";

    /** Seconds from the creation of a machine until its agent is heard. */
    public static final String BOOT_S = "startup_s";

    private WireNames() {}
}
