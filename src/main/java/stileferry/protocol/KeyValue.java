package stileferry.protocol;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A key of the key-value store as it was read.
 *
 * @param value the record in its stored form, which the class that owns the record reads
 * @param revision the store's revision of the key's last change
 */
public record KeyValue(String key, JsonNode value, long revision) {}
