package stileferry.architecture;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Enforces the package rules of docs/architecture.md: layers, no cyclic dependencies, and no I/O, threads or clocks in
 * the packages that own the controller's state.
 */
class ArchitectureTest {
    /**
     * Packages whose code runs on the event loop and owns the controller's state. They make all decisions, and do I/O
     * and read the time only through {@code Environment}.
     */
    private static final String[] EVENT_LOOP_PACKAGES = {
        "stileferry.protocol..",
        "stileferry.storage..",
        "stileferry.links..",
        "stileferry.leadership..",
        "stileferry.cluster..",
        "stileferry.heartbeat..",
        "stileferry.lifecycle..",
        "stileferry.autoscaling..",
        "stileferry.scheduling..",
        "stileferry.requests..",
        "stileferry.overload..",
        "stileferry.coordination..",
        "stileferry.admission..",
        "stileferry.connectivity.."
    };

    private static JavaClasses productionClasses;

    @BeforeAll
    static void importProductionClasses() {
        productionClasses = new ClassFileImporter()
                .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                .importPackages("stileferry");
    }

    /** The packages by layer, lowest first. A package may depend only on itself and on packages of lower layers. */
    private static final List<List<String>> LAYERS = List.of(
            List.of("validation"),
            List.of("protocol", "admission", "connectivity"),
            List.of("storage", "links"),
            List.of("leadership"),
            List.of("cluster"),
            List.of("heartbeat"),
            List.of("lifecycle", "autoscaling"),
            List.of("scheduling"),
            List.of("requests"),
            List.of("overload"),
            List.of("coordination"),
            List.of("standin"),
            List.of("transport"),
            List.of("cli"));

    @Test
    void packagesDependOnlyOnLowerLayers() {
        for (int layer = 0; layer < LAYERS.size(); layer++) {
            for (String name : LAYERS.get(layer)) {
                assertDependsOnlyOnLowerLayers(name, layer);
            }
        }
    }

    private static void assertDependsOnlyOnLowerLayers(String name, int layer) {
        String[] forbidden = LAYERS.subList(layer, LAYERS.size()).stream()
                .flatMap(List::stream)
                .filter(other -> !other.equals(name))
                .map(other -> "stileferry." + other + "..")
                .toArray(String[]::new);
        noClasses()
                .that()
                .resideInAPackage("stileferry." + name + "..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(forbidden)
                .check(productionClasses);
    }

    /** Guards against a new package that no layer lists: the layer rule would not check its dependencies. */
    @Test
    void everyPackageBelongsToALayer() {
        Set<String> packages = productionClasses.stream()
                .map(type -> type.getPackageName().replaceFirst("^stileferry\\.?", ""))
                .filter(name -> !name.isEmpty())
                .collect(Collectors.toSet());
        assertEquals(LAYERS.stream().flatMap(List::stream).collect(Collectors.toSet()), packages);
    }

    @Test
    void packagesHaveNoCyclicDependencies() {
        slices().matching("stileferry.(*)..").should().beFreeOfCycles().check(productionClasses);
    }

    @Test
    void embeddablePackagesDoNotDependOnTheControllerOrLogging() {
        noClasses()
                .that()
                .resideInAnyPackage("stileferry.admission..", "stileferry.connectivity..", "stileferry.validation..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "stileferry.protocol..", "stileferry.storage..", "stileferry.coordination..", "org.slf4j..")
                .check(productionClasses);
    }

    @Test
    void eventLoopPackagesDoNoInputOrOutput() {
        noClasses()
                .that()
                .resideInAnyPackage(EVENT_LOOP_PACKAGES)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.nio.channels..", "java.nio.file..", "io.undertow..", "org.xnio..")
                .orShould()
                .dependOnClassesThat()
                .haveNameMatching("java\\.net\\.(Socket|ServerSocket|URL|URLConnection|HttpURLConnection)|"
                        + "java\\.io\\.(File|FileReader|FileWriter|FileInputStream|FileOutputStream|RandomAccessFile)")
                .check(productionClasses);
    }

    @Test
    void eventLoopPackagesStartNoThreads() {
        noClasses()
                .that()
                .resideInAnyPackage(EVENT_LOOP_PACKAGES)
                .should()
                .dependOnClassesThat()
                .haveNameMatching("java\\.lang\\.Thread|java\\.util\\.Timer|java\\.util\\.concurrent\\.(Executor.*|"
                        + "CompletableFuture|ForkJoin.*|Scheduled.*|ThreadFactory|ThreadPool.*)")
                .check(productionClasses);
    }

    @Test
    void eventLoopPackagesReadNoSystemClock() {
        noClasses()
                .that()
                .resideInAnyPackage(EVENT_LOOP_PACKAGES)
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .dependOnClassesThat()
                .haveNameMatching("java\\.time\\.(Clock|Instant|LocalDateTime|ZonedDateTime)|java\\.util\\.Date")
                .check(productionClasses);
    }
}
