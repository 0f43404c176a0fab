package stileferry.cli;

import com.fasterxml.jackson.databind.JsonNode;
import stileferry.protocol.WireNames;

/** A job's state in words. */
final class JobText {
    private JobText() {}

    static String of(JsonNode body) {
        return body.path(WireNames.NAME_ID).asText() + " "
                + body.path(WireNames.STATE).asText() + ", "
                + body.path(WireNames.DONE).asInt() + " tasks done, "
                + body.path(WireNames.RUNNING).asInt() + " running";
    }
}
