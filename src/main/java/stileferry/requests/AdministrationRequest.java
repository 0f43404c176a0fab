package stileferry.requests;

/**
 * An operator's request.
 *
 * @param path what follows the prefix of the administration API, without the query
 * @param startAfter the name or position after which a long list continues; empty: from its start
 */
public record AdministrationRequest(String method, String path, String startAfter, byte[] body) {
    private static final String FROM_PARAMETER = "from=";

    /** Reads the form in which requests are forwarded: the method, a space, and the path with its query. */
    public static AdministrationRequest read(String methodAndPath, byte[] body) {
        String[] parts = methodAndPath.split("[ ?]", 3);
        String path = parts.length > 1 ? parts[1] : "";
        String from = parts.length > 2 && parts[2].startsWith(FROM_PARAMETER)
                ? parts[2].substring(FROM_PARAMETER.length())
                : "";
        return new AdministrationRequest(parts[0], path, from, body);
    }

    /** Whether nothing is to be changed. */
    boolean isGet() {
        return method.equals("GET");
    }
}
