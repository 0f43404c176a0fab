package stileferry.cli;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/** Finds ports for what runs on loopback and is over soon. */
final class Ports {
    private static final int FIRST_PORT = 20_000;
    private static final int END_PORT = 30_000;
    private static final int RANGE_SIZE = 10;

    private Ports() {}

    /** The first of so many ports in a row (ten at most) that are free just now; others may look at the same time. */
    static int findFreeRange(int count) throws IOException {
        int from = ThreadLocalRandom.current().nextInt(FIRST_PORT, END_PORT);
        for (int i = 0; i < END_PORT - FIRST_PORT; i += RANGE_SIZE) {
            int base = FIRST_PORT
                    + Math.floorMod(from + i - FIRST_PORT, (END_PORT - FIRST_PORT) / RANGE_SIZE * RANGE_SIZE)
                            / RANGE_SIZE
                            * RANGE_SIZE;
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
