package org.catkinlift.daemon.metrics;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.escape.Escaper;
import com.google.common.escape.Escapers;

/** Declares the metrics of a daemon; {@code docs/metrics.md} lists the same ones. */
public enum MetricDefinition {
  /** Completed requests. */
  REQUESTS(
      "catkinlift_requests_total",
      Type.COUNTER,
      "Requests that ended, by outcome and refusal code.",
      "service",
      "outcome",
      "code"),
  /** Time from the arrival of a request to the end of its response. */
  REQUEST_SECONDS(
      "catkinlift_request_seconds",
      Type.SUMMARY,
      "Seconds from the arrival of a request to the end of its answer.",
      "service"),
  /** Retried requests. */
  RETRIES("catkinlift_retries_total", Type.COUNTER, "Requests sent again.", "service"),
  /** Hedged requests. */
  HEDGES("catkinlift_hedges_total", Type.COUNTER, "Requests sent to a second upstream.", "service"),
  /** Attempts relayed to another daemon. */
  RELAYS("catkinlift_relays_total", Type.COUNTER, "Requests relayed to another daemon.", "service"),
  /** Requests queued for an upstream. */
  QUEUED("catkinlift_upstream_queued", Type.GAUGE, "Requests waiting in the queue.", "upstream"),
  /** Requests sent to an upstream without a response yet. */
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
  /** Platform calls. */
  PLATFORM_CALLS(
      "catkinlift_platform_calls_total",
      Type.COUNTER,
      "Calls to the platform, by kind of call and result.",
      "call",
      "result");

  /** The type of a metric in the Prometheus text format. */
  public enum Type {
    /** A value that only increases while the process runs. */
    COUNTER,
    /** A current value that can go up and down. */
    GAUGE,
    /** Quantiles and a count of observations. */
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
   * Returns the metric name without labels.
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
   * Returns the label names.
   *
   * @return the label names, in output order
   */
  public ImmutableList<String> labels() {
    return labels;
  }

  /**
   * Returns the name under which a series is registered.
   *
   * @param values one value for each label
   * @return the metric name with its labels, in the text format
   */
  String seriesName(String... values) {
    checkArgument(
        values.length == labels.size(),
        "metric %s needs one value for each of its labels %s",
        metricName,
        labels);
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
