package stileferry.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import stileferry.standin.LinkFaults.Effect;

/** A TCP relay between two controllers that injects faults into the link on demand. */
final class LinkRelay implements AutoCloseable {
    private static final long SLOW_LINK_DELAY_MS = 1500;
    private static final long HOLD_CHECK_MS = 20;

    private final ServerSocket server;
    private final InetSocketAddress target;
    private final Supplier<Effect> effect;
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();

    /** Starts a relay to the target. The effect is evaluated for each connection and each chunk of data. */
    LinkRelay(InetSocketAddress target, Supplier<Effect> effect) throws IOException {
        this.target = target;
        this.effect = effect;
        this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startThread(this::acceptConnections);
    }

    int port() {
        return server.getLocalPort();
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptConnections() {
        try {
            while (true) {
                Socket client = server.accept();
                if (effect.get() == Effect.REFUSED) {
                    client.close();
                } else {
                    connectToTarget(client);
                }
            }
        } catch (IOException e) {
            // the relay was closed
        }
    }

    private void connectToTarget(Socket client) throws IOException {
        Socket upstream = new Socket();
        openSockets.add(client);
        openSockets.add(upstream);
        try {
            upstream.connect(target, 500);
        } catch (IOException e) {
            client.close();
            return;
        }
        startThread(() -> forward(client, upstream, Effect.REQUEST_LOST));
        startThread(() -> forward(upstream, client, Effect.ANSWER_LOST));
    }

    private void forward(Socket from, Socket to, Effect lossEffect) {
        byte[] buffer = new byte[8192];
        try (InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream()) {
            for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
                Effect current = effect.get();
                while (current == Effect.LATE) { // held back, also when the sender has given up meanwhile
                    Thread.sleep(HOLD_CHECK_MS);
                    current = effect.get();
                }
                if (current == Effect.SLOW) {
                    Thread.sleep(SLOW_LINK_DELAY_MS);
                }
                if (current != lossEffect) {
                    out.write(buffer, 0, length);
                }
            }
        } catch (IOException e) {
            // one side has closed its connection
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            openSockets.remove(from);
            openSockets.remove(to);
        }
    }

    /** Closes all connections, because those on which part of a message was lost are unusable. */
    void closeConnections() {
        for (Socket socket : openSockets) {
            try {
                socket.close();
            } catch (IOException e) {
                // the socket is closed already
            }
        }
        openSockets.clear();
    }

    @Override
    public void close() throws IOException {
        server.close();
        closeConnections();
    }
}
