package stileferry.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Reads and validates one submission, field by field in the order of the published protocol documentation. */
final class JobSpecReader {
    private static final int MAX_TEXT_LENGTH = 200;

    private final JsonNode body;

    private JobSpecReader(JsonNode body) {
        this.body = body;
    }

    static JobSpec read(JsonNode body) throws InvalidJobSpecException {
        if (body == null || !body.isObject()) {
            throw new InvalidJobSpecException("the body is not a map");
        }
        return new JobSpecReader(body).read();
    }

    private JobSpec read() throws InvalidJobSpecException {
        String id = text(WireNames.NAME_ID);
        if (!JobSpec.isValidId(id)) {
            throw new InvalidJobSpecException(WireNames.NAME_ID + ": bad form");
        }
        // validated before the following fields, because users are told of the first invalid field
        int taskCount = taskCount();
        double cpus = nonNegativeNumber(WireNames.CPUS);
        double gpus = nonNegativeNumber(WireNames.GPUS);
        double memoryGb = nonNegativeNumber(WireNames.MEMORY_GB);
        return new JobSpec(
                id,
                text(WireNames.JOB_CLASS),
                text(WireNames.TEAM),
                requireKnown(JobSpec.Kind.of(text(WireNames.KIND)), WireNames.KIND),
                requireKnown(JobSpec.Priority.of(text(WireNames.PRIORITY)), WireNames.PRIORITY),
                taskCount,
                cpus,
                gpus,
                memoryGb,
                text(WireNames.IMAGE),
                nonNegativeNumber(WireNames.IMAGE_GB),
                machineTypes(),
                isAbsent(WireNames.ZONE) ? null : text(WireNames.ZONE),
                flag(WireNames.ONE_ZONE),
                flag(WireNames.SPREAD_ACROSS_ZONES),
                flag(WireNames.SPOT),
                nonNegativeNumber(WireNames.ESTIMATE_S),
                nonNegativeNumber(WireNames.CHECKPOINT_INTERVAL_S),
                nonNegativeNumber(WireNames.CHECKPOINT_SAVE_S),
                isAbsent(WireNames.DEADLINE_S) ? -1 : nonNegativeNumber(WireNames.DEADLINE_S));
    }

    private int taskCount() throws InvalidJobSpecException {
        JsonNode count = body.path(WireNames.TASKS);
        boolean inRange = count.isIntegralNumber()
                && count.canConvertToInt()
                && count.intValue() >= 1
                && count.intValue() <= JobSpec.MAX_TASKS;
        if (!inRange) {
            throw new InvalidJobSpecException(WireNames.TASKS + ": out of range");
        }
        return count.intValue();
    }

    private List<String> machineTypes() throws InvalidJobSpecException {
        if (isAbsent(WireNames.MACHINE_TYPES)) {
            return null;
        }
        JsonNode list = body.path(WireNames.MACHINE_TYPES);
        if (!list.isArray()) {
            throw new InvalidJobSpecException(WireNames.MACHINE_TYPES + ": not a list");
        }
        List<String> names = new ArrayList<>();
        for (JsonNode name : list) {
            if (!name.isTextual()) {
                throw new InvalidJobSpecException(WireNames.MACHINE_TYPES + ": not a list of names");
            }
            names.add(name.textValue());
        }
        return List.copyOf(names);
    }

    private boolean isAbsent(String name) {
        JsonNode field = body.path(name);
        return field.isMissingNode() || field.isNull();
    }

    private String text(String name) throws InvalidJobSpecException {
        JsonNode field = body.path(name);
        if (!field.isTextual()
                || field.textValue().isEmpty()
                || field.textValue().length() > MAX_TEXT_LENGTH) {
            throw new InvalidJobSpecException(name + ": missing or not a text");
        }
        return field.textValue();
    }

    private boolean flag(String name) throws InvalidJobSpecException {
        JsonNode field = body.path(name);
        if (!field.isBoolean()) {
            throw new InvalidJobSpecException(name + ": missing or not true or false");
        }
        return field.booleanValue();
    }

    private double nonNegativeNumber(String name) throws InvalidJobSpecException {
        JsonNode field = body.path(name);
        if (!field.isNumber() || !Double.isFinite(field.doubleValue()) || field.doubleValue() < 0) {
            throw new InvalidJobSpecException(name + ": missing, negative or not a number");
        }
        return field.doubleValue();
    }

    private static <T> T requireKnown(T value, String name) throws InvalidJobSpecException {
        if (value == null) {
            throw new InvalidJobSpecException(name + ": unknown");
        }
        return value;
    }
}
