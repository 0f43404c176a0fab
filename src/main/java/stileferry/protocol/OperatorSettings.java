package stileferry.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.BooleanNode;
import com.fasterxml.jackson.databind.node.DoubleNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The operators' own settings: changed through the administration API only, kept in the state service. */
public final class OperatorSettings {
    /** Seconds between regular passes. */
    public static final String PASS_INTERVAL_S = "pass_interval_s";

    /** Seconds after which a waiting head is protected from later jobs. */
    public static final String HEAD_PROTECTION_S = "head_protection_s";

    /** Seconds after which a job none of whose tasks has begun goes before all others. */
    public static final String BEGIN_WITHIN_S = "begin_within_s";

    /** Idle time before a machine's return, in boot times of its type. */
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

    private static final List<Definition> ALL = List.of(
            number(PASS_INTERVAL_S, 1, 0.2, 10, "seconds between regular passes over the queue"),
            number(
                    HEAD_PROTECTION_S,
                    600,
                    10,
                    86_400,
                    "seconds after which later jobs may not use machines that the waiting head could use"),
            number(
                    BEGIN_WITHIN_S,
                    150,
                    10,
                    86_400,
                    "seconds after which a job none of whose tasks has begun goes before all others"),
            number(IDLE_BOOTS, 2, 0.5, 1000, "idle time before a machine is returned, in boot times of its type"),
            number(SPARE_SHARE, 0.1, 0, 1, "share of the CPUs in use by critical work that is kept free for more"),
            number(EMPTY_SHARE, 0.1, 0, 1, "share of all CPUs that must be free before a machine is emptied; 1: never"),
            number(SPOT_SHARE, 1, 0, 1, "greatest share of spot machines among all machines when renting"),
            new Definition(PREEMPTION, BooleanNode.TRUE, 0, 0, List.of(), "whether work is stopped to make room"),
            new Definition(
                    LOG_LEVEL,
                    TextNode.valueOf("default"),
                    0,
                    0,
                    List.of("default", "error", "info", "debug"),
                    "how much every controller logs; default: as each was started"));

    private final long revision;
    private final Map<String, JsonNode> changed;

    /** One setting; its kind is that of its default. */
    public record Definition(
            String name, JsonNode defaultValue, double min, double max, List<String> choices, String meaning) {}

    private OperatorSettings(long revision, Map<String, JsonNode> changed) {
        this.revision = revision;
        this.changed = changed;
    }

    private static Definition number(String name, double preset, double least, double most, String meaning) {
        return new Definition(name, DoubleNode.valueOf(preset), least, most, List.of(), meaning);
    }

    /** Nothing changed yet. */
    public static OperatorSettings defaults() {
        return new OperatorSettings(0, Map.of());
    }

    /** Takes stored settings; what this version doesn't know or accept is left out. */
    public static OperatorSettings read(JsonNode stored) {
        Map<String, JsonNode> values = new TreeMap<>();
        for (Definition definition : ALL) {
            JsonNode value = stored.path("values").path(definition.name);
            try {
                if (!value.isMissingNode()) {
                    check(definition, value);
                    values.put(definition.name, value);
                }
            } catch (InvalidOperatorSettingException e) {
                values.remove(definition.name);
            }
        }
        return new OperatorSettings(stored.path("revision").asLong(), values);
    }

    /** The form in which the settings are stored. */
    public ObjectNode write() {
        ObjectNode n = MessageCodec.map().put("revision", revision);
        n.putObject("values").setAll(changed);
        return n;
    }

    /** Counts the changes made so far. */
    public long revision() {
        return revision;
    }

    /** These settings with some changed: all of them or none. */
    public OperatorSettings with(JsonNode change) throws InvalidOperatorSettingException {
        if (!change.isObject() || change.isEmpty()) {
            throw new InvalidOperatorSettingException("change: a map of settings is missing");
        }
        Map<String, JsonNode> values = new TreeMap<>(changed);
        for (Map.Entry<String, JsonNode> entry : change.properties()) {
            check(definition(entry.getKey()), entry.getValue());
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
            values.putAll(changed);
            for (JsonNode name : names) {
                values.remove(definition(name.asText()).name);
            }
        }
        return new OperatorSettings(revision + 1, values);
    }

    private static Definition definition(String name) throws InvalidOperatorSettingException {
        for (Definition definition : ALL) {
            if (definition.name.equals(name)) {
                return definition;
            }
        }
        throw new InvalidOperatorSettingException(name + ": unknown setting");
    }

    private static void check(Definition definition, JsonNode value) throws InvalidOperatorSettingException {
        if (definition.defaultValue.isNumber()) {
            double v = value.isNumber() ? value.doubleValue() : Double.NaN;
            if (!(v >= definition.min && v <= definition.max)) {
                throw new InvalidOperatorSettingException(
                        definition.name + ": not a number from " + definition.min + " to " + definition.max);
            }
        } else if (definition.defaultValue.isBoolean() && !value.isBoolean()) {
            throw new InvalidOperatorSettingException(definition.name + ": not true or false");
        } else if (definition.defaultValue.isTextual() && !definition.choices.contains(value.asText())) {
            throw new InvalidOperatorSettingException(definition.name + ": not one of " + definition.choices);
        }
    }

    private JsonNode value(String name) {
        if (changed.containsKey(name)) {
            return changed.get(name);
        }
        for (Definition definition : ALL) {
            if (definition.name.equals(name)) {
                return definition.defaultValue;
            }
        }
        throw new IllegalArgumentException(name);
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
        ObjectNode n = MessageCodec.map().put("revision", revision);
        ArrayNode list = n.putArray("settings");
        for (Definition definition : ALL) {
            ObjectNode o = list.addObject().put("name", definition.name);
            o.set("value", value(definition.name));
            o.set("default", definition.defaultValue);
            if (definition.defaultValue.isNumber()) {
                o.put("least", definition.min).put("most", definition.max);
            } else if (definition.defaultValue.isTextual()) {
                definition.choices.forEach(o.putArray("choices")::add);
            }
            o.put("meaning", definition.meaning);
        }
        return n;
    }
}
