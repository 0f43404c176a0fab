package stileferry.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Features that are not listed are disabled, and an invalid features file is reported with the first invalid field. */
class FeaturesTest {
    @Test
    void unlistedFeatureIsDisabled() {
        assertEquals(Features.NONE, Features.read("{}").features());
        assertEquals(List.of(), Features.NONE.enabledNames());
        assertEquals(
                List.of("partial_cuts"),
                Features.read("{\"partial_cuts\":true}").features().enabledNames());
        assertEquals(Features.NONE, Features.read("{\"partial_cuts\":false}").features());
        assertEquals(
                new Features(false, true),
                Features.read("{\"partial_cuts\":false,\"fair_admission\":true}")
                        .features());
        assertEquals(List.of("partial_cuts", "fair_admission"), new Features(true, true).enabledNames());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"partial_cut\":true}|partial_cut: no such feature",
                "{\"partial_cuts\":1}|partial_cuts: must be true or false",
                "{\"partial_cuts\":null}|partial_cuts: must be true or false",
                "[]|must be a JSON object",
                "''|must be a JSON object"
            })
    void invalidFieldIsNamed(String json, String problem) {
        Features.Result result = Features.read(json);
        assertNull(result.features());
        assertEquals(problem, result.problem());
    }

    @Test
    void textThatIsNotJsonIsInvalid() {
        assertEquals(
                "not valid JSON", Features.read("{\"partial_cuts\":").problem().split(":")[0]);
    }
}
