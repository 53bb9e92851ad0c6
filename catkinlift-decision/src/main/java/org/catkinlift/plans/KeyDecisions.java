package org.catkinlift.plans;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.catkinlift.events.DecisionEvent;
import org.catkinlift.events.DecisionLog;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;

/**
 * Selects and formats the recent decisions that concern one key: those about its slot, override and
 * owner, and about the coordinator role of its home cell.
 *
 * @param service the service
 * @param key the key
 * @param slot its slot
 * @param homeCell the name of the home cell of the slot
 * @param owner the current owner, if there is one
 */
record KeyDecisions(
    ServiceName service, String key, int slot, String homeCell, Optional<UpstreamId> owner) {
  /**
   * The maximum number of decisions. One slot moves only a few times within the retention period of
   * the decision log.
   */
  static final int MAX_SHOWN = 50;

  private static final Joiner.MapJoiner FIELDS = Joiner.on(", ").withKeyValueSeparator(' ');
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Returns the decisions, newest first. */
  ImmutableList<String> describe(DecisionLog log, long nowNanos) {
    return log.newestFirst(this::isRelevant, MAX_SHOWN, nowNanos).stream()
        .map(d -> format(d, nowNanos))
        .collect(toImmutableList());
  }

  private boolean isRelevant(DecisionEvent event) {
    ImmutableMap<String, String> fields = event.fields();
    return concernsPlacement(fields) || concernsOwner(fields) || concernsHomeCell(fields);
  }

  private boolean concernsPlacement(ImmutableMap<String, String> fields) {
    String unit = fields.get(DecisionEvent.UNIT_FIELD);
    return service.value().equals(fields.get(DecisionEvent.SERVICE_FIELD))
        && (DecisionEvent.slotUnit(slot).equals(unit)
            || DecisionEvent.keyUnit(key).equals(unit)
            || key.equals(fields.get(DecisionEvent.KEY_FIELD)));
  }

  private boolean concernsOwner(ImmutableMap<String, String> fields) {
    return owner.map(o -> o.value().equals(fields.get(DecisionEvent.UPSTREAM_FIELD))).orElse(false);
  }

  private boolean concernsHomeCell(ImmutableMap<String, String> fields) {
    return homeCell.equals(fields.get(DecisionEvent.CELL_FIELD));
  }

  private static String format(DecisionLog.Decision decision, long nowNanos) {
    DecisionEvent event = decision.event();
    double seconds =
        TimeUnit.NANOSECONDS.toMillis(nowNanos - decision.atNanos()) / MILLIS_PER_SECOND;
    return String.format(
        Locale.ROOT,
        "%.1f s ago: %d %s: %s",
        seconds,
        event.code().number(),
        event.code().text(),
        FIELDS.join(event.fields()));
  }
}
