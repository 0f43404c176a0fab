package stileferry.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Which optional parts of the service are on. They are named in a file of their own, since they are chosen with a
 * version and not by the platform. What is not named is off.
 *
 * @param partialCuts whether controllers watch their links and hand leadership over to one with better links
 */
public record Features(boolean partialCuts) {
    /** Everything is off. */
    public static final Features NONE = new Features(false);

    /** The name of {@link #partialCuts} in a features file. */
    public static final String PARTIAL_CUTS = "partial_cuts";

    /** What was read, or the first problem that keeps it from being used; one of the two is null. */
    public record Result(Features features, String problem) {}

    /** Reads features from JSON text. */
    public static Result read(String json) {
        JsonNode root;
        try (JsonParser parser = new JsonFactory().createParser(json)) {
            root = MessageCodec.tree(parser);
        } catch (IOException e) {
            String reason = e instanceof JsonProcessingException j ? j.getOriginalMessage() : e.getMessage();
            return new Result(null, "not valid JSON: " + reason);
        }
        if (root == null || !root.isObject()) {
            return new Result(null, "must be a JSON object");
        }
        boolean partialCuts = false;
        for (Map.Entry<String, JsonNode> field : root.properties()) {
            if (!field.getKey().equals(PARTIAL_CUTS)) {
                return new Result(null, field.getKey() + ": no such feature");
            }
            if (!field.getValue().isBoolean()) {
                return new Result(null, field.getKey() + ": must be true or false");
            }
            partialCuts = field.getValue().booleanValue();
        }
        return new Result(new Features(partialCuts), null);
    }

    /** The names of all that is on. */
    public List<String> on() {
        List<String> names = new ArrayList<>();
        if (partialCuts) {
            names.add(PARTIAL_CUTS);
        }
        return names;
    }
}
