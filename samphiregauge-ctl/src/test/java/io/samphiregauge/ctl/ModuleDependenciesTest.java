package io.samphiregauge.ctl;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Verifies the dependencies between modules that section 4 of the design page allows. */
class ModuleDependenciesTest {
  private static final String ROOT = "io.samphiregauge.";
  private static JavaClasses productClasses;

  @BeforeAll
  static void importClasses() {
    productClasses =
        new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("io.samphiregauge");
  }

  @Test
  void schemaDependsOnAnnotationsOnly() {
    classes()
        .that()
        .resideInAPackage(ROOT + "schema..")
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage(ROOT + "schema..", "java..", "com.fasterxml.jackson.annotation..")
        .check(productClasses);
  }

  @Test
  void coreDependsOnNeitherNetworkNorCodec() {
    classes()
        .that()
        .resideInAPackage(ROOT + "core..")
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage(
            ROOT + "core..",
            ROOT + "schema..",
            "org.agrona..",
            "java.lang..",
            "java.math..",
            "java.nio..",
            "java.security..",
            "java.util..")
        .check(productClasses);
  }

  @Test
  void coreStartsNoThreadAndReadsNoFile() {
    noClasses()
        .that()
        .resideInAPackage(ROOT + "core..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("java.nio.file..", "java.nio.channels..")
        .orShould()
        .dependOnClassesThat()
        .areAssignableTo(Thread.class)
        .check(productClasses);
  }

  @Test
  void replayAndVerifyUseNoNetwork() {
    noClasses()
        .that()
        .resideInAnyPackage(ROOT + "replay..", ROOT + "verify..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            ROOT + "net..", ROOT + "standins..", ROOT + "daemon..", "io.netty..", "java.net..")
        .check(productClasses);
  }

  @Test
  void dependenciesPointOneWay() {
    assertNoDependency(
        "net..", "standins..", "daemon..", "replay..", "verify..", "ctl..", "bench..");
    assertNoDependency("standins..", "daemon..", "replay..", "verify..", "ctl..", "bench..");
    assertNoDependency("daemon..", "standins..", "replay..", "verify..", "ctl..", "bench..");
    assertNoDependency("replay..", "verify..", "ctl..", "bench..");
    assertNoDependency("verify..", "replay..", "ctl..", "bench..");
    assertNoDependency("ctl..", "bench..");
  }

  @Test
  void packagesOfTheCoreFormNoCycle() {
    slices().matching(ROOT + "core.(*)..").should().beFreeOfCycles().check(productClasses);
  }

  private static void assertNoDependency(String module, String... forbidden) {
    String[] packages = new String[forbidden.length];
    for (int i = 0; i < forbidden.length; i++) {
      packages[i] = ROOT + forbidden[i];
    }
    noClasses()
        .that()
        .resideInAPackage(ROOT + module)
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(packages)
        .check(productClasses);
  }
}
