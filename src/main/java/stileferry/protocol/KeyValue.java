package stileferry.protocol;

import com.fasterxml.jackson.databind.JsonNode;

/** One row of a read. */
public record KeyValue(String key, JsonNode value, long revision) {}
