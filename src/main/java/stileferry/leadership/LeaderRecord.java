package stileferry.leadership;

import com.fasterxml.jackson.databind.node.ObjectNode;
import stileferry.protocol.KeyValue;
import stileferry.protocol.MessageCodec;

/**
 * The leader key as it is stored.
 *
 * @param node the leader's name
 * @param leaseId the lease that the key is deleted with
 */
record LeaderRecord(String node, long term, String leaseId) {
    private static final String NODE = "node";
    private static final String TERM = "term";
    private static final String LEASE = "lease";

    static LeaderRecord read(KeyValue row) {
        return new LeaderRecord(
                row.value().path(NODE).asText(),
                row.value().path(TERM).asLong(),
                row.value().path(LEASE).asText());
    }

    ObjectNode write() {
        return MessageCodec.map().put(NODE, node).put(TERM, term).put(LEASE, leaseId);
    }
}
