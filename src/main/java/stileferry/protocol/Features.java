package stileferry.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The optional features of the service that are enabled. They are listed in a file apart from the settings, because
 * they are chosen with the deployed version and not by the platform. A feature that is not listed is disabled.
 *
 * @param partialCuts handling of partial network partitions: controllers monitor their links, and the leader hands
 *     leadership over to a controller with better links
 * @param fairAdmission fair admission: under overload, the leader allots admissions by admission windows, and the other
 *     controllers reject submissions by its table of these
 */
public record Features(boolean partialCuts, boolean fairAdmission) {
    /** All features are disabled. */
    public static final Features NONE = new Features(false, false);

    /** The name of {@link #partialCuts} in the features file. */
    public static final String PARTIAL_CUTS = "partial_cuts";

    /** The name of {@link #fairAdmission} in the features file. */
    public static final String FAIR_ADMISSION = "fair_admission";

    private static final Set<String> NAMES = Set.of(PARTIAL_CUTS, FAIR_ADMISSION);

    /** The features, or the first problem found in the file; exactly one of the two is null. */
    public record Result(Features features, String problem) {}

    /** Reads features from the JSON text of a features file. */
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
        Set<String> enabled = new HashSet<>();
        for (Map.Entry<String, JsonNode> field : root.properties()) {
            if (!NAMES.contains(field.getKey())) {
                return new Result(null, field.getKey() + ": no such feature");
            }
            if (!field.getValue().isBoolean()) {
                return new Result(null, field.getKey() + ": must be true or false");
            }
            if (field.getValue().booleanValue()) {
                enabled.add(field.getKey());
            }
        }
        return new Result(new Features(enabled.contains(PARTIAL_CUTS), enabled.contains(FAIR_ADMISSION)), null);
    }

    /** Returns the names of the enabled features. */
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
