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

/** The golden files: one body a line, lines that begin with # are remarks. Nothing ever writes them. */
final class GoldenFile {
    private GoldenFile() {}

    /** The lines of a golden file. */
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

    /** Compares transactions with those of a golden file, as text, field by field in their order. */
    static void assertText(String name, List<JsonNode> commits) {
        assertEquals(
                String.join("\n", lines(name)),
                String.join("\n", commits.stream().map(JsonNode::toString).toList()));
    }

    /** Compares transactions with those of a golden file, as the bytes that travel. */
    static void assertBytes(String name, List<JsonNode> commits) {
        assertEquals(
                String.join("\n", lines(name)),
                String.join(
                        "\n",
                        commits.stream()
                                .map(body -> HexFormat.of().formatHex(MessageCodec.encode(body)))
                                .toList()));
    }
}
