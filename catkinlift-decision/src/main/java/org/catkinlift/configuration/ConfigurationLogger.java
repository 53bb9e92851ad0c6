package org.catkinlift.configuration;

import com.google.common.collect.ImmutableList;
import org.catkinlift.control.ControlAction;
import org.catkinlift.control.ControlAction.Log;
import org.catkinlift.events.DecisionEvent;
import org.catkinlift.events.EventCode;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.Versioned;

/** Logs each change of the configuration and of the platform's reachability once. */
final class ConfigurationLogger {
  private long appliedVersion;
  private boolean reachable = true;

  /** Logs the configuration in force if it is newer than the last one logged. */
  ImmutableList<ControlAction> applied(Configuration current) {
    if (current.version() <= appliedVersion) {
      return ImmutableList.of();
    }
    long before = appliedVersion;
    appliedVersion = current.version();
    return log(
        DecisionEvent.of(
            EventCode.CONFIGURATION_APPLIED, "version", current.version(), "before", before));
  }

  /** Logs an offered value if it is an older configuration than the one in force. */
  ImmutableList<ControlAction> stale(Versioned offered, Configuration current) {
    if (!(offered instanceof Configuration c) || c.version() >= current.version()) {
      return ImmutableList.of();
    }
    return log(
        DecisionEvent.of(
            EventCode.CONFIGURATION_STALE, "offered", c.version(), "present", current.version()));
  }

  ImmutableList<ControlAction> platformUnreachable() {
    if (!reachable) {
      return ImmutableList.of();
    }
    reachable = false;
    return log(DecisionEvent.of(EventCode.PLATFORM_UNREACHABLE, "call", "read"));
  }

  ImmutableList<ControlAction> platformReachable() {
    if (reachable) {
      return ImmutableList.of();
    }
    reachable = true;
    return log(DecisionEvent.of(EventCode.PLATFORM_REACHABLE, "call", "read"));
  }

  private static ImmutableList<ControlAction> log(DecisionEvent event) {
    return ImmutableList.of(new Log(event));
  }
}
