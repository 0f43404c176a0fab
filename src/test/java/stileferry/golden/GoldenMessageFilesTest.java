package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the golden files themselves: the bytes of each message must decode to its JSON form. */
class GoldenMessageFilesTest {
    @ParameterizedTest
    @ValueSource(strings = {"users.txt", "workers.txt", "cloud.txt", "state.txt"})
    void messageBytesMatchTheirJsonForm(String file) {
        for (GoldenMessages.Message message : GoldenMessages.load(file).all()) {
            assertEquals(message.json(), GoldenMessages.toJson(message.body()), message.name());
        }
    }
}
