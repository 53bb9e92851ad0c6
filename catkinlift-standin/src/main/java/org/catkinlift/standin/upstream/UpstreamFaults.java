package org.catkinlift.standin.upstream;

/**
 * States how an upstream misbehaves.
 *
 * @param frozen whether the process is paused; what arrives meanwhile is handled when it resumes
 * @param slowFactor what execution times are multiplied by
 * @param loadReporting how true its load reports are
 */
public record UpstreamFaults(boolean frozen, double slowFactor, LoadReporting loadReporting) {

  /** No misbehaviour. */
  public static final UpstreamFaults NONE =
      new UpstreamFaults(false, 1, new LoadReporting.Current());

  /**
   * Returns these faults with the process paused or running.
   *
   * @param frozen whether it is paused
   * @return the faults
   */
  public UpstreamFaults withFrozen(boolean frozen) {
    return new UpstreamFaults(frozen, slowFactor, loadReporting);
  }

  /**
   * Returns these faults with another speed.
   *
   * @param slowFactor what execution times are multiplied by
   * @return the faults
   */
  public UpstreamFaults withSlowFactor(double slowFactor) {
    return new UpstreamFaults(frozen, slowFactor, loadReporting);
  }

  /**
   * Returns these faults with other load reports.
   *
   * @param loadReporting how true the reports are
   * @return the faults
   */
  public UpstreamFaults withLoadReporting(LoadReporting loadReporting) {
    return new UpstreamFaults(frozen, slowFactor, loadReporting);
  }
}
