package stileferry.leadership;

import com.fasterxml.jackson.databind.node.ObjectNode;
import stileferry.protocol.KeyValue;
import stileferry.protocol.MessageCodec;

/**
 * The stored value of the leader key.
 *
 * @param node the name of the leading controller
 * @param leaseId the lease that the key is attached to; the store deletes the key when that lease ends
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
