package stileferry.cli;

import com.fasterxml.jackson.databind.JsonNode;

/** Renders the operator settings as text, one setting per line. */
final class OperatorSettingsText {
    private OperatorSettingsText() {}

    static String of(JsonNode body) {
        StringBuilder text =
                new StringBuilder("revision ").append(body.path("revision").asLong());
        for (JsonNode setting : body.path("settings")) {
            text.append(System.lineSeparator()).append(line(setting));
        }
        return text.toString();
    }

    private static String line(JsonNode setting) {
        return String.format(
                "%-20s %-8s (default %s%s) %s",
                setting.path("name").asText(),
                setting.path("value").asText(),
                setting.path("default").asText(),
                limits(setting),
                setting.path("meaning").asText());
    }

    private static String limits(JsonNode setting) {
        if (setting.has("least")) {
            return ", " + setting.path("least").asText() + " to "
                    + setting.path("most").asText();
        }
        return setting.has("choices") ? ", " + setting.path("choices") : "";
    }
}
