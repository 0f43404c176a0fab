package stileferry.cli;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/** Finds ports for what runs on loopback and is over soon. */
final class Ports {
    private static final int FIRST = 20_000;
    private static final int LAST = 30_000;
    private static final int STEP = 10;

    private Ports() {}

    /** The first of so many ports in a row (ten at most) that are free just now; others may look at the same time. */
    static int free(int count) throws IOException {
        int from = ThreadLocalRandom.current().nextInt(FIRST, LAST);
        for (int i = 0; i < LAST - FIRST; i += STEP) {
            int base = FIRST + Math.floorMod(from + i - FIRST, (LAST - FIRST) / STEP * STEP) / STEP * STEP;
            if (allFree(base, count)) {
                return base;
            }
        }
        throw new IOException("no free ports");
    }

    private static boolean allFree(int base, int count) {
        for (int i = 0; i < count; i++) {
            try (ServerSocket socket = new ServerSocket(base + i, 1, InetAddress.getLoopbackAddress())) {
                if (!socket.isBound()) {
                    return false;
                }
            } catch (IOException e) {
                return false;
            }
        }
        return true;
    }
}
