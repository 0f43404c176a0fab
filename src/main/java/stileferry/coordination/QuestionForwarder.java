package stileferry.coordination;

import java.util.function.Consumer;
import stileferry.protocol.Environment;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.PeerMessage.ForwardedRequest;
import stileferry.protocol.Settings;
import stileferry.requests.RequestForwarder;

/**
 * Forwards users' questions about jobs to the leader: a few in messages of their own, and all others together in
 * batches, so that a leader that answers seconds late still answers all of them at once.
 */
final class QuestionForwarder {
    /** Questions in flight in messages of their own: about as many connections as are kept open to one controller. */
    private static final int MAX_ALONE_IN_FLIGHT = 8;

    private static final int MAX_BATCHES_IN_FLIGHT = 2;

    private final Environment environment;
    private final RequestForwarder batches;
    private int aloneInFlight;

    /** The term whose leader answered a batch with something else, as versions do that know no batches. */
    private long termWithoutBatches = -1;

    QuestionForwarder(Environment environment) {
        this.environment = environment;
        this.batches =
                new RequestForwarder(environment, MAX_BATCHES_IN_FLIGHT, RequestForwarder.BatchEnd.NEWEST_REQUEST);
    }

    /** Forwards a question; the reply is null if no response arrived in time or it was not sent. */
    void send(Settings.Peer leader, long term, ForwardedRequest question, long timeoutMs, Consumer<PeerMessage> reply) {
        if (aloneInFlight < MAX_ALONE_IN_FLIGHT || term == termWithoutBatches) {
            sendAlone(leader, question, timeoutMs, reply);
        } else {
            sendInBatch(leader, term, question, timeoutMs, reply);
        }
    }

    private void sendAlone(
            Settings.Peer leader, ForwardedRequest question, long timeoutMs, Consumer<PeerMessage> reply) {
        aloneInFlight++;
        environment.sendToPeer(leader, question, timeoutMs, response -> {
            aloneInFlight--;
            reply.accept(response);
        });
    }

    private void sendInBatch(
            Settings.Peer leader, long term, ForwardedRequest question, long timeoutMs, Consumer<PeerMessage> reply) {
        long deadline = environment.now() + timeoutMs;
        boolean queued = batches.send(leader, question, timeoutMs, response -> {
            long leftMs = deadline - environment.now();
            if (response == null && leftMs > timeoutMs / 2) {
                termWithoutBatches = term;
                sendAlone(leader, question, leftMs, reply);
            } else {
                reply.accept(response);
            }
        });
        if (!queued) {
            reply.accept(null);
        }
    }
}
