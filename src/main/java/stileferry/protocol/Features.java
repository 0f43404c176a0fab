package stileferry.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which optional parts of the service are on. They are named in a file of their own, since they are chosen with a
 * version and not by the platform. What is not named is off.
 *
 * @param partialCuts whether controllers watch their links and hand leadership over to one with better links
 * @param fairAdmission whether the leader divides admissions under overload and the others refuse by its word
 */
public record Features(boolean partialCuts, boolean fairAdmission) {
    /** Everything is off. */
    public static final Features NONE = new Features(false, false);

    /** The name of {@link #partialCuts} in a features file. */
    public static final String PARTIAL_CUTS = "partial_cuts";

    /** The name of {@link #fairAdmission} in a features file. */
    public static final String FAIR_ADMISSION = "fair_admission";

    private static final Set<String> NAMES = Set.of(PARTIAL_CUTS, FAIR_ADMISSION);

    /** What was read, or the first problem that keeps it from being used; one of the two is null. */
    public record Result(Features features, String problem) {}

    /** Reads features from JSON text. */
    public static Result read(String json) {
        JsonNode root;
        try {
            root = JsonText.read(json);
        } catch (InvalidJsonException e) {
            return new Result(null, e.getMessage());
        }
        if (root == null || !root.isObject()) {
            return new Result(null, "must be a JSON object");
        }
        Set<String> on = new HashSet<>();
        for (Map.Entry<String, JsonNode> field : root.properties()) {
            if (!NAMES.contains(field.getKey())) {
                return new Result(null, field.getKey() + ": no such feature");
            }
            if (!field.getValue().isBoolean()) {
                return new Result(null, field.getKey() + ": must be true or false");
            }
            if (field.getValue().booleanValue()) {
                on.add(field.getKey());
            }
        }
        return new Result(new Features(on.contains(PARTIAL_CUTS), on.contains(FAIR_ADMISSION)), null);
    }

    /** The names of all that is on. */
    public List<String> enabledNames() {
        List<String> names = new ArrayList<>();
        if (partialCuts) {
            names.add(PARTIAL_CUTS);
        }
        if (fairAdmission) {
            names.add(FAIR_ADMISSION);
        }
        return names;
    }
}
