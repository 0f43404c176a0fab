package stileferry.architecture;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** What docs/architecture.md says of packages: layers, no cycles, and a state owner without I/O, threads or clocks. */
class ArchitectureTest {
    /** Packages of the state owner: they decide, and reach the world only through the environment. */
    private static final String[] STATE_OWNER = {
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

    private static JavaClasses classes;

    @BeforeAll
    static void readClasses() {
        classes = new ClassFileImporter()
                .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                .importPackages("stileferry");
    }

    @Test
    void dependenciesPointDown() {
        layeredArchitecture()
                .consideringOnlyDependenciesInAnyPackage("stileferry..")
                .layer("cli")
                .definedBy("stileferry.cli..", "stileferry")
                .layer("transport")
                .definedBy("stileferry.transport..")
                .layer("stand-ins")
                .definedBy("stileferry.standin..")
                .layer("coordination")
                .definedBy("stileferry.coordination..")
                .layer("overload")
                .definedBy("stileferry.overload..")
                .layer("requests")
                .definedBy("stileferry.requests..")
                .layer("scheduling")
                .definedBy("stileferry.scheduling..")
                .layer("task control")
                .definedBy("stileferry.lifecycle..", "stileferry.autoscaling..")
                .layer("heartbeat")
                .definedBy("stileferry.heartbeat..")
                .layer("cluster model")
                .definedBy("stileferry.cluster..")
                .layer("leadership")
                .definedBy("stileferry.leadership..")
                .layer("links")
                .definedBy("stileferry.links..")
                .layer("storage")
                .definedBy("stileferry.storage..")
                .layer("embeddable")
                .definedBy("stileferry.admission..", "stileferry.connectivity..", "stileferry.validation..")
                .layer("protocol")
                .definedBy("stileferry.protocol..")
                .whereLayer("cli")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("transport")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("stand-ins")
                .mayOnlyBeAccessedByLayers("cli", "transport")
                .whereLayer("coordination")
                .mayOnlyBeAccessedByLayers("cli", "transport")
                .whereLayer("overload")
                .mayOnlyBeAccessedByLayers("coordination")
                .whereLayer("requests")
                .mayOnlyBeAccessedByLayers("coordination", "overload")
                .whereLayer("scheduling")
                .mayOnlyBeAccessedByLayers("coordination", "requests")
                .whereLayer("task control")
                .mayOnlyBeAccessedByLayers("coordination", "requests", "scheduling")
                .whereLayer("heartbeat")
                .mayOnlyBeAccessedByLayers("coordination", "scheduling", "task control")
                .whereLayer("cluster model")
                .mayOnlyBeAccessedByLayers("coordination", "requests", "scheduling", "task control", "heartbeat")
                .whereLayer("leadership")
                .mayOnlyBeAccessedByLayers(
                        "coordination", "overload", "requests", "scheduling", "task control", "heartbeat")
                .whereLayer("links")
                .mayOnlyAccessLayers("embeddable", "protocol")
                .whereLayer("storage")
                .mayOnlyAccessLayers("protocol")
                .whereLayer("protocol")
                .mayNotAccessAnyLayer()
                .whereLayer("embeddable")
                .mayNotAccessAnyLayer()
                .check(classes);
    }

    @Test
    void packagesFormNoCycles() {
        slices().matching("stileferry.(*)..").should().beFreeOfCycles().check(classes);
    }

    @Test
    void embeddablePackagesDependOnNothingOfTheService() {
        noClasses()
                .that()
                .resideInAnyPackage("stileferry.admission..", "stileferry.connectivity..", "stileferry.validation..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "stileferry.protocol..", "stileferry.storage..", "stileferry.coordination..", "org.slf4j..")
                .check(classes);
    }

    @Test
    void theStateOwnerDoesNoInputOrOutput() {
        noClasses()
                .that()
                .resideInAnyPackage(STATE_OWNER)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.nio.channels..", "java.nio.file..", "io.undertow..", "org.xnio..")
                .orShould()
                .dependOnClassesThat()
                .haveNameMatching("java\\.net\\.(Socket|ServerSocket|URL|URLConnection|HttpURLConnection)|"
                        + "java\\.io\\.(File|FileReader|FileWriter|FileInputStream|FileOutputStream|RandomAccessFile)")
                .check(classes);
    }

    @Test
    void theStateOwnerStartsNoThreads() {
        noClasses()
                .that()
                .resideInAnyPackage(STATE_OWNER)
                .should()
                .dependOnClassesThat()
                .haveNameMatching("java\\.lang\\.Thread|java\\.util\\.Timer|java\\.util\\.concurrent\\.(Executor.*|"
                        + "CompletableFuture|ForkJoin.*|Scheduled.*|ThreadFactory|ThreadPool.*)")
                .check(classes);
    }

    @Test
    void theStateOwnerReadsNoWallClock() {
        noClasses()
                .that()
                .resideInAnyPackage(STATE_OWNER)
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .dependOnClassesThat()
                .haveNameMatching("java\\.time\\.(Clock|Instant|LocalDateTime|ZonedDateTime)|java\\.util\\.Date")
                .check(classes);
    }
}
