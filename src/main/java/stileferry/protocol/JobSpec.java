package stileferry.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/** A submitted job as its user described it. */
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
    public enum Kind {
        ARRAY("array"),
        SERVICE("standing"),
        GANG("group");

        private final String wireName;

        Kind(String wireName) {
            this.wireName = wireName;
        }
    }

    /** Priorities, the most urgent first. */
    public enum Priority {
        CRITICAL("critical"),
        URGENT("urgent"),
        NORMAL("normal"),
        IDLE("idle");

        private final String wireName;

        Priority(String wireName) {
            this.wireName = wireName;
        }

        /** The word that stands for it in messages and in the administration API. */
        public String wireName() {
            return wireName;
        }
    }

    /** True for ids of the form that users may choose. */
    public static boolean validId(String id) {
        return ID.matcher(id).matches();
    }

    /** Reads and checks a submission. */
    public static JobSpec read(JsonNode body) throws InvalidJobSpecException {
        if (body == null || !body.isObject()) {
            throw new InvalidJobSpecException("the body is not a map");
        }
        String id = text(body, WireNames.NAME_ID);
        if (!validId(id)) {
            throw new InvalidJobSpecException(WireNames.NAME_ID + ": bad form");
        }
        JsonNode tasks = body.path(WireNames.TASKS);
        if (!tasks.isIntegralNumber()
                || !tasks.canConvertToInt()
                || tasks.intValue() < 1
                || tasks.intValue() > MAX_TASKS) {
            throw new InvalidJobSpecException(WireNames.TASKS + ": out of range");
        }
        double cpus = amount(body, WireNames.CPUS);
        double gpus = amount(body, WireNames.GPUS);
        double memory = amount(body, WireNames.MEMORY_GB);
        JsonNode deadline = body.path(WireNames.DEADLINE_S);
        return new JobSpec(
                id,
                text(body, WireNames.JOB_CLASS),
                text(body, WireNames.TEAM),
                kind(text(body, WireNames.KIND)),
                priority(text(body, WireNames.PRIORITY)),
                tasks.intValue(),
                cpus,
                gpus,
                memory,
                text(body, WireNames.IMAGE),
                amount(body, WireNames.IMAGE_GB),
                machineTypes(body.path(WireNames.MACHINE_TYPES)),
                nullableText(body, WireNames.ZONE),
                flag(body, WireNames.ONE_ZONE),
                flag(body, WireNames.SPREAD_ACROSS_ZONES),
                flag(body, WireNames.SPOT),
                amount(body, WireNames.ESTIMATE_S),
                amount(body, WireNames.CHECKPOINT_INTERVAL_S),
                amount(body, WireNames.CHECKPOINT_SAVE_S),
                absent(deadline) ? -1 : amount(body, WireNames.DEADLINE_S));
    }

    /** The job in the same form as it was submitted. */
    public ObjectNode write() {
        ObjectNode n = MessageCodec.map();
        n.put(WireNames.NAME_ID, id)
                .put(WireNames.JOB_CLASS, jobClass)
                .put(WireNames.TEAM, team)
                .put(WireNames.KIND, kind.wireName);
        n.put(WireNames.PRIORITY, priority.wireName).put(WireNames.TASKS, taskCount);
        n.put(WireNames.CPUS, cpus)
                .put(WireNames.GPUS, gpus)
                .put(WireNames.MEMORY_GB, memoryGb)
                .put(WireNames.IMAGE, image)
                .put(WireNames.IMAGE_GB, imageGb);
        if (machineTypes != null) {
            machineTypes.forEach(n.putArray(WireNames.MACHINE_TYPES)::add);
        }
        n.put(WireNames.ZONE, zone)
                .put(WireNames.ONE_ZONE, oneZone)
                .put(WireNames.SPREAD_ACROSS_ZONES, spreadAcrossZones)
                .put(WireNames.SPOT, allowsSpot);
        n.put(WireNames.ESTIMATE_S, estimateS)
                .put(WireNames.CHECKPOINT_INTERVAL_S, checkpointIntervalS)
                .put(WireNames.CHECKPOINT_SAVE_S, checkpointSaveS);
        if (deadlineS >= 0) {
            n.put(WireNames.DEADLINE_S, deadlineS);
        }
        return n;
    }

    /** True when the machine type is among the allowed ones and one task fits an empty machine of it. */
    public boolean fitsType(MachineType type) {
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
        if (!gang() || !spreadAcrossZones || taskCount == 1) {
            return true;
        }
        long zones = all.stream()
                .filter(this::fitsType)
                .flatMap(type -> type.zones().stream())
                .distinct()
                .count();
        return !oneZone && zone == null && zones > 1;
    }

    /** True for replicas that run until their job is cancelled. */
    public boolean service() {
        return kind == Kind.SERVICE;
    }

    /** True when the tasks only run all together. */
    public boolean gang() {
        return kind == Kind.GANG;
    }

    private static Kind kind(String text) throws InvalidJobSpecException {
        for (Kind kind : Kind.values()) {
            if (kind.wireName.equals(text)) {
                return kind;
            }
        }
        throw new InvalidJobSpecException(WireNames.KIND + ": unknown");
    }

    static Priority priority(String text) throws InvalidJobSpecException {
        for (Priority priority : Priority.values()) {
            if (priority.wireName.equals(text)) {
                return priority;
            }
        }
        throw new InvalidJobSpecException(WireNames.PRIORITY + ": unknown");
    }

    private static boolean absent(JsonNode node) {
        return node.isMissingNode() || node.isNull();
    }

    private static List<String> machineTypes(JsonNode node) throws InvalidJobSpecException {
        if (absent(node)) {
            return null;
        }
        if (!node.isArray()) {
            throw new InvalidJobSpecException(WireNames.MACHINE_TYPES + ": not a list");
        }
        List<String> names = new ArrayList<>();
        for (JsonNode name : node) {
            if (!name.isTextual()) {
                throw new InvalidJobSpecException(WireNames.MACHINE_TYPES + ": not a list of names");
            }
            names.add(name.textValue());
        }
        return List.copyOf(names);
    }

    private static String nullableText(JsonNode body, String name) throws InvalidJobSpecException {
        return absent(body.path(name)) ? null : text(body, name);
    }

    private static String text(JsonNode body, String name) throws InvalidJobSpecException {
        JsonNode node = body.path(name);
        if (!node.isTextual() || node.textValue().isEmpty() || node.textValue().length() > 200) {
            throw new InvalidJobSpecException(name + ": missing or not a text");
        }
        return node.textValue();
    }

    private static boolean flag(JsonNode body, String name) throws InvalidJobSpecException {
        if (!body.path(name).isBoolean()) {
            throw new InvalidJobSpecException(name + ": missing or not true or false");
        }
        return body.path(name).booleanValue();
    }

    private static double amount(JsonNode body, String name) throws InvalidJobSpecException {
        JsonNode node = body.path(name);
        if (!node.isNumber() || !Double.isFinite(node.doubleValue()) || node.doubleValue() < 0) {
            throw new InvalidJobSpecException(name + ": missing, negative or not a number");
        }
        return node.doubleValue();
    }
}
