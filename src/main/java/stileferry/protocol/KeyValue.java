package stileferry.protocol;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A key of the key-value store with its value, as read from the store.
 *
 * @param value the stored record, still to be decoded by the class that owns the record
 * @param revision the store's revision at which the key was last changed
 */
public record KeyValue(String key, JsonNode value, long revision) {}
