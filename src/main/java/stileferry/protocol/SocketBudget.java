package stileferry.protocol;

/**
 * Divides a controller's sockets among its uses, so that no use can starve another. The shares add up to less than all
 * sockets; the rest is for connections to the key-value store and the cloud and for the servers' own sockets.
 *
 * @param incoming the maximum number of connections from users, workers and health checks
 * @param peers the maximum number of connections from other controllers
 * @param idle the maximum number of idle connections to workers and others that are kept open for the next request
 * @param commands the maximum number of commands to workers in progress
 * @param forwards the maximum number of forwarded requests to one other controller in progress
 */
public record SocketBudget(int incoming, int peers, int idle, int commands, int forwards) {
    /** The share of incoming connections in use above which connections of users are closed after the response. */
    private static final double USER_CLOSE_SHARE = 0.75;

    /** The share above which connections of workers are closed after the response, too. */
    private static final double WORKER_CLOSE_SHARE = 0.95;

    /** Returns the division of this number of sockets. */
    public static SocketBudget of(int max) {
        return new SocketBudget(max * 25 / 32, share(max, 16), share(max, 16), share(max, 16), share(max, 32));
    }

    private static int share(int max, int divisor) {
        return Math.max(1, max / divisor);
    }

    /** Returns whether a user's connection must be closed after the response, given the number of open connections. */
    public boolean closesUserConnections(long open) {
        return open > incoming * USER_CLOSE_SHARE;
    }

    /**
     * Returns whether a worker's connection must be closed after the response, given the number of open connections.
     */
    public boolean closesWorkerConnections(long open) {
        return open > incoming * WORKER_CLOSE_SHARE;
    }
}
