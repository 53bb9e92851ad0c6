package org.catkinlift.bench;

/**
 * One figure of one scenario, with its bound and the figure of a plain baseline in the same run.
 *
 * @param measure the measure of the design page
 * @param site the user's deployment
 * @param scenario the scenario
 * @param seed the seed of all random numbers
 * @param value the figure
 * @param unit the unit of value, bound and baseline
 * @param bound the stated target
 * @param baseline the figure of the baseline
 * @param baselineName what the baseline does
 * @param ok whether the figure meets the bound and no invariant was violated
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
