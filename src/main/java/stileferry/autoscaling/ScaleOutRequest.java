package stileferry.autoscaling;

/**
 * A request for machines of one pool whose outcome is not known yet.
 *
 * @param id the idempotency key: the cloud carries the request out once, however often it is sent
 */
record ScaleOutRequest(String id, InstancePool pool, int count, long sentAt) {
    ScaleOutRequest resentAt(long now) {
        return new ScaleOutRequest(id, pool, count, now);
    }
}
