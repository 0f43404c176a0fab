package stileferry.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.BooleanNode;
import com.fasterxml.jackson.databind.node.DoubleNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.util.List;

/**
 * One of the operators' settings; its kind is that of its default.
 *
 * @param min the least value of a number
 * @param max the greatest value of a number
 * @param choices what a text may be; the first is the default
 */
record OperatorSettingDefinition(
        String name, JsonNode defaultValue, double min, double max, List<String> choices, String description) {

    static OperatorSettingDefinition number(String name, double defaultValue, double min, double max, String meaning) {
        return new OperatorSettingDefinition(name, DoubleNode.valueOf(defaultValue), min, max, List.of(), meaning);
    }

    static OperatorSettingDefinition flag(String name, boolean defaultValue, String meaning) {
        return new OperatorSettingDefinition(name, BooleanNode.valueOf(defaultValue), 0, 0, List.of(), meaning);
    }

    static OperatorSettingDefinition choice(String name, List<String> choices, String meaning) {
        return new OperatorSettingDefinition(name, TextNode.valueOf(choices.get(0)), 0, 0, choices, meaning);
    }

    /** Throws if the setting can't have this value. */
    void check(JsonNode value) throws InvalidOperatorSettingException {
        if (defaultValue.isNumber() && !inRange(value)) {
            throw new InvalidOperatorSettingException(name + ": not a number from " + min + " to " + max);
        }
        if (defaultValue.isBoolean() && !value.isBoolean()) {
            throw new InvalidOperatorSettingException(name + ": not true or false");
        }
        if (defaultValue.isTextual() && !choices.contains(value.asText())) {
            throw new InvalidOperatorSettingException(name + ": not one of " + choices);
        }
    }

    private boolean inRange(JsonNode value) {
        return value.isNumber() && value.doubleValue() >= min && value.doubleValue() <= max;
    }

    /** Writes the setting with its value for the administration API. */
    void writeTo(JsonNode value, ObjectNode into) {
        into.put("name", name);
        into.set("value", value);
        into.set("default", defaultValue);
        if (defaultValue.isNumber()) {
            into.put("least", min).put("most", max);
        } else if (defaultValue.isTextual()) {
            choices.forEach(into.putArray("choices")::add);
        }
        into.put("meaning", description);
    }
}
