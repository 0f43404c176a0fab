package stileferry.transport;

import io.undertow.client.ClientConnection;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.xnio.IoUtils;

/** Connections that are kept for the next request to their address. */
final class IdleConnections {
    private static final int MAX_PER_ADDRESS = 8;

    private final int maxConnections;
    private final Map<String, ArrayDeque<ClientConnection>> byAddress = new HashMap<>();

    /** The connections with their addresses, the least lately used first. */
    private final LinkedHashMap<ClientConnection, String> byLastUse = new LinkedHashMap<>();

    IdleConnections(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /** An open connection to this address, which is no longer kept; null: there is none. */
    ClientConnection take(String address) {
        ArrayDeque<ClientConnection> kept = byAddress.get(address);
        while (kept != null && !kept.isEmpty()) {
            ClientConnection connection = kept.pollLast();
            byLastUse.remove(connection);
            if (connection.isOpen()) {
                return connection;
            }
        }
        return null;
    }

    /** Keeps a connection, or closes it; with many addresses the least lately used connection makes room. */
    void release(String address, ClientConnection connection) {
        if (!connection.isOpen()) {
            return;
        }
        ArrayDeque<ClientConnection> kept = byAddress.computeIfAbsent(address, key -> new ArrayDeque<>(2));
        if (kept.size() >= MAX_PER_ADDRESS) {
            IoUtils.safeClose(connection);
            return;
        }
        kept.addLast(connection);
        byLastUse.put(connection, address);
        if (byLastUse.size() > maxConnections) {
            closeLeastRecentlyUsed();
        }
    }

    private void closeLeastRecentlyUsed() {
        Map.Entry<ClientConnection, String> eldest =
                byLastUse.entrySet().iterator().next();
        ClientConnection connection = eldest.getKey();
        String address = eldest.getValue();
        ArrayDeque<ClientConnection> kept = byAddress.get(address);
        kept.remove(connection);
        if (kept.isEmpty()) {
            byAddress.remove(address);
        }
        byLastUse.remove(connection);
        IoUtils.safeClose(connection);
    }
}
