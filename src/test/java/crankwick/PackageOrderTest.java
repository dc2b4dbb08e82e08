package crankwick;

import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Checks the package dependencies against the layering in docs/architecture.md. */
class PackageOrderTest {
    /** The project packages on which each package may depend. */
    private static final Map<String, List<String>> ALLOWED_DEPENDENCIES = Map.ofEntries(
            Map.entry("routing.api", List.of()),
            Map.entry("routing", List.of("routing.api")),
            Map.entry("settings", List.of("routing.api")),
            Map.entry("statement", List.of()),
            Map.entry("failover", List.of("routing.api")),
            Map.entry("broker", List.of("routing", "routing.api", "failover")),
            Map.entry("transport", List.of()),
            Map.entry("client", List.of("transport", "broker", "routing.api", "statement")),
            Map.entry("database", List.of("transport", "broker", "routing.api", "statement")),
            Map.entry(
                    "runtime",
                    List.of("client", "database", "discovery", "transport", "broker", "routing.api", "statement")),
            Map.entry("model", List.of("routing.api")),
            Map.entry("pg", List.of("broker", "client", "database", "routing.api", "transport")),
            Map.entry("tds", List.of("broker", "client", "database", "routing.api", "transport")),
            Map.entry("discovery", List.of("routing.api", "transport")),
            Map.entry("emulator", List.of("client", "database", "model", "routing.api", "statement", "transport")),
            Map.entry("simulation", List.of("broker", "discovery", "failover", "model", "routing.api")),
            Map.entry("simulator", List.of("routing", "routing.api", "settings")));

    /** Deterministic packages: their state and actions depend only on the events and times passed to them. */
    private static final String[] DETERMINISTIC = {
        "crankwick.routing..", "crankwick.failover..", "crankwick.broker..", "crankwick.model.."
    };

    private static final JavaClasses PROJECT = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("crankwick");

    @Test
    void packagesDependOnlyOnAllowedPackages() {
        ALLOWED_DEPENDENCIES.forEach((name, dependencies) -> {
            List<String> allowed = new ArrayList<>();
            allowed.add("crankwick." + name);
            dependencies.forEach(dependency -> allowed.add("crankwick." + dependency));
            noClasses()
                    .that()
                    .resideInAPackage("crankwick." + name)
                    .should()
                    .dependOnClassesThat(resideInAPackage("crankwick..")
                            .and(not(resideInAnyPackage(allowed.toArray(new String[0])))))
                    .check(PROJECT);
        });
    }

    @Test
    void deterministicPackagesUseNoInputOutputThreadsOrClocks() {
        noClasses()
                .that()
                .resideInAnyPackage(DETERMINISTIC)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..",
                        "java.net..",
                        "java.nio..",
                        "java.time..",
                        "java.util.concurrent..",
                        "org.glassfish..",
                        "org.slf4j..")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(PROJECT);
    }

    @Test
    void routingApiIsImmutable() {
        classes()
                .that()
                .resideInAPackage("crankwick.routing.api")
                .and()
                .areNotInterfaces()
                .should()
                .haveOnlyFinalFields()
                .check(PROJECT);
    }
}
