package stileferry.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/** Parses the JSON text of settings and features files. */
final class JsonText {
    private JsonText() {}

    /** Returns the first value of a JSON text, or null if there is none. */
    static JsonNode read(String json) throws InvalidJsonException {
        try (JsonParser parser = new JsonFactory().createParser(json)) {
            return MessageCodec.readTree(parser);
        } catch (IOException e) {
            String reason =
                    e instanceof JsonProcessingException problem ? problem.getOriginalMessage() : e.getMessage();
            throw new InvalidJsonException("not valid JSON: " + reason);
        }
    }
}
