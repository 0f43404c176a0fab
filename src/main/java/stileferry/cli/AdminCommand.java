package stileferry.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import stileferry.protocol.MessageCodec;

/** Operators' settings and views. */
@Command(
        name = "admin",
        description = "Reads and changes the operators' settings, and shows what the leader knows.",
        mixinStandardHelpOptions = true,
        subcommands = {AdminCommand.Get.class, AdminCommand.Set.class, AdminCommand.Reset.class, AdminCommand.Show.class
        })
final class AdminCommand implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }

    private static String settings(JsonNode body) {
        StringBuilder text =
                new StringBuilder("revision " + body.path("revision").asLong());
        for (JsonNode s : body.path("settings")) {
            text.append(System.lineSeparator())
                    .append(String.format(
                            "%-20s %-8s (default %s",
                            s.path("name").asText(),
                            s.path("value").asText(),
                            s.path("default").asText()));
            if (s.has("least")) {
                text.append(", ")
                        .append(s.path("least").asText())
                        .append(" to ")
                        .append(s.path("most").asText());
            } else if (s.has("choices")) {
                text.append(", ").append(s.path("choices"));
            }
            text.append(") ").append(s.path("meaning").asText());
        }
        return text.toString();
    }

    /** Shows the settings. */
    @Command(
            name = "get",
            description = "Shows the settings, with defaults, limits and revision.",
            mixinStandardHelpOptions = true,
            footer = {"", "Example: stileferry admin get --node 127.0.0.1:7701"})
    static final class Get implements Callable<Integer> {
        @Mixin
        private ControllerConnection connection;

        @Override
        public Integer call() throws IOException, InterruptedException {
            return connection.ask("GET", "/admin/settings", null, AdminCommand::settings);
        }
    }

    /** Changes settings. */
    @Command(
            name = "set",
            description = "Changes settings, all of them or none.",
            mixinStandardHelpOptions = true,
            footer = {"", "Example: stileferry admin set --node 127.0.0.1:7701 --revision 0 idle_boots=4"})
    static final class Set implements Callable<Integer> {
        @Mixin
        private ControllerConnection connection;

        @Option(names = "--revision", required = true, description = "The revision that 'admin get' showed.")
        private long revision;

        @Parameters(paramLabel = "NAME=VALUE", arity = "1..*", description = "What to change.")
        private Map<String, String> change;

        @Override
        public Integer call() throws IOException, InterruptedException {
            ObjectNode body = MessageCodec.map().put("revision", revision);
            ObjectNode values = body.putObject("change");
            change.forEach((name, value) -> values.set(name, value(value)));
            return connection.ask("POST", "/admin/settings", MessageCodec.encode(body), AdminCommand::settings);
        }

        /** Numbers and true or false are taken as such, everything else as text. */
        private static JsonNode value(String text) {
            try {
                JsonNode node = new ObjectMapper().readTree(text);
                return node.isNumber() || node.isBoolean() ? node : TextNode.valueOf(text);
            } catch (JsonProcessingException e) {
                return TextNode.valueOf(text);
            }
        }
    }

    /** Resets settings. */
    @Command(
            name = "reset",
            description = "Puts settings back to their defaults; all if none is named.",
            mixinStandardHelpOptions = true,
            footer = {"", "Example: stileferry admin reset --node 127.0.0.1:7701 --revision 1 idle_boots"})
    static final class Reset implements Callable<Integer> {
        @Mixin
        private ControllerConnection connection;

        @Option(names = "--revision", required = true, description = "The revision that 'admin get' showed.")
        private long revision;

        @Parameters(paramLabel = "NAME", arity = "0..*", description = "What to reset.")
        private List<String> names;

        @Override
        public Integer call() throws IOException, InterruptedException {
            ObjectNode body = MessageCodec.map().put("revision", revision);
            if (names != null) {
                names.forEach(body.putArray("names")::add);
            }
            return connection.ask("POST", "/admin/settings/reset", MessageCodec.encode(body), AdminCommand::settings);
        }
    }

    /** Shows a view. */
    @Command(
            name = "show",
            description = "Shows leader, machines, queue, teams, counters, links or admission, as JSON.",
            mixinStandardHelpOptions = true,
            footer = {"", "Example: stileferry admin show --node 127.0.0.1:7701 queue"})
    static final class Show implements Callable<Integer> {
        /** What can be shown. */
        enum View {
            LEADER,
            MACHINES,
            QUEUE,
            TEAMS,
            COUNTERS,
            LINKS,
            ADMISSION
        }

        @Mixin
        private ControllerConnection connection;

        @Option(names = "--from", defaultValue = "", description = "Continue a long list after this name or position.")
        private String from;

        @Parameters(paramLabel = "VIEW", description = "${COMPLETION-CANDIDATES}")
        private View view;

        @Override
        public Integer call() throws IOException, InterruptedException {
            String path = "/admin/" + view.name().toLowerCase(java.util.Locale.ROOT);
            return connection.ask(
                    "GET", from.isEmpty() ? path : path + "?from=" + from, null, JsonNode::toPrettyString);
        }
    }
}
