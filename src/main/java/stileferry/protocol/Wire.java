package stileferry.protocol;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** The body format of every outside interface, MessagePack, as Jackson trees. */
public final class Wire {
    /** The largest body taken or sent, on interfaces that have a limit. */
    public static final int MAX_BODY = 64 * 1024;

    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory())
            .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY);

    private Wire() {}

    /** A new empty map. */
    public static ObjectNode map() {
        return JsonNodeFactory.instance.objectNode();
    }

    /** A new empty list. */
    public static ArrayNode list() {
        return JsonNodeFactory.instance.arrayNode();
    }

    /** Reads one body; null when it is not MessagePack. */
    public static JsonNode decode(byte[] bytes) {
        try {
            JsonNode node = MAPPER.readTree(bytes);
            return node == null || node.isMissingNode() ? null : node;
        } catch (IOException | RuntimeException e) {
            return null; // the decoder throws unchecked exceptions for some malformed input
        }
    }

    /** A parser of one body, for what comes too often to build trees of it. */
    static JsonParser parser(byte[] bytes) throws IOException {
        return MAPPER.createParser(bytes);
    }

    /** Writes one body. */
    public static byte[] encode(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree that cannot be written", e);
        }
    }
}
