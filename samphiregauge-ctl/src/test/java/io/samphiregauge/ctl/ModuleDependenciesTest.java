package io.samphiregauge.ctl;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Guards against dependencies that the design does not allow; see section 4 of the design page. */
class ModuleDependenciesTest {
  private static final String ROOT = "io.samphiregauge.";
  private static JavaClasses product;

  @BeforeAll
  static void importClasses() {
    product =
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
        .check(product);
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
        .check(product);
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
        .check(product);
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
        .check(product);
  }

  @Test
  void dependenciesPointOneWay() {
    mayNotUse("net..", "standins..", "daemon..", "replay..", "verify..", "ctl..", "bench..");
    mayNotUse("standins..", "daemon..", "replay..", "verify..", "ctl..", "bench..");
    mayNotUse("daemon..", "standins..", "replay..", "verify..", "ctl..", "bench..");
    mayNotUse("replay..", "verify..", "ctl..", "bench..");
    mayNotUse("verify..", "replay..", "ctl..", "bench..");
    mayNotUse("ctl..", "bench..");
  }

  @Test
  void packagesOfTheCoreFormNoCycle() {
    slices().matching(ROOT + "core.(*)..").should().beFreeOfCycles().check(product);
  }

  private static void mayNotUse(String module, String... others) {
    String[] packages = new String[others.length];
    for (int i = 0; i < others.length; i++) {
      packages[i] = ROOT + others[i];
    }
    noClasses()
        .that()
        .resideInAPackage(ROOT + module)
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(packages)
        .check(product);
  }
}
