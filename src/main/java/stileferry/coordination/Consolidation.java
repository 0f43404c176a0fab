package stileferry.coordination;

import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.protocol.Options;

/**
 * Empties machines that the work no longer needs, so that they can be returned: nothing new starts there, arrays run
 * out, and services move to machines that hold their image, where they start at once. Given up as soon as work waits.
 */
final class Consolidation {
    private static final Logger LOG = LoggerFactory.getLogger("consolidation");

    /** Boot times for which nothing may have waited. */
    private static final double CALM_BOOTS = 1.0;

    /** A replica runs this long before it is moved: a start that is undone sooner counts for nothing. */
    private static final long MIN_RUN_MS = 35_000;

    private final Board board;
    private final Placement placement;
    private final Consumer<Claim> mover;
    private long calmSince;

    Consolidation(Board board, Placement placement, long now, Consumer<Claim> mover) {
        this.board = board;
        this.placement = placement;
        this.calmSince = now;
        this.mover = mover;
    }

    /** One step, after a regular pass that left these jobs waiting. */
    void step(List<Job> waiting, long now) {
        if (!waiting.isEmpty()) {
            calmSince = now;
            board.machines.values().forEach(m -> m.draining = false);
            return;
        }
        Machine emptying = null;
        for (Machine m : board.machines.values()) {
            if (m.draining && !m.deleting) {
                emptying = m;
            }
        }
        if (emptying != null) {
            move(emptying, now);
        } else {
            choose(now);
        }
    }

    private void choose(long now) {
        double free = 0;
        double all = 0;
        Machine best = null;
        for (Machine m : board.machines.values()) {
            if (!m.usable() || m.claims.isEmpty()) {
                continue;
            }
            all += m.type.cpus();
            if (!m.spot) {
                free += m.type.cpus() - m.usedCpus();
                if (best == null || m.usedCpus() < best.usedCpus()) {
                    best = m;
                }
            }
        }
        if (best == null || now - calmSince < CALM_BOOTS * 1000 * best.type.bootS()) {
            return;
        }
        double elsewhere = free - (best.type.cpus() - best.usedCpus());
        double keep = Math.max(best.type.cpus(), all * board.options.number(Options.EMPTY_SHARE));
        if (elsewhere >= best.usedCpus() + keep) {
            LOG.info("emptying machine {} with {} tasks, {} CPUs are free elsewhere", best.name, best.claims.size(),
                    elsewhere);
            best.draining = true;
        }
    }

    /** Moves one service task at a time, once only services are left. */
    private void move(Machine from, long now) {
        Claim next = null;
        for (Claim c : from.claims.values()) {
            if (!c.job.spec.service() || c.stopping() || c.runningAt == 0 || now - c.runningAt < MIN_RUN_MS) {
                return;
            }
            next = c;
        }
        if (next != null && elsewhere(next, from, now)) {
            mover.accept(next);
        }
    }

    private boolean elsewhere(Claim claim, Machine from, long now) {
        for (Machine m : board.machines.values()) {
            if (m != from && m.hasImage(claim.job.spec.image()) && placement.allowed(claim.job, m, now)
                    && m.hasRoom(claim.job)) {
                return true;
            }
        }
        return false;
    }
}
