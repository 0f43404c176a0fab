package stileferry.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.BooleanNode;
import com.fasterxml.jackson.databind.node.DoubleNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.util.List;

/**
 * The definition of one operator setting. The type of the default value (number, boolean or text) is the setting's
 * type.
 *
 * @param min the minimum of a number; unused for other types
 * @param max the maximum of a number; unused for other types
 * @param choices the allowed values of a text, the default first; empty for other types
 * @param description one line that is shown to operators
 */
record OperatorSettingDefinition(
        String name, JsonNode defaultValue, double min, double max, List<String> choices, String description) {

    static OperatorSettingDefinition number(
            String name, double defaultValue, double min, double max, String description) {
        return new OperatorSettingDefinition(name, DoubleNode.valueOf(defaultValue), min, max, List.of(), description);
    }

    static OperatorSettingDefinition flag(String name, boolean defaultValue, String description) {
        return new OperatorSettingDefinition(name, BooleanNode.valueOf(defaultValue), 0, 0, List.of(), description);
    }

    static OperatorSettingDefinition choice(String name, List<String> choices, String description) {
        return new OperatorSettingDefinition(name, TextNode.valueOf(choices.get(0)), 0, 0, choices, description);
    }

    /**
     * Validates a value for this setting.
     *
     * @throws InvalidOperatorSettingException if the type is wrong or the value is not allowed
     */
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

    /** Writes the setting with its current value in the form of the administration API. */
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
