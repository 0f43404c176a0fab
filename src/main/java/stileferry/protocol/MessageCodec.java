package stileferry.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes and decodes MessagePack, the body format of all external interfaces, as Jackson trees. Uses only Jackson's
 * streaming API, because initializing an object mapper would make the start slower on a small share of a core.
 */
public final class MessageCodec {
    /** The maximum size of a body received or sent, on interfaces that have a limit. */
    public static final int MAX_BODY_BYTES = 64 * 1024;

    /**
     * The limit exceeds the depth of the bodies of all interfaces; decoding bodies of unlimited depth could exhaust the
     * stack.
     */
    private static final int MAX_NESTING_DEPTH = 64;

    private static final MessagePackFactory FACTORY = new MessagePackFactory();

    private MessageCodec() {}

    /** Returns a new empty map. */
    public static ObjectNode map() {
        return JsonNodeFactory.instance.objectNode();
    }

    /** Returns a new empty list. */
    public static ArrayNode list() {
        return JsonNodeFactory.instance.arrayNode();
    }

    /** Decodes a body; returns null if it is not valid MessagePack. */
    public static JsonNode decode(byte[] bytes) {
        try (JsonParser parser = parser(bytes)) {
            return readTree(parser);
        } catch (IOException | RuntimeException e) { // broad catch: the parser throws both for malformed input
            return null;
        }
    }

    /** Returns a streaming parser of a body, for messages that arrive too often to build trees of them. */
    static JsonParser parser(byte[] bytes) throws IOException {
        return FACTORY.createParser(bytes);
    }

    /**
     * Returns how many bytes a parser has read. The MessagePack parser reports them as the deprecated character offset.
     */
    @SuppressWarnings("deprecation")
    static int bytesRead(JsonParser parser) {
        return (int) parser.getCurrentLocation().getCharOffset();
    }

    /** Reads the next value including all nested values; returns null at the end of the input. */
    static JsonNode readTree(JsonParser parser) throws IOException {
        return parser.nextToken() == null ? null : readValue(parser, 0);
    }

    private static JsonNode readValue(JsonParser parser, int depth) throws IOException {
        if (depth > MAX_NESTING_DEPTH) {
            throw new IOException("nested deeper than " + MAX_NESTING_DEPTH);
        }
        JsonNodeFactory nodes = JsonNodeFactory.instance;
        return switch (parser.currentToken()) {
            case START_OBJECT -> readMap(parser, depth);
            case START_ARRAY -> readList(parser, depth);
            case VALUE_STRING -> nodes.textNode(parser.getText());
            case VALUE_TRUE -> nodes.booleanNode(true);
            case VALUE_FALSE -> nodes.booleanNode(false);
            case VALUE_NULL -> nodes.nullNode();
            case VALUE_NUMBER_INT -> readInteger(parser);
            case VALUE_NUMBER_FLOAT -> nodes.numberNode(parser.getDoubleValue());
            case VALUE_EMBEDDED_OBJECT -> nodes.pojoNode(parser.getEmbeddedObject());
            default -> throw new IOException("unexpected " + parser.currentToken());
        };
    }

    private static ObjectNode readMap(JsonParser parser, int depth) throws IOException {
        ObjectNode map = map();
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
            nextToken(parser);
            if (map.replace(name, readValue(parser, depth + 1)) != null) {
                throw new IOException("field given twice: " + name);
            }
        }
        if (parser.currentToken() != JsonToken.END_OBJECT) {
            throw new IOException("a map has what is no name in the place of one");
        }
        return map;
    }

    private static ArrayNode readList(JsonParser parser, int depth) throws IOException {
        ArrayNode list = list();
        while (nextToken(parser) != JsonToken.END_ARRAY) {
            list.add(readValue(parser, depth + 1));
        }
        return list;
    }

    private static JsonNode readInteger(JsonParser parser) throws IOException {
        JsonNodeFactory nodes = JsonNodeFactory.instance;
        return switch (parser.getNumberType()) {
            case INT -> nodes.numberNode(parser.getIntValue());
            case LONG -> nodes.numberNode(parser.getLongValue());
            default -> nodes.numberNode(parser.getBigIntegerValue());
        };
    }

    private static JsonToken nextToken(JsonParser parser) throws IOException {
        JsonToken token = parser.nextToken();
        if (token == null) {
            throw new IOException("the body ends too soon");
        }
        return token;
    }

    /** Encodes a body. */
    public static byte[] encode(JsonNode node) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (JsonGenerator generator = FACTORY.createGenerator(bytes)) {
            write(generator, node);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static void write(JsonGenerator generator, JsonNode node) throws IOException {
        switch (node.getNodeType()) {
            case OBJECT -> {
                generator.writeStartObject();
                for (Map.Entry<String, JsonNode> entry : node.properties()) {
                    generator.writeFieldName(entry.getKey());
                    write(generator, entry.getValue());
                }
                generator.writeEndObject();
            }
            case ARRAY -> {
                generator.writeStartArray();
                for (JsonNode element : node) {
                    write(generator, element);
                }
                generator.writeEndArray();
            }
            case STRING -> generator.writeString(node.textValue());
            case BOOLEAN -> generator.writeBoolean(node.booleanValue());
            case NUMBER -> writeNumber(generator, node);
            default -> generator.writeNull();
        }
    }

    private static void writeNumber(JsonGenerator generator, JsonNode node) throws IOException {
        switch (node.numberType()) {
            case INT -> generator.writeNumber(node.intValue());
            case LONG -> generator.writeNumber(node.longValue());
            case BIG_INTEGER -> generator.writeNumber(node.bigIntegerValue());
            default -> generator.writeNumber(node.doubleValue());
        }
    }
}
