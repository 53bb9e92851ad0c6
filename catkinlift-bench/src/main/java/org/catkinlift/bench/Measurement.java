package org.catkinlift.bench;

/**
 * A measured value of one scenario, with its bound and the value that a simple baseline reaches for
 * the same site and seed.
 *
 * @param measure the name of the measure, as the design page defines it
 * @param site the deployment whose sizes were used
 * @param scenario the name of the scenario
 * @param seed the seed of all random number generators
 * @param value the measured value
 * @param unit the unit of value, bound and baseline
 * @param bound the limit that the value is checked against
 * @param baseline the value measured for the baseline
 * @param baselineName the name of the baseline
 * @param ok whether the value is within the bound and no invariant was violated
 */
public record Measurement(
    String measure,
    Site site,
    String scenario,
    long seed,
    double value,
    String unit,
    double bound,
    double baseline,
    String baselineName,
    boolean ok) {}
