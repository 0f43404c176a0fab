package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import stileferry.protocol.MessageCodec;

/** Reads golden files with one message body per line and comments after {@code #}. No code writes these files. */
final class GoldenFile {
    private GoldenFile() {}

    /** Returns the lines of a golden file without comments and empty lines. */
    static List<String> lines(String name) {
        try (InputStream in = GoldenFile.class.getResourceAsStream("/golden/" + name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .filter(line -> !line.isEmpty() && !line.startsWith("#"))
                    .toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Asserts that transactions equal those of a golden file as JSON text, including the order of the fields. */
    static void assertText(String name, List<JsonNode> commits) {
        assertEquals(
                String.join("\n", lines(name)),
                String.join("\n", commits.stream().map(JsonNode::toString).toList()));
    }

    /** Asserts that transactions equal those of a golden file as the MessagePack bytes sent over the wire. */
    static void assertBytes(String name, List<JsonNode> commits) {
        assertEquals(
                String.join("\n", lines(name)),
                String.join(
                        "\n",
                        commits.stream()
                                .map(commit -> HexFormat.of().formatHex(MessageCodec.encode(commit)))
                                .toList()));
    }
}
