package stileferry.protocol;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The shares in which a controller's sockets are divided. */
class SocketBudgetTest {
    /** Guards against shares that are more than the whole: under load they would starve each other. */
    @ParameterizedTest
    @ValueSource(ints = {64, 1000, 1800, 2740, 2943, 60_000})
    void theSharesLeaveSomethingOfTheWhole(int max) {
        SocketBudget s = SocketBudget.of(max);
        int leads = s.incoming() + s.peers() + s.idle() + s.commands();
        int follows = s.incoming() + s.peers() + s.forwards();
        assertTrue(Math.max(leads, follows) <= max * 31 / 32, s.toString());
        assertTrue(2 * s.forwards() <= s.peers() + 1, "both others may pass on as much as they are allowed to");
        assertFalse(s.closesUserConnections(s.incoming() / 2));
        assertTrue(s.closesUserConnections(s.incoming() - 1));
        assertFalse(s.closesWorkerConnections(s.incoming() * 9 / 10));
        assertTrue(s.closesWorkerConnections(s.incoming()));
    }
}
