package stileferry.cluster;

import java.util.HashSet;
import java.util.Iterator;
import java.util.Set;
import stileferry.protocol.Heartbeat;

/**
 * Remembers, in one term, the attempts that an agent was last told to forget, to notice if one of them is started
 * again. An attempt counts as forgotten once a status does not list it any more.
 */
final class ForgottenAttempts {
    private static final int REMEMBERED = 32;
    private static final long HASH_FACTOR = 1_000_003;

    private final Set<String> toldToForget = new HashSet<>();

    /** Fingerprints of the attempts forgotten last, in a ring; null until there is one. */
    private long[] forgotten;

    private int count;

    void recordClear(String attemptId) {
        toldToForget.add(attemptId);
    }

    /** Takes in a newer status and returns an attempt that it lists although it was forgotten, or null. */
    Heartbeat.TaskStatus update(Heartbeat status) {
        if (toldToForget.isEmpty() && forgotten == null) {
            return null;
        }
        Heartbeat.TaskStatus startedAgain = null;
        Set<String> reported = new HashSet<>();
        for (Heartbeat.TaskStatus task : status.tasks()) {
            reported.add(task.attemptId());
            if (isForgotten(fingerprint(task.attemptId()))) {
                startedAgain = task;
            }
        }
        forgetAllExcept(reported);
        return startedAgain;
    }

    private void forgetAllExcept(Set<String> reported) {
        for (Iterator<String> attemptIds = toldToForget.iterator(); attemptIds.hasNext(); ) {
            String attemptId = attemptIds.next();
            if (!reported.contains(attemptId)) {
                remember(fingerprint(attemptId));
                attemptIds.remove();
            }
        }
    }

    private void remember(long fingerprint) {
        if (forgotten == null) {
            forgotten = new long[REMEMBERED];
        }
        forgotten[count++ % REMEMBERED] = fingerprint;
    }

    private boolean isForgotten(long fingerprint) {
        for (int i = 0; i < Math.min(count, REMEMBERED); i++) {
            if (forgotten[i] == fingerprint) {
                return true;
            }
        }
        return false;
    }

    /** Returns a hash of an attempt id in 64 bits, in place of an id that would take more memory. */
    private static long fingerprint(String attemptId) {
        long hash = 0;
        for (int i = 0; i < attemptId.length(); i++) {
            hash = hash * HASH_FACTOR + attemptId.charAt(i);
        }
        return hash;
    }
}
