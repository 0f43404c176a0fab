package stileferry.cli;

import com.fasterxml.jackson.databind.JsonNode;

/** A job's state in words. */
final class JobText {
    private JobText() {}

    static String of(JsonNode body) {
        return body.path("name_id").asText() + " " + body.path("tide").asText() + ", "
                + body.path("done").asInt() + " tasks done, "
                + body.path("running").asInt() + " running";
    }
}
