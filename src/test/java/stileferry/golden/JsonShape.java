package stileferry.golden;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** Writes down the field names of an answer in their order, each with the kind of its value, and no figures. */
final class JsonShape {
    private JsonShape() {}

    /** One line a field; the entries of lists and of the named maps count as one, whose names are written as '*'. */
    static String describe(JsonNode answer, Set<String> mapsOfAnyNames) {
        Set<String> lines = new LinkedHashSet<>();
        addLines("", answer, mapsOfAnyNames, lines);
        return String.join("\n", lines);
    }

    private static void addLines(String path, JsonNode node, Set<String> maps, Set<String> lines) {
        if (node.isObject()) {
            for (Map.Entry<String, JsonNode> field : node.properties()) {
                String name = maps.contains(path) ? "*" : field.getKey();
                addLines(path.isEmpty() ? name : path + "." + name, field.getValue(), maps, lines);
            }
        } else if (node.isArray()) {
            node.forEach(entry -> addLines(path + "[]", entry, maps, lines));
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
