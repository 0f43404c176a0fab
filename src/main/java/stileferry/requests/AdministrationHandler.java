package stileferry.requests;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;
import java.util.function.Supplier;
import stileferry.protocol.PeerMessage;

/** Handles administration API requests at the leader: the operator settings and views of the leader's state. */
public final class AdministrationHandler {
    private final OperatorSettingsHandler settings;
    private final AdministrationViews views;
    private final Supplier<ObjectNode> leaderView;

    /**
     * Creates a handler for one term.
     *
     * @param leaderView supplies the view of the leader itself
     */
    public AdministrationHandler(
            OperatorSettingsHandler settings, AdministrationViews views, Supplier<ObjectNode> leaderView) {
        this.settings = settings;
        this.views = views;
        this.leaderView = leaderView;
    }

    /** Handles a request, whose method is GET or POST, and passes the response to {@code reply}. */
    public void handle(AdministrationRequest request, Consumer<PeerMessage.Response> reply) {
        switch (request.path()) {
            case "settings" -> {
                if (request.isGet()) {
                    reply.accept(settings.describe());
                } else {
                    settings.change(request.body(), reply);
                }
            }
            case "settings/reset" -> {
                if (request.isGet()) {
                    reply.accept(Responses.error(405, "only POST here"));
                } else {
                    settings.reset(request.body(), reply);
                }
            }
            case "leader" -> reply.accept(Responses.readOnlyView(request.isGet(), leaderView));
            case "machines" ->
                reply.accept(Responses.readOnlyView(request.isGet(), () -> views.machines(request.startAfter())));
            case "queue" ->
                reply.accept(Responses.readOnlyView(request.isGet(), () -> views.queue(request.startAfter())));
            case "teams" -> reply.accept(Responses.readOnlyView(request.isGet(), views::teams));
            default -> reply.accept(Responses.error(404, "no such path"));
        }
    }
}
