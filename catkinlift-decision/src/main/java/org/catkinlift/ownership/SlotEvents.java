package org.catkinlift.ownership;

import com.google.common.collect.ImmutableMap;
import org.catkinlift.events.DecisionEvent;
import org.catkinlift.events.EventCode;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;

/** Logs the placement decisions for the slots and hot keys of one service. */
final class SlotEvents {
  private final ServiceName service;
  private final UnitTable table;

  SlotEvents(ServiceName service, UnitTable table) {
    this.service = service;
    this.table = table;
  }

  void assigned(int unit, UpstreamId to, String reason, Outbox out) {
    out.log(
        EventCode.SLOT_ASSIGNED,
        ImmutableMap.of(
            DecisionEvent.SERVICE_FIELD,
            service.value(),
            DecisionEvent.UNIT_FIELD,
            nameOf(unit),
            "to",
            to.value(),
            "reason",
            reason));
  }

  void released(int unit, UpstreamId from, Outbox out) {
    out.log(
        EventCode.SLOT_RELEASED,
        ImmutableMap.of(
            DecisionEvent.SERVICE_FIELD,
            service.value(),
            DecisionEvent.UNIT_FIELD,
            nameOf(unit),
            "from",
            from.value()));
  }

  void overridden(String key, Outbox out) {
    log(EventCode.KEY_OVERRIDE_ADDED, key, out);
  }

  void returned(String key, Outbox out) {
    log(EventCode.KEY_OVERRIDE_REMOVED, key, out);
  }

  private void log(EventCode code, String key, Outbox out) {
    out.log(code, DecisionEvent.SERVICE_FIELD, service, DecisionEvent.KEY_FIELD, key);
  }

  private String nameOf(int unit) {
    return table
        .keyOf(unit)
        .map(DecisionEvent::keyUnit)
        .orElseGet(() -> DecisionEvent.slotUnit(unit));
  }
}
