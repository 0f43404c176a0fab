package stileferry.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Resets operator settings to their defaults. */
@Command(
        name = "reset",
        description = "Puts settings back to their defaults; all if none is named.",
        mixinStandardHelpOptions = true,
        footer = {"", "Example: stileferry admin reset --node 127.0.0.1:7701 --revision 1 idle_boots"})
final class AdminReset extends SettingsChangeCommand {
    @Parameters(paramLabel = "NAME", arity = "0..*", description = "What to reset.")
    private List<String> names;

    AdminReset() {
        super("settings/reset");
    }

    @Override
    void writeChange(ObjectNode body) {
        if (names != null) {
            names.forEach(body.putArray("names")::add);
        }
    }
}
