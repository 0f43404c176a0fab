package stileferry.architecture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The themed field names of the published protocol stand in one place; everything else uses the field's terms. */
class WireNamesTest {
    private static final Path SOURCE_ROOT = Path.of("src/main/java/stileferry");

    /** The classes that map wire names to the code's terms. */
    private static final Set<String> TRANSLATING_FILES =
            Set.of("protocol/WireNames.java", "protocol/KeyValueStoreProtocol.java");

    /** Field names of the wire that are no words of the code. */
    private static final Pattern WIRE_ONLY_NAME = Pattern.compile("\"(name_id|tide|helm|harbors?|harbormaster|"
            + "passengers?|launch|berth|crew|cargo|voyage|mooring|ashore_s|vessel|charter|hulls?|craft|precedence|"
            + "same_place|tender|crossing_s|waypoint_s|stow_s|moor_by_s|pull_gb|recall_s|landing_cause|log_seq|"
            + "entry_rev|ledger_rev|life_ms)\"");

    @Test
    void wireOnlyNamesAppearOnlyInTheTranslatingFiles() throws IOException {
        assertEquals(Set.of(), filesContainingWireOnlyNames(false));
    }

    /** The edge does name them, so that the check above sees what it looks for. */
    @Test
    void translatingFilesContainWireOnlyNames() throws IOException {
        assertEquals(TRANSLATING_FILES, filesContainingWireOnlyNames(true));
        assertTrue(WIRE_ONLY_NAME.matcher("map.put(\"helm\", term)").find());
    }

    private static Set<String> filesContainingWireOnlyNames(boolean atTheEdge) throws IOException {
        Set<String> files = new TreeSet<>();
        try (Stream<Path> sources = Files.walk(SOURCE_ROOT)) {
            for (Path source :
                    (Iterable<Path>) sources.filter(path -> path.toString().endsWith(".java"))::iterator) {
                String name = SOURCE_ROOT.relativize(source).toString();
                if (TRANSLATING_FILES.contains(name) == atTheEdge
                        && WIRE_ONLY_NAME.matcher(Files.readString(source)).find()) {
                    files.add(name);
                }
            }
        }
        return files;
    }
}
