package stileferry.standin;

import java.util.HashMap;
import java.util.Map;

/** The parameters of a URL's query string; values are not percent-decoded. */
record QueryString(Map<String, String> parameters) {
    static QueryString of(String path) {
        Map<String, String> parameters = new HashMap<>();
        int start = path.indexOf('?');
        if (start >= 0) {
            for (String parameter : path.substring(start + 1).split("&")) {
                int equals = parameter.indexOf('=');
                if (equals > 0) {
                    parameters.put(parameter.substring(0, equals), parameter.substring(equals + 1));
                }
            }
        }
        return new QueryString(parameters);
    }

    /** Returns a parameter's value, or an empty string if the parameter is missing. */
    String text(String name) {
        return parameters.getOrDefault(name, "");
    }

    long number(String name, long defaultValue) {
        return parameters.containsKey(name) ? Long.parseLong(parameters.get(name)) : defaultValue;
    }
}
