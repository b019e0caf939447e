package dev.dunefront.net;

import javax.management.MBeanServer;
import javax.management.MBeanServerBuilder;
import javax.management.MBeanServerDelegate;

/**
 * Prevents the creation of an MBean server. XNIO registers its workers and servers with one, and
 * creating it takes nearly half of the CPU time of a start; XNIO works without it. Operators read
 * metrics at {@link HttpServer#METRICS_PATH} instead.
 */
public final class DisabledMBeanServerBuilder extends MBeanServerBuilder {
  private static final String BUILDER_PROPERTY = "javax.management.builder.initial";

  /**
   * Takes effect only before the first use of XNIO, and only if the operator has not configured a
   * builder.
   */
  public static void install() {
    if (System.getProperty(BUILDER_PROPERTY) == null) {
      System.setProperty(BUILDER_PROPERTY, DisabledMBeanServerBuilder.class.getName());
    }
  }

  @Override
  public MBeanServer newMBeanServer(
      String defaultDomain, MBeanServer outer, MBeanServerDelegate delegate) {
    throw new IllegalStateException("the MBean server is disabled");
  }
}
