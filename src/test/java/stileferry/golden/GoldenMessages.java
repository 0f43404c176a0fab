package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Literal messages of one interface, from a file under {@code src/test/resources/golden}. Each has four lines: its name
 * after {@code ==}, its first line (method and path, or status with headers), its body as JSON, and the MessagePack
 * bytes of that body in hexadecimal. A hyphen stands for no body. Nothing in the files comes from the code under test.
 */
final class GoldenMessages {
    private static final String NO_BODY = "-";

    private final Map<String, Message> messages = new LinkedHashMap<>();

    /** One literal message. */
    record Message(String name, String firstLine, String json, String hex) {
        byte[] body() {
            return hex.equals(NO_BODY) ? new byte[0] : HexFormat.of().parseHex(hex);
        }

        /** The number that begins the first line of an answer. */
        int status() {
            return Integer.parseInt(firstLine.split(" ")[0]);
        }
    }

    private GoldenMessages() {}

    /** Reads one interface's file. */
    static GoldenMessages load(String file) {
        GoldenMessages golden = new GoldenMessages();
        for (String block : readFile(file).split("(?m)^== ")) {
            if (!block.isBlank()) {
                String[] lines = block.strip().split("\n");
                assertEquals(4, lines.length, "lines of a message: " + block);
                Message message = new Message(lines[0], lines[1], lines[2], lines[3]);
                assertEquals(null, golden.messages.put(message.name, message), "named twice: " + message.name);
            }
        }
        return golden;
    }

    private static String readFile(String file) {
        try (InputStream in = GoldenMessages.class.getResourceAsStream("/golden/" + file)) {
            assertNotNull(in, file);
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    Iterable<Message> all() {
        return messages.values();
    }

    Message get(String name) {
        Message message = messages.get(name);
        assertNotNull(message, "no golden message is named " + name);
        return message;
    }

    /** A message's body, to be sent to the code under test. */
    byte[] body(String name) {
        return get(name).body();
    }

    /** Compares what the code under test has sent with a literal message: first line, JSON form and exact bytes. */
    void assertMatches(String name, String line, byte[] body) {
        Message expected = get(name);
        assertEquals(expected.firstLine, line, name);
        assertEquals(expected.json, toJson(body), name);
        assertEquals(expected.hex, toHex(body), name);
    }

    /** The JSON form of MessagePack bytes, read without the code under test. */
    static String toJson(byte[] body) {
        if (body.length == 0) {
            return NO_BODY;
        }
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body)) {
            String json = unpacker.unpackValue().toJson();
            assertEquals(body.length, unpacker.getTotalReadBytes(), "bytes after the body");
            return json;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The bytes of a text in hexadecimal. */
    static String toHex(String text) {
        return toHex(text.getBytes(StandardCharsets.UTF_8));
    }

    /** The bytes that hexadecimal digits stand for. */
    static byte[] fromHex(String hex) {
        return HexFormat.of().parseHex(hex);
    }

    private static String toHex(byte[] body) {
        return body.length == 0 ? NO_BODY : HexFormat.of().formatHex(body);
    }
}
