package burlford;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** The arrows between packages: fronts, core, policy; what each package-info says. */
class ArchitectureTest {

    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests()).importPackages("burlford");

    @Test
    void arrowsPointOneWay() {
        assertThat(CLASSES.size()).isGreaterThan(100); // else it would look at nothing
        layeredArchitecture().consideringOnlyDependenciesInLayers()
                .layer("policy").definedBy("burlford.policy")
                .layer("settings").definedBy("burlford.settings")
                .layer("core").definedBy("burlford.core")
                .layer("net").definedBy("burlford.net")
                .layer("lanes").definedBy("burlford.lanes")
                .layer("clients").definedBy("burlford.clients")
                .layer("fronts").definedBy("burlford.search", "burlford.store")
                .layer("readers").definedBy("burlford.servers", "burlford.discovery", "burlford.inventory")
                .layer("adapter").definedBy("burlford.adapter")
                .layer("daemon").definedBy("burlford.daemon")
                .layer("command").definedBy("burlford")
                .whereLayer("command").mayNotBeAccessedByAnyLayer()
                .whereLayer("daemon").mayOnlyBeAccessedByLayers("command")
                .whereLayer("adapter").mayOnlyBeAccessedByLayers("command")
                .whereLayer("readers").mayOnlyBeAccessedByLayers("daemon", "command")
                .whereLayer("fronts").mayOnlyBeAccessedByLayers("daemon", "command")
                .whereLayer("clients").mayOnlyBeAccessedByLayers("fronts", "daemon")
                .whereLayer("lanes").mayOnlyBeAccessedByLayers("daemon")
                .whereLayer("core").mayOnlyBeAccessedByLayers("clients", "fronts", "readers", "lanes", "daemon")
                .whereLayer("net").mayOnlyBeAccessedByLayers("clients", "fronts", "readers", "daemon")
                .whereLayer("settings").mayOnlyBeAccessedByLayers("adapter", "daemon", "command")
                .check(CLASSES);
    }

    @Test
    void noCycles() {
        slices().matching("burlford.(*)..").should().beFreeOfCycles().check(CLASSES);
    }

    @Test
    void coreKnowsNoWire() {
        noClasses().that().resideInAnyPackage("burlford.core", "burlford.policy", "burlford.settings", "burlford.lanes")
                .should().dependOnClassesThat().resideInAnyPackage("io.netty..", "com.fasterxml..", "io.microraft..")
                .check(CLASSES);
    }

    @Test
    void theModuleHasNoClockNoThreadsAndNoIo() {
        noClasses().that().resideInAPackage("burlford.policy").should().dependOnClassesThat().resideInAnyPackage(
                "java.io..", "java.nio..", "java.net..", "java.util.concurrent..", "java.time..", "java.util.logging..")
                .check(CLASSES);
    }

    @Test
    void whatDecidesAboutLanesIsPure() {
        noClasses().that().haveSimpleName("Placement").or().haveSimpleName("Supervision").or()
                .haveSimpleName("LaneSettings").should().dependOnClassesThat().resideInAnyPackage("java.io..",
                        "java.nio..", "java.net..", "java.util.concurrent..", "java.time..").check(CLASSES);
    }
}
