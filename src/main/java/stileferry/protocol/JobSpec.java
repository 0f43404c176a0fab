package stileferry.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.regex.Pattern;

/**
 * The description of a job as submitted by its user. Resource requirements are per task; sizes are in GB, times in
 * seconds.
 *
 * @param machineTypes the names of the allowed machine types; null: any
 * @param zone the only allowed zone; null: any
 * @param oneZone whether all tasks must be in the same zone
 * @param spreadAcrossZones whether at most half of the tasks may be in one zone
 * @param estimateS the expected run time of a task
 * @param checkpointIntervalS the time between checkpoints of a task; 0: the tasks save no checkpoints
 * @param checkpointSaveS the time that saving a checkpoint takes
 * @param deadlineS the deadline, counted from the submission; -1: none
 */
public record JobSpec(
        String id,
        String jobClass,
        String team,
        Kind kind,
        Priority priority,
        int taskCount,
        double cpus,
        double gpus,
        double memoryGb,
        String image,
        double imageGb,
        List<String> machineTypes,
        String zone,
        boolean oneZone,
        boolean spreadAcrossZones,
        boolean allowsSpot,
        double estimateS,
        double checkpointIntervalS,
        double checkpointSaveS,
        double deadlineS) {

    /** The maximum number of tasks of one job. */
    public static final int MAX_TASKS = 100_000;

    private static final Pattern ID = Pattern.compile("job-[0-9]{1,18}");

    /** The kinds of jobs: independent tasks, replicas that run until cancelled, or tasks that only run all together. */
    public enum Kind implements HasWireName {
        ARRAY("array"),
        SERVICE("standing"),
        GANG("group");

        private final String wireName;

        Kind(String wireName) {
            this.wireName = wireName;
        }

        /** Returns the kind with this wire name, or null if there is none. */
        static Kind of(String wireName) {
            return HasWireName.byWireName(values(), wireName, null);
        }

        @Override
        public String wireName() {
            return wireName;
        }
    }

    /** The priorities of jobs, the most urgent first. */
    public enum Priority implements HasWireName {
        CRITICAL("critical"),
        URGENT("urgent"),
        NORMAL("normal"),
        IDLE("idle");

        private final String wireName;

        Priority(String wireName) {
            this.wireName = wireName;
        }

        /** Returns the priority with this wire name, or null if there is none. */
        static Priority of(String wireName) {
            return HasWireName.byWireName(values(), wireName, null);
        }

        /** Returns the name of the priority in messages and in the administration API. */
        @Override
        public String wireName() {
            return wireName;
        }
    }

    /** Returns whether an id has the form required of job ids. */
    public static boolean isValidId(String id) {
        return ID.matcher(id).matches();
    }

    /**
     * Reads and validates a submission.
     *
     * @throws InvalidJobSpecException names the first invalid field
     */
    public static JobSpec read(JsonNode body) throws InvalidJobSpecException {
        return JobSpecReader.read(body);
    }

    /** Returns the job in the form in which it is submitted and stored. */
    public ObjectNode write() {
        ObjectNode body = MessageCodec.map()
                .put(WireNames.NAME_ID, id)
                .put(WireNames.JOB_CLASS, jobClass)
                .put(WireNames.TEAM, team)
                .put(WireNames.KIND, kind.wireName)
                .put(WireNames.PRIORITY, priority.wireName)
                .put(WireNames.TASKS, taskCount)
                .put(WireNames.CPUS, cpus)
                .put(WireNames.GPUS, gpus)
                .put(WireNames.MEMORY_GB, memoryGb)
                .put(WireNames.IMAGE, image)
                .put(WireNames.IMAGE_GB, imageGb);
        if (machineTypes != null) {
            machineTypes.forEach(body.putArray(WireNames.MACHINE_TYPES)::add);
        }
        body.put(WireNames.ZONE, zone)
                .put(WireNames.ONE_ZONE, oneZone)
                .put(WireNames.SPREAD_ACROSS_ZONES, spreadAcrossZones)
                .put(WireNames.SPOT, allowsSpot)
                .put(WireNames.ESTIMATE_S, estimateS)
                .put(WireNames.CHECKPOINT_INTERVAL_S, checkpointIntervalS)
                .put(WireNames.CHECKPOINT_SAVE_S, checkpointSaveS);
        if (deadlineS >= 0) {
            body.put(WireNames.DEADLINE_S, deadlineS);
        }
        return body;
    }

    /** Returns whether the machine type is allowed and one task fits on an empty machine of this type. */
    public boolean fitsMachineType(MachineType type) {
        return (machineTypes == null || machineTypes.contains(type.name()))
                && cpus <= type.cpus()
                && gpus <= type.gpus()
                && memoryGb <= type.memoryGb()
                && (zone == null || type.zones().contains(zone));
    }

    /**
     * Returns false for a gang whose tasks can never all run at the same time, because they must be spread across zones
     * and only one zone is available, so that at most half of them may run.
     *
     * @param all all machine types of the cloud
     */
    public boolean canRunTogether(List<MachineType> all) {
        if (!isGang() || !spreadAcrossZones || taskCount == 1) {
            return true;
        }
        long zones = all.stream()
                .filter(this::fitsMachineType)
                .flatMap(type -> type.zones().stream())
                .distinct()
                .count();
        return !oneZone && zone == null && zones > 1;
    }

    /** Returns whether the tasks are replicas that run until the job is cancelled. */
    public boolean isService() {
        return kind == Kind.SERVICE;
    }

    /** Returns whether the tasks only run all together. */
    public boolean isGang() {
        return kind == Kind.GANG;
    }
}
