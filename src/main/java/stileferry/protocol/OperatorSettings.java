package stileferry.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The settings that operators change at run time through the administration API. They are stored in the key-value
 * store. Instances are immutable; a change results in a new instance with the next revision.
 */
public final class OperatorSettings {
    /** Seconds between periodic scheduling passes. */
    public static final String PASS_INTERVAL_S = "pass_interval_s";

    /** Seconds of waiting after which the head of the queue is protected from being delayed by later jobs. */
    public static final String HEAD_PROTECTION_S = "head_protection_s";

    /** Seconds after which a job with no started task is scheduled before all others. */
    public static final String BEGIN_WITHIN_S = "begin_within_s";

    /** Idle time before a machine is deleted, in multiples of the boot time of its machine type. */
    public static final String IDLE_BOOTS = "idle_boots";

    /** CPUs kept free for further critical jobs, as a share of the CPUs that critical jobs use. */
    public static final String SPARE_SHARE = "spare_share";

    /** Share of all CPUs that must be free before a machine is drained to consolidate its tasks elsewhere. */
    public static final String EMPTY_SHARE = "empty_share";

    /** Maximum share of spot instances among all machines. */
    public static final String SPOT_SHARE = "spot_share";

    /** Whether tasks are preempted to make room for others. */
    public static final String PREEMPTION = "preemption";

    /** The log level of all controllers. */
    public static final String LOG_LEVEL = "log_level";

    private static final List<OperatorSettingDefinition> DEFINITIONS = List.of(
            OperatorSettingDefinition.number(
                    PASS_INTERVAL_S, 1, 0.2, 10, "seconds between regular passes over the queue"),
            OperatorSettingDefinition.number(
                    HEAD_PROTECTION_S,
                    600,
                    10,
                    86_400,
                    "seconds after which later jobs may not use machines that the waiting head could use"),
            OperatorSettingDefinition.number(
                    BEGIN_WITHIN_S,
                    150,
                    10,
                    86_400,
                    "seconds after which a job none of whose tasks has begun goes before all others"),
            OperatorSettingDefinition.number(
                    IDLE_BOOTS, 2, 0.5, 1000, "idle time before a machine is returned, in boot times of its type"),
            OperatorSettingDefinition.number(
                    SPARE_SHARE, 0.1, 0, 1, "share of the CPUs in use by critical work that is kept free for more"),
            OperatorSettingDefinition.number(
                    EMPTY_SHARE,
                    0.1,
                    0,
                    1,
                    "share of all CPUs that must be free before a machine is emptied; 1: never"),
            OperatorSettingDefinition.number(
                    SPOT_SHARE, 1, 0, 1, "greatest share of spot machines among all machines when renting"),
            OperatorSettingDefinition.flag(PREEMPTION, true, "whether work is stopped to make room"),
            OperatorSettingDefinition.choice(
                    LOG_LEVEL,
                    List.of("default", "error", "info", "debug"),
                    "how much every controller logs; default: as each was started"));

    private static final String REVISION = "revision";
    private static final String VALUES = "values";

    private final long revision;
    private final Map<String, JsonNode> overrides;

    private OperatorSettings(long revision, Map<String, JsonNode> overrides) {
        this.revision = revision;
        this.overrides = overrides;
    }

    /** Returns the initial settings: revision 0, every setting at its default. */
    public static OperatorSettings defaults() {
        return new OperatorSettings(0, Map.of());
    }

    /** Reads stored settings; ignores settings and values that this version doesn't know or accept. */
    public static OperatorSettings read(JsonNode stored) {
        Map<String, JsonNode> values = new TreeMap<>();
        for (OperatorSettingDefinition definition : DEFINITIONS) {
            JsonNode value = stored.path(VALUES).path(definition.name());
            try {
                if (!value.isMissingNode()) {
                    definition.check(value);
                    values.put(definition.name(), value);
                }
            } catch (InvalidOperatorSettingException e) {
                // stored by a version with other limits; the default applies instead
            }
        }
        return new OperatorSettings(stored.path(REVISION).asLong(), values);
    }

    /** Returns the settings in their stored form. */
    public ObjectNode write() {
        ObjectNode stored = MessageCodec.map().put(REVISION, revision);
        stored.putObject(VALUES).setAll(overrides);
        return stored;
    }

    /** Returns the number of changes made so far. */
    public long revision() {
        return revision;
    }

    /**
     * Returns these settings with some values replaced.
     *
     * @param change the new values by name
     * @throws InvalidOperatorSettingException if any name or value is invalid; then none is changed
     */
    public OperatorSettings withChanges(JsonNode change) throws InvalidOperatorSettingException {
        if (!change.isObject() || change.isEmpty()) {
            throw new InvalidOperatorSettingException("change: a map of settings is missing");
        }
        Map<String, JsonNode> values = new TreeMap<>(overrides);
        for (Map.Entry<String, JsonNode> entry : change.properties()) {
            requireDefinition(entry.getKey()).check(entry.getValue());
            values.put(entry.getKey(), entry.getValue());
        }
        return new OperatorSettings(revision + 1, values);
    }

    /**
     * Returns these settings with some reset to their defaults.
     *
     * @param names the list of settings to reset; missing or empty: all
     */
    public OperatorSettings reset(JsonNode names) throws InvalidOperatorSettingException {
        Map<String, JsonNode> values = new TreeMap<>();
        if (!names.isMissingNode() && !names.isArray()) {
            throw new InvalidOperatorSettingException("names: not a list");
        }
        if (!names.isEmpty()) {
            values.putAll(overrides);
            for (JsonNode name : names) {
                values.remove(requireDefinition(name.asText()).name());
            }
        }
        return new OperatorSettings(revision + 1, values);
    }

    /** Returns the definition of a setting that is named in a request of an operator. */
    private static OperatorSettingDefinition requireDefinition(String name) throws InvalidOperatorSettingException {
        OperatorSettingDefinition definition = findDefinition(name);
        if (definition == null) {
            throw new InvalidOperatorSettingException(name + ": unknown setting");
        }
        return definition;
    }

    /** Returns the definition of a setting that is named by one of the constants. */
    private static OperatorSettingDefinition definitionOf(String name) {
        OperatorSettingDefinition definition = findDefinition(name);
        if (definition == null) {
            throw new IllegalArgumentException("no operator setting of this name: " + name);
        }
        return definition;
    }

    private static OperatorSettingDefinition findDefinition(String name) {
        for (OperatorSettingDefinition definition : DEFINITIONS) {
            if (definition.name().equals(name)) {
                return definition;
            }
        }
        return null;
    }

    private JsonNode value(String name) {
        JsonNode value = overrides.get(name);
        return value != null ? value : definitionOf(name).defaultValue();
    }

    /** Returns the value of a setting that is a number. */
    public double number(String name) {
        return value(name).doubleValue();
    }

    /** Returns the value of a setting that is a boolean. */
    public boolean flag(String name) {
        return value(name).booleanValue();
    }

    /** Returns the value of a setting that is a text. */
    public String text(String name) {
        return value(name).textValue();
    }

    /** Returns all settings with values, defaults, limits and descriptions, in the form of the administration API. */
    public ObjectNode describe() {
        ObjectNode view = MessageCodec.map().put(REVISION, revision);
        ArrayNode list = view.putArray("settings");
        for (OperatorSettingDefinition definition : DEFINITIONS) {
            definition.writeTo(value(definition.name()), list.addObject());
        }
        return view;
    }
}
