package stileferry.transport;

import io.undertow.client.ClientConnection;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.xnio.IoUtils;

/** Pool of idle connections for reuse by later requests to the same address. */
final class IdleConnections {
    static final int MAX_PER_ADDRESS = 16;

    private final int maxConnections;
    private final Map<String, ArrayDeque<ClientConnection>> byAddress = new HashMap<>();

    /** The pooled connections with their addresses, least recently used first. */
    private final LinkedHashMap<ClientConnection, String> byLastUse = new LinkedHashMap<>();

    IdleConnections(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /** Removes an open connection to an address from the pool and returns it, or null if there is none. */
    ClientConnection take(String address) {
        ArrayDeque<ClientConnection> pooled = byAddress.get(address);
        while (pooled != null && !pooled.isEmpty()) {
            ClientConnection connection = pooled.pollLast();
            byLastUse.remove(connection);
            if (connection.isOpen()) {
                return connection;
            }
        }
        return null;
    }

    /**
     * Adds a connection to the pool, or closes it if the pool holds enough to its address. If the whole pool is full,
     * the least recently used connection is closed.
     */
    void release(String address, ClientConnection connection) {
        if (!connection.isOpen()) {
            return;
        }
        ArrayDeque<ClientConnection> pooled = byAddress.computeIfAbsent(address, key -> new ArrayDeque<>(2));
        if (pooled.size() >= MAX_PER_ADDRESS) {
            IoUtils.safeClose(connection);
            return;
        }
        pooled.addLast(connection);
        byLastUse.put(connection, address);
        if (byLastUse.size() > maxConnections) {
            closeLeastRecentlyUsed();
        }
    }

    private void closeLeastRecentlyUsed() {
        Map.Entry<ClientConnection, String> leastRecentlyUsed =
                byLastUse.entrySet().iterator().next();
        ClientConnection connection = leastRecentlyUsed.getKey();
        String address = leastRecentlyUsed.getValue();
        ArrayDeque<ClientConnection> pooled = byAddress.get(address);
        pooled.remove(connection);
        if (pooled.isEmpty()) {
            byAddress.remove(address);
        }
        byLastUse.remove(connection);
        IoUtils.safeClose(connection);
    }
}
