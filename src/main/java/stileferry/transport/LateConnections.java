package stileferry.transport;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts the connections on which a response is awaited after its request was given up. Only a few are kept to each
 * address, since a server that does not respond at all must not use up the sockets.
 */
final class LateConnections {
    private final Map<String, Integer> countByAddress = new HashMap<>();

    /** Counts one more connection to an address; returns false, without counting, if enough are kept. */
    boolean tryKeep(String address) {
        int count = countByAddress.getOrDefault(address, 0);
        if (count >= IdleConnections.MAX_PER_ADDRESS) {
            return false;
        }
        countByAddress.put(address, count + 1);
        return true;
    }

    /** Called when a connection that was kept has got its response or is closed. */
    void ended(String address) {
        countByAddress.merge(address, -1, (count, change) -> count + change == 0 ? null : count + change);
    }
}
