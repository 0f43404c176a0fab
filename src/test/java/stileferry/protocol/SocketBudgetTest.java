package stileferry.protocol;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The division of a controller's sockets among their uses. */
class SocketBudgetTest {
    /** Guards against shares that add up to more than all sockets: under load, the uses would starve each other. */
    @ParameterizedTest
    @ValueSource(ints = {64, 1000, 1800, 2740, 2943, 60_000})
    void sharesAddUpToLessThanAllSockets(int max) {
        SocketBudget budget = SocketBudget.of(max);
        int asLeader = budget.incoming() + budget.peers() + budget.idle() + budget.commands();
        int asFollower = budget.incoming() + budget.peers() + budget.forwards();
        assertTrue(Math.max(asLeader, asFollower) <= max * 31 / 32, budget.toString());
        assertTrue(
                2 * budget.forwards() <= budget.peers() + 1,
                "both other controllers must be able to forward as much as their budgets allow");
        assertFalse(budget.closesUserConnections(budget.incoming() / 2));
        assertTrue(budget.closesUserConnections(budget.incoming() - 1));
        assertFalse(budget.closesWorkerConnections(budget.incoming() * 9 / 10));
        assertTrue(budget.closesWorkerConnections(budget.incoming()));
    }
}
