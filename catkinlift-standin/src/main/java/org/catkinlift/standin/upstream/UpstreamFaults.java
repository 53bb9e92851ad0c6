package org.catkinlift.standin.upstream;

/**
 * The faults injected into an upstream.
 *
 * @param frozen whether the process is paused; requests received meanwhile are handled on resume
 * @param slowFactor the factor applied to execution times
 * @param loadReporting how its load reports relate to its actual load
 */
public record UpstreamFaults(boolean frozen, double slowFactor, LoadReporting loadReporting) {

  /** No faults. */
  public static final UpstreamFaults NONE =
      new UpstreamFaults(false, 1, new LoadReporting.Current());

  /**
   * Returns a copy of these faults with the process frozen or running.
   *
   * @param frozen whether the process is paused
   * @return the faults
   */
  public UpstreamFaults withFrozen(boolean frozen) {
    return new UpstreamFaults(frozen, slowFactor, loadReporting);
  }

  /**
   * Returns a copy of these faults with another execution time factor.
   *
   * @param slowFactor the factor applied to execution times
   * @return the faults
   */
  public UpstreamFaults withSlowFactor(double slowFactor) {
    return new UpstreamFaults(frozen, slowFactor, loadReporting);
  }

  /**
   * Returns a copy of these faults with other load reporting.
   *
   * @param loadReporting how load reports relate to the actual load
   * @return the faults
   */
  public UpstreamFaults withLoadReporting(LoadReporting loadReporting) {
    return new UpstreamFaults(frozen, slowFactor, loadReporting);
  }
}
