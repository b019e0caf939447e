package dev.dunefront.net;

import javax.management.MBeanServer;
import javax.management.MBeanServerBuilder;
import javax.management.MBeanServerDelegate;

/**
 * Refuses to make a management server. XNIO registers its workers and servers with one, and making
 * it takes nearly half of the processor time of a start; without one XNIO goes on. What operators
 * read is at {@link HttpServer#METRICS_PATH}.
 */
public final class DisabledMBeanServerBuilder extends MBeanServerBuilder {
  private static final String BUILDER_PROPERTY = "javax.management.builder.initial";

  /** Has effect before the first use of XNIO, and unless the operator has chosen a builder. */
  public static void install() {
    if (System.getProperty(BUILDER_PROPERTY) == null) {
      System.setProperty(BUILDER_PROPERTY, DisabledMBeanServerBuilder.class.getName());
    }
  }

  @Override
  public MBeanServer newMBeanServer(
      String defaultDomain, MBeanServer outer, MBeanServerDelegate delegate) {
    throw new IllegalStateException("no management server is wanted");
  }
}
