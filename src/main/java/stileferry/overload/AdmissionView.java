package stileferry.overload;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.SortedMap;
import stileferry.admission.AdmissionController;
import stileferry.admission.DemandEstimate;
import stileferry.admission.Flow;
import stileferry.admission.LoadShedder;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MessageCodec;

/** Builds the administration API's view of admission control at one controller. */
final class AdmissionView {
    private AdmissionView() {}

    /** Returns the view; {@code controller} is null while this controller does not lead. */
    static ObjectNode describe(LoadShedder loadShedder, AdmissionController controller, long now) {
        ObjectNode view = MessageCodec.map()
                .put("leads", controller != null)
                .put("holds_table", loadShedder.hasValidTable(now))
                .put("refused_at_door", loadShedder.rejectedCount());
        if (loadShedder.lastTable() != null) {
            view.put("table_term", loadShedder.lastTable().term())
                    .put("table_sequence", loadShedder.lastTable().sequence())
                    .put("table_age_s", loadShedder.tableAgeS(now))
                    .put("closed_flows", loadShedder.lastTable().windows().size());
        }
        if (controller != null) {
            view.put("capacity_per_s", controller.capacityPerS());
            describeFlows(view.putArray("flows"), controller, now);
        }
        return view;
    }

    private static void describeFlows(ArrayNode list, AdmissionController controller, long now) {
        SortedMap<Flow, Double> shares = controller.shares();
        for (Map.Entry<Flow, DemandEstimate> entry : controller.waitingJobs(now).entrySet()) {
            Flow flow = entry.getKey();
            DemandEstimate waiting = entry.getValue();
            list.addObject()
                    .put("team", flow.team())
                    .put("class", flow.jobClass())
                    .put("priority", JobSpec.Priority.values()[flow.priorityTier()].wireName())
                    .put("waiting", waiting.waitingJobs())
                    .put("waiting_least", waiting.lowerBound())
                    .put("waiting_most", waiting.upperBound())
                    .put("share_per_s", shares.getOrDefault(flow, 0.0))
                    .put("admitted", controller.admittedCount(flow))
                    .put("refused", controller.rejectedCount(flow));
        }
    }
}
