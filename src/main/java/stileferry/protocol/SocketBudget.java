package stileferry.protocol;

/**
 * How a controller divides its sockets, so that no use can starve another. The shares add up to less than the whole;
 * what is left serves the key-value store, the cloud and the servers themselves.
 *
 * @param incoming connections of users, workers and health checks
 * @param peers connections of the other controllers
 * @param idle connections to workers and others that are kept for the next request
 * @param commands commands to workers in progress
 * @param forwards requests passed on to one other controller in progress
 */
public record SocketBudget(int incoming, int peers, int idle, int commands, int forwards) {
    /** Of the incoming connections: above this share users' connections end with their answers. */
    private static final double USER_CLOSE_SHARE = 0.75;

    /** Above this share workers' connections do too. */
    private static final double WORKER_CLOSE_SHARE = 0.95;

    /** Divides so many. */
    public static SocketBudget of(int max) {
        return new SocketBudget(max * 25 / 32, share(max, 16), share(max, 16), share(max, 16), share(max, 32));
    }

    private static int share(int max, int part) {
        return Math.max(1, max / part);
    }

    /** Whether a user's connection has to end with its answer when so many are open. */
    public boolean closesUserConnections(long open) {
        return open > incoming * USER_CLOSE_SHARE;
    }

    /** Whether a worker's connection has to end with its answer when so many are open. */
    public boolean closesWorkerConnections(long open) {
        return open > incoming * WORKER_CLOSE_SHARE;
    }
}
