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

/**
 * Checks that field names of the published protocol that differ from the usual terms appear only in the classes that
 * translate them. All other code uses the usual terms.
 */
class WireNamesTest {
    private static final Path SOURCE_ROOT = Path.of("src/main/java/stileferry");

    /** The source files that map the protocol's field names to the terms used in the code. */
    private static final Set<String> TRANSLATING_FILES =
            Set.of("protocol/WireNames.java", "protocol/KeyValueStoreProtocol.java");

    /** Matches field names, as string literals, that are used on the wire only. */
    private static final Pattern WIRE_ONLY_NAME = Pattern.compile("\"(name_id|tide|helm|harbors?|harbormaster|"
            + "passengers?|launch|berth|crew|cargo|voyage|mooring|ashore_s|vessel|charter|hulls?|craft|precedence|"
            + "same_place|tender|crossing_s|waypoint_s|stow_s|moor_by_s|pull_gb|recall_s|landing_cause|log_seq|"
            + "entry_rev|ledger_rev|life_ms)\"");

    @Test
    void wireOnlyNamesAppearOnlyInTheTranslatingFiles() throws IOException {
        assertEquals(Set.of(), filesContainingWireOnlyNames(false));
    }

    /** Guards against a pattern that matches nothing, with which the check above would always pass. */
    @Test
    void translatingFilesContainWireOnlyNames() throws IOException {
        assertEquals(TRANSLATING_FILES, filesContainingWireOnlyNames(true));
        assertTrue(WIRE_ONLY_NAME.matcher("map.put(\"helm\", term)").find());
    }

    private static Set<String> filesContainingWireOnlyNames(boolean inTranslatingFiles) throws IOException {
        Set<String> files = new TreeSet<>();
        try (Stream<Path> sourceFiles = Files.walk(SOURCE_ROOT)) {
            for (Path sourceFile :
                    (Iterable<Path>) sourceFiles.filter(path -> path.toString().endsWith(".java"))::iterator) {
                String name = SOURCE_ROOT.relativize(sourceFile).toString();
                if (TRANSLATING_FILES.contains(name) == inTranslatingFiles
                        && WIRE_ONLY_NAME.matcher(Files.readString(sourceFile)).find()) {
                    files.add(name);
                }
            }
        }
        return files;
    }
}
