package org.catkinlift.model;

/**
 * An upstream and its limits.
 *
 * @param id the upstream
 * @param zone its availability zone
 * @param cell the cell that manages it
 * @param address the address at which it listens
 * @param concurrencyLimit the number of requests that it executes at once; at least 1
 * @param connectionLimit the number of connections that it accepts; at least 1
 */
public record UpstreamDefinition(
    UpstreamId id,
    ZoneName zone,
    CellId cell,
    NetworkAddress address,
    int concurrencyLimit,
    int connectionLimit) {

  /**
   * Checks the limits.
   *
   * @throws ModelException with code {@code OUT_OF_RANGE} if a limit is below 1
   */
  public UpstreamDefinition {
    if (concurrencyLimit < 1 || connectionLimit < 1) {
      throw new ModelException(
          ModelException.Code.OUT_OF_RANGE, "limits of upstream " + id + " must be at least 1");
    }
  }
}
