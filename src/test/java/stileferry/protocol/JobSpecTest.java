package stileferry.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Encoding and decoding of submissions, and the rejection of invalid ones. */
class JobSpecTest {
    private static ObjectNode validSubmission() {
        return new JobSpec(
                        "job-000412",
                        "train",
                        "vision",
                        JobSpec.Kind.ARRAY,
                        JobSpec.Priority.URGENT,
                        16,
                        8,
                        1,
                        64,
                        "img-07",
                        6.2,
                        List.of("g8"),
                        null,
                        true,
                        false,
                        true,
                        240,
                        30,
                        4,
                        900)
                .write();
    }

    @Test
    void jobSurvivesEncodingAndDecoding() throws InvalidJobSpecException {
        JobSpec decoded = JobSpec.read(MessageCodec.decode(MessageCodec.encode(validSubmission())));
        assertEquals(validSubmission(), decoded.write());
        ObjectNode withoutOptionalFields = validSubmission();
        withoutOptionalFields.putNull("hulls").putNull("moor_by_s").put("another", 1);
        assertEquals(-1, JobSpec.read(withoutOptionalFields).deadlineS());
        assertNull(JobSpec.read(withoutOptionalFields).machineTypes());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "name_id",
                "berth",
                "crew",
                "craft",
                "precedence",
                "passengers",
                "cores",
                "gpus",
                "ram_gb",
                "cargo",
                "pull_gb",
                "same_place",
                "apart",
                "tender",
                "crossing_s",
                "waypoint_s",
                "stow_s"
            })
    void missingOrMistypedFieldIsInvalid(String field) {
        ObjectNode missing = validSubmission();
        missing.remove(field);
        assertThrows(InvalidJobSpecException.class, () -> JobSpec.read(missing));
        ObjectNode mistyped = validSubmission();
        mistyped.putArray(field);
        assertThrows(InvalidJobSpecException.class, () -> JobSpec.read(mistyped));
    }

    @Test
    void outOfRangeValueIsInvalid() {
        assertInvalid(validSubmission().put("cores", Double.NaN));
        assertInvalid(validSubmission().put("ram_gb", -1));
        assertInvalid(validSubmission().put("gpus", Double.POSITIVE_INFINITY));
        assertInvalid(validSubmission().put("passengers", 0));
        assertInvalid(validSubmission().put("passengers", 100_001));
        assertInvalid(validSubmission().put("passengers", 2.5));
        assertInvalid(validSubmission().put("name_id", "job-4x"));
        assertInvalid(validSubmission().put("name_id", "../a/lead"));
        assertInvalid(validSubmission().put("craft", "boat"));
        assertInvalid(validSubmission().put("precedence", "soon"));
        assertInvalid(validSubmission().put("hulls", "g8"));
        assertInvalid(validSubmission().put("moor_by_s", "late"));
    }

    private static void assertInvalid(ObjectNode body) {
        assertThrows(InvalidJobSpecException.class, () -> JobSpec.read(body), body::toString);
    }
}
