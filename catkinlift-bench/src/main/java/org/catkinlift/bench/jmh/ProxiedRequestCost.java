package org.catkinlift.bench.jmh;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import org.catkinlift.standin.load.LoadGenerator;
import org.catkinlift.standin.load.LoadReport;
import org.catkinlift.standin.load.LoadSettings;
import org.catkinlift.standin.load.ReadinessProbe;
import org.catkinlift.standin.load.Targets;

/**
 * Measures the CPU time that a daemon spends on one request.
 *
 * <p>Callers, daemon and upstream run in one process. The CPU time of the same requests sent
 * directly to the upstream is subtracted, which cancels out the cost of the callers and of the
 * upstream.
 */
final class ProxiedRequestCost {
  private static final double REQUESTS_PER_SECOND = 4_000;
  private static final Duration DURATION = Duration.ofSeconds(10);
  private static final int READINESS_ROUNDS = 60;

  private final SingleDaemonDeployment deployment;

  private ProxiedRequestCost(SingleDaemonDeployment deployment) {
    this.deployment = deployment;
  }

  /**
   * Measures the additional CPU time of a proxied request compared to a direct request.
   *
   * @return the additional CPU time, in nanoseconds
   * @throws Exception if the deployment does not start or a request is not answered
   */
  static double measureNanos() throws Exception {
    SingleDaemonDeployment deployment = SingleDaemonDeployment.start();
    try {
      return new ProxiedRequestCost(deployment).measure();
    } finally {
      deployment.stop();
    }
  }

  private double measure() throws Exception {
    Targets proxied = deployment.proxiedTargets();
    Targets direct = deployment.directTargets();
    SingleDaemonDeployment.await(
        ReadinessProbe.await(deployment.vertx(), proxied, 0, READINESS_ROUNDS));
    cpuNanosPerRequest(proxied); // warm-up
    cpuNanosPerRequest(direct);
    return cpuNanosPerRequest(proxied) - cpuNanosPerRequest(direct);
  }

  private double cpuNanosPerRequest(Targets targets) throws Exception {
    var settings =
        LoadSettings.builder()
            .targets(targets)
            .ratePerSecond(REQUESTS_PER_SECOND)
            .duration(DURATION)
            .orderShare(0)
            .downloadShare(0)
            .build();
    var operatingSystem = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    long cpuNanosBefore = operatingSystem.getProcessCpuTime();
    LoadReport.Counts counts =
        SingleDaemonDeployment.await(LoadGenerator.run(deployment.vertx(), settings)).counts();
    if (counts.answered() != counts.requests()) {
      throw new IllegalStateException("not all requests were answered: " + counts);
    }
    return (double) (operatingSystem.getProcessCpuTime() - cpuNanosBefore) / counts.requests();
  }
}
