package org.catkinlift.daemon.metrics;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.escape.Escaper;
import com.google.common.escape.Escapers;

/** Declares every metric of a daemon; {@code docs/metrics.md} lists the same ones. */
public enum MetricDefinition {
  /** Requests that ended. */
  REQUESTS(
      "catkinlift_requests_total",
      Type.COUNTER,
      "Requests that ended, by outcome and refusal code.",
      "service",
      "outcome",
      "code"),
  /** Time from the arrival of a request to the end of its answer. */
  REQUEST_SECONDS(
      "catkinlift_request_seconds",
      Type.SUMMARY,
      "Seconds from the arrival of a request to the end of its answer.",
      "service"),
  /** Requests sent again. */
  RETRIES("catkinlift_retries_total", Type.COUNTER, "Requests sent again.", "service"),
  /** Requests sent to a second upstream. */
  HEDGES("catkinlift_hedges_total", Type.COUNTER, "Requests sent to a second upstream.", "service"),
  /** Requests relayed to another daemon. */
  RELAYS("catkinlift_relays_total", Type.COUNTER, "Requests relayed to another daemon.", "service"),
  /** Requests waiting for an upstream. */
  QUEUED("catkinlift_upstream_queued", Type.GAUGE, "Requests waiting in the queue.", "upstream"),
  /** Requests that an upstream executes. */
  IN_FLIGHT(
      "catkinlift_upstream_in_flight",
      Type.GAUGE,
      "Requests sent to the upstream and not answered yet.",
      "upstream"),
  /** Whether this daemon has the authority of its cell. */
  AUTHORITY(
      "catkinlift_authority",
      Type.GAUGE,
      "1 if this daemon has the authority of its cell, else 0."),
  /** The version of the configuration in force. */
  CONFIGURATION_VERSION(
      "catkinlift_configuration_version", Type.GAUGE, "Version of the configuration in force."),
  /** The time since the configuration was last known to be the newest. */
  CONFIGURATION_AGE(
      "catkinlift_configuration_age_seconds",
      Type.GAUGE,
      "Seconds since the configuration in force was last known to be the newest."),
  /** Calls to the platform. */
  PLATFORM_CALLS(
      "catkinlift_platform_calls_total",
      Type.COUNTER,
      "Calls to the platform, by kind of call and result.",
      "call",
      "result");

  /** The type of a metric in the Prometheus text format. */
  public enum Type {
    /** Only grows while the process runs. */
    COUNTER,
    /** A present value. */
    GAUGE,
    /** Quantiles and a count. */
    SUMMARY
  }

  private static final Escaper LABEL_ESCAPER =
      Escapers.builder()
          .addEscape('\\', "\\\\")
          .addEscape('"', "\\\"")
          .addEscape('\n', "\\n")
          .build();

  private final String metricName;
  private final Type type;
  private final String help;
  private final ImmutableList<String> labels;

  MetricDefinition(String metricName, Type type, String help, String... labels) {
    this.metricName = metricName;
    this.type = type;
    this.help = help;
    this.labels = ImmutableList.copyOf(labels);
  }

  /**
   * Returns the name without labels.
   *
   * @return the name
   */
  public String metricName() {
    return metricName;
  }

  /**
   * Returns the type.
   *
   * @return the type
   */
  public Type type() {
    return type;
  }

  /**
   * Returns the help text.
   *
   * @return one sentence
   */
  public String help() {
    return help;
  }

  /**
   * Returns the names of the labels.
   *
   * @return the names, in the order in which they are printed
   */
  public ImmutableList<String> labels() {
    return labels;
  }

  /**
   * Returns the name under which one series is registered.
   *
   * @param values one value per label
   * @return the name with its labels, as the text format prints it
   */
  String seriesName(String... values) {
    checkArgument(values.length == labels.size(), "%s has labels %s", metricName, labels);
    if (labels.isEmpty()) {
      return metricName;
    }
    var name = new StringBuilder(metricName).append('{');
    for (int i = 0; i < values.length; i++) {
      name.append(i == 0 ? "" : ",")
          .append(labels.get(i))
          .append("=\"")
          .append(LABEL_ESCAPER.escape(values[i]))
          .append('"');
    }
    return name.append('}').toString();
  }
}
