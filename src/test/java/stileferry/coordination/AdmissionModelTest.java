package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import stileferry.admission.AdmissionWindow;
import stileferry.admission.AdmissionWindowTable;
import stileferry.admission.Flow;
import stileferry.admission.LoadShedder;
import stileferry.cluster.Job;
import stileferry.coordination.AdmissionModel.CountMode;
import stileferry.coordination.AdmissionModel.Event;
import stileferry.overload.AdmissionSettings;

/**
 * A model check of the admission count, with the real commit queue, count and load shedder: explores all sequences of
 * events in {@link AdmissionModel} up to a fixed depth, except those that continue from a state seen before.
 */
class AdmissionModelTest {
    private static final int DEPTH = 7;
    private static final Flow FLOW = new Flow("red", "*", 2);

    /**
     * The result of a search: the first sequence that violates the invariant or null, and the number of states seen.
     */
    private record SearchResult(List<Event> violatingSequence, int stateCount) {}

    private static AdmissionModel replay(CountMode count, List<Event> events) {
        AdmissionModel model = new AdmissionModel(count);
        events.forEach(model::apply);
        return model;
    }

    private static SearchResult search(CountMode count) {
        Set<String> seenStates = new HashSet<>();
        ArrayDeque<List<Event>> frontier = new ArrayDeque<>();
        frontier.add(List.of());
        while (!frontier.isEmpty()) {
            List<Event> events = frontier.poll();
            for (Event event : Event.values()) {
                AdmissionModel model = replay(count, events);
                if (!model.apply(event)) {
                    continue;
                }
                List<Event> extended = new ArrayList<>(events);
                extended.add(event);
                if (model.countedAdmissions() != model.readRows(Job.KEY_PREFIX).size()) {
                    return new SearchResult(extended, seenStates.size());
                }
                if (seenStates.add(model.signature()) && extended.size() < DEPTH) {
                    frontier.add(extended);
                }
            }
        }
        return new SearchResult(null, seenStates.size());
    }

    @Test
    void noSequenceOfEventsDoublesOrLosesACount() {
        SearchResult result = search(CountMode.SAME_TRANSACTION);
        assertEquals(null, result.violatingSequence());
        assertTrue(result.stateCount() > 300, "too few states: " + result.stateCount());
    }

    @Test
    void aCountWrittenInASeparateTransactionIsDetected() {
        SearchResult result = search(CountMode.SEPARATE_TRANSACTION);
        assertFalse(result.violatingSequence() == null, "no violation found in " + result.stateCount() + " states");
    }

    /**
     * Admission window tables of two terms arrive in every order, some repeatedly, while the load shedder learns of new
     * terms. A table of an earlier term than the highest known one must not be used.
     */
    @Test
    void noWindowTableOfAFormerTermIsUsedInAnyOrder() {
        List<AdmissionWindowTable> tables = new ArrayList<>();
        for (long[] termAndSequence : new long[][] {{1, 1}, {1, 2}, {2, 1}, {2, 2}}) {
            tables.add(new AdmissionWindowTable(
                    termAndSequence[0],
                    termAndSequence[1],
                    new TreeMap<>(java.util.Map.of(FLOW, new AdmissionWindow(0.5, 0.01)))));
        }
        int orders = 0;
        int events = tables.size() + 2; // an arriving table, or learning of term 1 or 2
        for (int code = 0; code < Math.pow(events, 5); code++) {
            LoadShedder loadShedder = new LoadShedder(AdmissionSettings.config(AdmissionModel.settings()), 10);
            long knownTerm = 0;
            for (int remainingCode = code, i = 0; i < 5; i++, remainingCode /= events) {
                int event = remainingCode % events;
                if (event < tables.size()) {
                    knownTerm = Math.max(knownTerm, tables.get(event).term());
                    loadShedder.updateTable(tables.get(event), 1, 1);
                } else {
                    knownTerm = Math.max(knownTerm, event - tables.size() + 1);
                    loadShedder.observeTerm(knownTerm);
                }
                if (loadShedder.hasValidTable(2)) {
                    assertEquals(knownTerm, loadShedder.lastTable().term());
                }
            }
            orders++;
        }
        assertEquals(7776, orders);
    }
}
