package stileferry.requests;

/**
 * An operator's request to the administration API.
 *
 * @param method GET or POST
 * @param path the part of the path after the administration API's prefix, without the query
 * @param startAfter the name or position after which a long list continues, or an empty string to begin at its start
 */
public record AdministrationRequest(String method, String path, String startAfter, byte[] body) {
    private static final String FROM_PARAMETER = "from=";

    /**
     * Parses a request in the form in which it is forwarded.
     *
     * @param methodAndPath the method, a space, and the path with its query
     */
    public static AdministrationRequest read(String methodAndPath, byte[] body) {
        String[] parts = methodAndPath.split("[ ?]", 3);
        String path = parts.length > 1 ? parts[1] : "";
        String startAfter = parts.length > 2 && parts[2].startsWith(FROM_PARAMETER)
                ? parts[2].substring(FROM_PARAMETER.length())
                : "";
        return new AdministrationRequest(parts[0], path, startAfter, body);
    }

    /** Returns whether the request only reads. */
    boolean isGet() {
        return method.equals("GET");
    }
}
