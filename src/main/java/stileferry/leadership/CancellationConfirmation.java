package stileferry.leadership;

import java.util.LinkedHashSet;
import java.util.Set;

/** A cancellation on its way to the other controllers. */
final class CancellationConfirmation {
    final Set<Integer> acknowledgedBy = new LinkedHashSet<>();

    /** Null once it has run. */
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
