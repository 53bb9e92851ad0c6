package org.catkinlift.bench.traffic;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import org.catkinlift.bench.Measurement;
import org.catkinlift.bench.Scenario;
import org.catkinlift.bench.Site;

/** Builds a {@link Measurement} and compares its value with the bound. */
final class MeasurementBuilder {
  private final String measure;
  private final String scenario;
  private final Site site;
  private final long seed;
  private double value;
  private String unit = "";
  private double bound;
  private boolean withinBound;
  private double baseline;
  private String baselineName = "";
  private boolean invariantsHold;

  private MeasurementBuilder(String measure, String scenario, Site site, long seed) {
    this.measure = measure;
    this.scenario = scenario;
    this.site = site;
    this.seed = seed;
  }

  static MeasurementBuilder of(String measure, Scenario scenario, Site site, long seed) {
    return new MeasurementBuilder(measure, scenario.name(), site, seed);
  }

  @CanIgnoreReturnValue
  MeasurementBuilder value(double newValue, String newUnit) {
    value = newValue;
    unit = newUnit;
    return this;
  }

  /** Sets the upper bound; must be called after {@link #value}. */
  @CanIgnoreReturnValue
  MeasurementBuilder atMost(double newBound) {
    bound = newBound;
    withinBound = value <= newBound;
    return this;
  }

  /** Sets the lower bound; must be called after {@link #value}. */
  @CanIgnoreReturnValue
  MeasurementBuilder atLeast(double newBound) {
    bound = newBound;
    withinBound = value >= newBound;
    return this;
  }

  @CanIgnoreReturnValue
  MeasurementBuilder baseline(String newName, double newBaseline) {
    baselineName = newName;
    baseline = newBaseline;
    return this;
  }

  @CanIgnoreReturnValue
  MeasurementBuilder invariantsHold(boolean newInvariantsHold) {
    invariantsHold = newInvariantsHold;
    return this;
  }

  Measurement build() {
    return new Measurement(
        measure,
        site,
        scenario,
        seed,
        value,
        unit,
        bound,
        baseline,
        baselineName,
        withinBound && invariantsHold);
  }
}
