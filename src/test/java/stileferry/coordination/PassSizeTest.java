package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import stileferry.scheduling.Placement;

/** Tests that passes become shorter when they take long, and never stop. */
class PassSizeTest {
    /** Users wait 2 s for an answer; a pass in the way and the answer itself have to fit into it. */
    private static final long USER_TIMEOUT_MS = 2000;

    private final PassSize size = new PassSize(1);

    /** Guards against passes that hold up the answers to questions for longer than users wait. */
    @Test
    void passesThatStartALotOnASlowControllerBecomeShort() {
        long startMs = 8;
        long tookMs = 0;
        for (int pass = 0; pass < 10; pass++) {
            tookMs = size.maxStarts() * startMs;
            size.passEnded(tookMs, true);
        }
        assertTrue(tookMs <= USER_TIMEOUT_MS / 2, tookMs + " ms");
    }

    @Test
    void shortPassesGrowAgain() {
        for (int pass = 0; pass < 20; pass++) {
            size.passEnded(USER_TIMEOUT_MS, true);
        }
        assertTrue(size.maxStarts() > 0);
        for (int pass = 0; pass < 20; pass++) {
            size.passEnded(1, true);
        }
        assertEquals(Placement.MAX_STARTS, size.maxStarts());
    }
}
