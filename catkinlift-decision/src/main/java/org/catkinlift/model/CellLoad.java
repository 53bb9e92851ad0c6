package org.catkinlift.model;

/**
 * The load of one keyed service in one cell, as measured by the coordinator of the cell.
 *
 * <p>Used for balancing load between cells; kept in memory only.
 *
 * @param service the service
 * @param cell the cell
 * @param version the version among the reports of this service and cell; compared by coordinator
 *     term first
 * @param measured the measured values
 */
public record CellLoad(ServiceName service, CellId cell, Epoch version, Measured measured)
    implements Versioned {

  /**
   * The measured values of a report.
   *
   * @param homeVersion the version of the home map that was in force during the whole averaging
   *     period; 0 if the map changed during that period
   * @param load the load per second of all slots of the cell
   * @param error the standard error of {@code load}
   * @param capacity the capacity of the upstreams of the cell that may own slots
   */
  public record Measured(long homeVersion, double load, double error, double capacity) {}

  /**
   * Returns the name of the report of a service in one cell.
   *
   * @param service the service
   * @param cell the cell
   * @return the name
   */
  public static String nameOf(ServiceName service, CellId cell) {
    return "load/" + service + "/" + cell;
  }

  @Override
  public String name() {
    return nameOf(service, cell);
  }

  @Override
  public Epoch versionEpoch() {
    return version;
  }
}
