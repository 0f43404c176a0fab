package stileferry.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The operators' own settings: changed through the administration API only, kept in the key-value store. */
public final class OperatorSettings {
    /** Seconds between regular passes. */
    public static final String PASS_INTERVAL_S = "pass_interval_s";

    /** Seconds after which a waiting head is protected from later jobs. */
    public static final String HEAD_PROTECTION_S = "head_protection_s";

    /** Seconds after which a job none of whose tasks has begun goes before all others. */
    public static final String BEGIN_WITHIN_S = "begin_within_s";

    /** Idle time before a machine is returned, in boot times of its type. */
    public static final String IDLE_BOOTS = "idle_boots";

    /** Share of critical work's CPUs that is kept free for more of it. */
    public static final String SPARE_SHARE = "spare_share";

    /** Share of all CPUs that must be free before a machine is emptied. */
    public static final String EMPTY_SHARE = "empty_share";

    /** Greatest share of spot machines among all. */
    public static final String SPOT_SHARE = "spot_share";

    /** Whether work is stopped to make room. */
    public static final String PREEMPTION = "preemption";

    /** How much is logged. */
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

    private OperatorSettings(long revision, Map<String, JsonNode> changed) {
        this.revision = revision;
        this.overrides = changed;
    }

    /** Nothing changed yet. */
    public static OperatorSettings defaults() {
        return new OperatorSettings(0, Map.of());
    }

    /** Takes stored settings; what this version doesn't know or accept is left out. */
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
                // a version with other limits has stored it: the default stands in its place
            }
        }
        return new OperatorSettings(stored.path(REVISION).asLong(), values);
    }

    /** The form in which the settings are stored. */
    public ObjectNode write() {
        ObjectNode stored = MessageCodec.map().put(REVISION, revision);
        stored.putObject(VALUES).setAll(overrides);
        return stored;
    }

    /** Counts the changes made so far. */
    public long revision() {
        return revision;
    }

    /** These settings with some changed: all of them or none. */
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

    /** These settings with some at their defaults again; all of them if none is named. */
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

    private static OperatorSettingDefinition requireDefinition(String name) throws InvalidOperatorSettingException {
        OperatorSettingDefinition definition = findDefinition(name);
        if (definition == null) {
            throw new InvalidOperatorSettingException(name + ": unknown setting");
        }
        return definition;
    }

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

    /** A number's value. */
    public double number(String name) {
        return value(name).doubleValue();
    }

    /** A flag's value. */
    public boolean flag(String name) {
        return value(name).booleanValue();
    }

    /** A text's value. */
    public String text(String name) {
        return value(name).textValue();
    }

    /** All settings with values, defaults, limits and meaning. */
    public ObjectNode describe() {
        ObjectNode view = MessageCodec.map().put(REVISION, revision);
        ArrayNode list = view.putArray("settings");
        for (OperatorSettingDefinition definition : DEFINITIONS) {
            definition.writeTo(value(definition.name()), list.addObject());
        }
        return view;
    }
}
