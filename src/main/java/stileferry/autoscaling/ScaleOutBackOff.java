package stileferry.autoscaling;

import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.protocol.Environment;

/** Tracks the pools in which the cloud refused machines, and until when no more are requested from them. */
final class ScaleOutBackOff {
    private static final Logger LOG = LoggerFactory.getLogger("cloud");

    /** First pause in milliseconds per second of boot time: half a boot time. */
    private static final double FIRST_PAUSE_MS_PER_BOOT_S = 500;

    /** Maximum number of doublings of the pause. */
    private static final int MAX_DOUBLINGS = 1;

    private final Environment environment;
    private final Map<String, Refusal> refusalsByPool = new HashMap<>();

    private record Refusal(int count, long retryAt) {}

    ScaleOutBackOff(Environment environment) {
        this.environment = environment;
    }

    boolean permits(InstancePool pool) {
        Refusal refusal = refusalsByPool.get(pool.key());
        return refusal == null || refusal.retryAt <= environment.now();
    }

    void recordRefusal(InstancePool pool) {
        Refusal previous = refusalsByPool.get(pool.key());
        int refusalsBefore = previous == null ? 0 : previous.count;
        long pauseMs =
                Math.round(pool.type().bootS() * FIRST_PAUSE_MS_PER_BOOT_S) << Math.min(MAX_DOUBLINGS, refusalsBefore);
        refusalsByPool.put(pool.key(), new Refusal(refusalsBefore + 1, environment.now() + pauseMs));
        LOG.info(
                "no capacity: spot={} type={} zone={} retry_s={}",
                pool.spot(),
                pool.type().name(),
                pool.zone(),
                pauseMs / 1000);
    }

    void recordGrant(InstancePool pool) {
        refusalsByPool.remove(pool.key());
    }
}
