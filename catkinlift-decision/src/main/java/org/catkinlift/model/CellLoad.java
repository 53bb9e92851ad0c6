package org.catkinlift.model;

/**
 * States the load of one keyed service in one cell, as the coordinator of the cell measured it.
 *
 * <p>It guides the balance between cells and is kept in memory only.
 *
 * @param service the service
 * @param cell the cell
 * @param version orders the reports of this service and cell; the term of the coordinator first
 * @param measured the figures
 */
public record CellLoad(ServiceName service, CellId cell, Epoch version, Measured measured)
    implements Versioned {

  /**
   * The figures of a report.
   *
   * @param homeVersion the version of the home map under which the whole average was measured; 0 if
   *     the map has changed too lately
   * @param load the work per second of all slots of the cell
   * @param error the standard error of {@code load}
   * @param capacity the capacity of the upstreams of the cell that may own slots
   */
  public record Measured(long homeVersion, double load, double error, double capacity) {}

  /**
   * Returns the name of a cell's report.
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
