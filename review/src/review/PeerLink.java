package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A proxy for the connections from one controller to another one; during a cut it passes nothing on. */
final class PeerLink implements Runnable {
    private final Deployment deployment;
    private final int from;
    private final int to;
    private final int targetPort;
    private final ServerSocket listener;
    private final Set<Socket> touchedByCut = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    PeerLink(Deployment deployment, int from, int to, int targetPort) throws IOException {
        this.deployment = deployment;
        this.from = from;
        this.to = to;
        this.targetPort = targetPort;
        this.listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    }

    int port() {
        return listener.getLocalPort();
    }

    @Override
    public void run() {
        while (!closed) {
            try {
                Socket client = listener.accept();
                client.setTcpNoDelay(true);
                if (deployment.isCutBetween(from, to)) {
                    touchedByCut.add(client);
                    continue;
                }
                Socket server = new Socket();
                try {
                    server.connect(new java.net.InetSocketAddress("127.0.0.1", targetPort), 1000);
                } catch (IOException e) {
                    client.setSoLinger(true, 0);
                    client.close();
                    continue;
                }
                server.setTcpNoDelay(true);
                pump(client, server);
                pump(server, client);
            } catch (IOException e) {
                // the listener is closed, or a connection ended at once
            }
        }
    }

    private void pump(Socket in, Socket out) {
        Thread thread = new Thread(() -> {
            byte[] buffer = new byte[16 * 1024];
            try {
                InputStream source = in.getInputStream();
                OutputStream sink = out.getOutputStream();
                for (int count = source.read(buffer); count >= 0; count = source.read(buffer)) {
                    if (deployment.isCutBetween(from, to)) {
                        touchedByCut.add(in);
                        touchedByCut.add(out);
                        return;
                    }
                    sink.write(buffer, 0, count);
                }
            } catch (IOException e) {
                // either side has closed
            }
            if (!touchedByCut.contains(in)) {
                closeQuietly(in);
                closeQuietly(out);
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    void resetCutConnections() {
        touchedByCut.forEach(PeerLink::closeQuietly);
        touchedByCut.clear();
    }

    void close() {
        closed = true;
        try {
            listener.close();
        } catch (IOException e) {
            // ends with the process
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // closed already
        }
    }
}
