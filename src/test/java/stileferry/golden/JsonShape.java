package stileferry.golden;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** Describes the structure of a JSON document: field names in order and the types of their values, but no values. */
final class JsonShape {
    private JsonShape() {}

    /**
     * Returns one line for each field, with its path and type. All elements of a list share one path, and so do all
     * entries of a map with dynamic keys, whose keys are replaced by '*'.
     *
     * @param mapsWithDynamicKeys paths of the objects that are maps with dynamic keys
     */
    static String describe(JsonNode document, Set<String> mapsWithDynamicKeys) {
        Set<String> lines = new LinkedHashSet<>();
        addLines("", document, mapsWithDynamicKeys, lines);
        return String.join("\n", lines);
    }

    private static void addLines(String path, JsonNode node, Set<String> dynamicMaps, Set<String> lines) {
        if (node.isObject()) {
            for (Map.Entry<String, JsonNode> field : node.properties()) {
                String name = dynamicMaps.contains(path) ? "*" : field.getKey();
                addLines(path.isEmpty() ? name : path + "." + name, field.getValue(), dynamicMaps, lines);
            }
        } else if (node.isArray()) {
            node.forEach(element -> addLines(path + "[]", element, dynamicMaps, lines));
        } else {
            lines.add(path + ": " + valueType(node));
        }
    }

    private static String valueType(JsonNode node) {
        if (node.isIntegralNumber()) {
            return "whole";
        }
        return node.isNumber() ? "number" : node.isBoolean() ? "flag" : node.isTextual() ? "text" : "nothing";
    }
}
