package stileferry.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.regex.Pattern;

/**
 * A submitted job as its user described it. Needs are those of each task; sizes are in GB, times in seconds.
 *
 * @param machineTypes the names of the allowed ones; null: any
 * @param zone the only allowed one; null: any
 * @param oneZone whether all tasks must be in the same zone
 * @param spreadAcrossZones whether at most half of the tasks may be in one zone
 * @param checkpointIntervalS 0: the tasks save no checkpoints
 * @param deadlineS after the submission; -1: none
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

    /** Most tasks of one job. */
    public static final int MAX_TASKS = 100_000;

    private static final Pattern ID = Pattern.compile("job-[0-9]{1,18}");

    /** Independent tasks; replicas that run until cancelled; tasks that only run all together. */
    public enum Kind implements HasWireName {
        ARRAY("array"),
        SERVICE("standing"),
        GANG("group");

        private final String wireName;

        Kind(String wireName) {
            this.wireName = wireName;
        }

        /** The kind that a word on the wire stands for; null: none. */
        static Kind of(String word) {
            return HasWireName.byWireName(values(), word, null);
        }

        @Override
        public String wireName() {
            return wireName;
        }
    }

    /** Priorities, the most urgent first. */
    public enum Priority implements HasWireName {
        CRITICAL("critical"),
        URGENT("urgent"),
        NORMAL("normal"),
        IDLE("idle");

        private final String wireName;

        Priority(String wireName) {
            this.wireName = wireName;
        }

        /** The priority that a word on the wire stands for; null: none. */
        static Priority of(String word) {
            return HasWireName.byWireName(values(), word, null);
        }

        /** The word that stands for it in messages and in the administration API. */
        @Override
        public String wireName() {
            return wireName;
        }
    }

    /** True for ids of the form that users may choose. */
    public static boolean isValidId(String id) {
        return ID.matcher(id).matches();
    }

    /** Reads and checks a submission; the first field that is wrong is named. */
    public static JobSpec read(JsonNode body) throws InvalidJobSpecException {
        return JobSpecReader.read(body);
    }

    /** The job in the same form as it was submitted. */
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

    /** True when the machine type is among the allowed ones and one task fits an empty machine of it. */
    public boolean fitsMachineType(MachineType type) {
        return (machineTypes == null || machineTypes.contains(type.name()))
                && cpus <= type.cpus()
                && gpus <= type.gpus()
                && memoryGb <= type.memoryGb()
                && (zone == null || type.zones().contains(zone));
    }

    /**
     * False for a gang whose tasks may never all run at the same time: at most half of them may be in its only zone.
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

    /** True for replicas that run until their job is cancelled. */
    public boolean isService() {
        return kind == Kind.SERVICE;
    }

    /** True when the tasks only run all together. */
    public boolean isGang() {
        return kind == Kind.GANG;
    }
}
