package stileferry.leadership;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Progress of confirming one job's cancellation: the peers that have acknowledged it, and the action that runs once
 * enough of them have.
 */
final class CancellationConfirmation {
    /** Indexes of the peers that have acknowledged the cancellation. */
    final Set<Integer> acknowledgedBy = new LinkedHashSet<>();

    /** Runs when the cancellation is confirmed; null once it has run. */
    Runnable onConfirmed;

    CancellationConfirmation(Runnable onConfirmed) {
        this.onConfirmed = onConfirmed;
    }

    boolean confirmed() {
        return onConfirmed == null;
    }

    void confirm() {
        Runnable action = onConfirmed;
        onConfirmed = null;
        action.run();
    }
}
