package stileferry.cli;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/** Finds free ports for short-lived processes and tests on loopback. */
final class Ports {
    private static final int FIRST_PORT = 20_000;
    private static final int END_PORT = 30_000;
    private static final int RANGE_SIZE = 10;

    private Ports() {}

    /**
     * Returns the first port of a range that is free at the moment. The ports are not reserved, so that concurrent
     * callers may find the same range.
     *
     * @param count the length of the range, ten at most
     */
    static int findFreeRange(int count) throws IOException {
        int startPort = ThreadLocalRandom.current().nextInt(FIRST_PORT, END_PORT);
        for (int i = 0; i < END_PORT - FIRST_PORT; i += RANGE_SIZE) {
            int base = FIRST_PORT
                    + Math.floorMod(startPort + i - FIRST_PORT, (END_PORT - FIRST_PORT) / RANGE_SIZE * RANGE_SIZE)
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
