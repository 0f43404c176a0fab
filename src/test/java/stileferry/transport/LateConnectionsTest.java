package stileferry.transport;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the bound on connections that wait for late responses. */
class LateConnectionsTest {
    private static final String ADDRESS = "127.0.0.1:1";

    private final LateConnections connections = new LateConnections();

    /** Guards against a controller that does not respond and uses up the sockets of the others. */
    @Test
    void anAddressKeepsNoMoreLateConnectionsThanIdleOnes() {
        for (int i = 0; i < IdleConnections.MAX_PER_ADDRESS; i++) {
            assertTrue(connections.tryKeep(ADDRESS));
        }
        assertFalse(connections.tryKeep(ADDRESS));
        assertTrue(connections.tryKeep("127.0.0.1:2"));
        connections.ended(ADDRESS);
        assertTrue(connections.tryKeep(ADDRESS));
        assertFalse(connections.tryKeep(ADDRESS));
    }
}
