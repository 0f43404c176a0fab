package stileferry.autoscaling;

/**
 * A request for machines of one pool that has no known outcome yet.
 *
 * @param id under which the cloud carries it out once, however often it is sent
 */
record ScaleOutRequest(String id, InstancePool pool, int count, long sentAt) {
    ScaleOutRequest resentAt(long now) {
        return new ScaleOutRequest(id, pool, count, now);
    }
}
