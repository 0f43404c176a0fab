package stileferry.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Changes operator settings. */
@Command(
        name = "set",
        description = "Changes settings, all of them or none.",
        mixinStandardHelpOptions = true,
        footer = {"", "Example: stileferry admin set --node 127.0.0.1:7701 --revision 0 idle_boots=4"})
final class AdminSet extends SettingsChangeCommand {
    @Parameters(paramLabel = "NAME=VALUE", arity = "1..*", description = "What to change.")
    private Map<String, String> change;

    AdminSet() {
        super("settings");
    }

    @Override
    void writeChange(ObjectNode body) {
        ObjectNode values = body.putObject("change");
        change.forEach((name, value) -> values.set(name, parseValue(value)));
    }

    /** Parses a value from the command line: numbers and booleans as such, everything else as text. */
    private static JsonNode parseValue(String text) {
        try {
            JsonNode node = new ObjectMapper().readTree(text);
            return node.isNumber() || node.isBoolean() ? node : TextNode.valueOf(text);
        } catch (JsonProcessingException e) {
            return TextNode.valueOf(text);
        }
    }
}
