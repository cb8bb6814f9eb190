package burlford;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** The arrows between packages: fronts, core, policy; what each package-info says. */
@AnalyzeClasses(packages = "burlford", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {

    @ArchTest
    static final ArchRule ARROWS = layeredArchitecture().consideringOnlyDependenciesInLayers()
            .layer("policy").definedBy("burlford.policy")
            .layer("settings").definedBy("burlford.settings")
            .layer("core").definedBy("burlford.core")
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
            .whereLayer("core").mayOnlyBeAccessedByLayers("clients", "fronts", "readers", "daemon")
            .whereLayer("settings").mayOnlyBeAccessedByLayers("adapter", "daemon", "command");

    @ArchTest
    static final ArchRule NO_CYCLES = slices().matching("burlford.(*)..").should().beFreeOfCycles();

    @ArchTest
    static final ArchRule CORE_KNOWS_NO_WIRE = noClasses().that().resideInAnyPackage("burlford.core",
            "burlford.policy", "burlford.settings").should().dependOnClassesThat()
            .resideInAnyPackage("io.netty..", "com.fasterxml..", "io.microraft..");

    @ArchTest
    static final ArchRule THE_MODULE_HAS_NO_CLOCK_AND_NO_IO = noClasses().that().resideInAPackage("burlford.policy")
            .should().dependOnClassesThat().resideInAnyPackage("java.io..", "java.nio..", "java.net..",
                    "java.util.concurrent..", "java.time..", "java.util.logging..");
}
