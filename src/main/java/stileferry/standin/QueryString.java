package stileferry.standin;

import java.util.HashMap;
import java.util.Map;

/** The part of a path behind the question mark. */
record QueryString(Map<String, String> values) {
    static QueryString of(String path) {
        Map<String, String> values = new HashMap<>();
        int mark = path.indexOf('?');
        if (mark >= 0) {
            for (String pair : path.substring(mark + 1).split("&")) {
                int equals = pair.indexOf('=');
                if (equals > 0) {
                    values.put(pair.substring(0, equals), pair.substring(equals + 1));
                }
            }
        }
        return new QueryString(values);
    }

    String text(String name) {
        return values.getOrDefault(name, "");
    }

    long number(String name, long missing) {
        return values.containsKey(name) ? Long.parseLong(values.get(name)) : missing;
    }
}
