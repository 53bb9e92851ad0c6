package org.catkinlift.daemon.http;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.catkinlift.daemon.EventSink;
import org.catkinlift.events.DecisionEvent;
import org.catkinlift.events.EventCode;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.RequestDescription;
import org.catkinlift.protocol.RelayHead;

/** Logs the routing decisions and the refusal of one request. */
final class RequestEvents {
  private final EventSink sink;
  private final RequestDescription request;

  RequestEvents(EventSink sink, RequestDescription request) {
    this.sink = sink;
    this.request = request;
  }

  void routed(long attempt, RelayHead head, Optional<HostDefinition> remote) {
    sink.log(
        new DecisionEvent(
            EventCode.REQUEST_ROUTED,
            ImmutableMap.of(
                DecisionEvent.REQUEST_FIELD,
                request.id().value(),
                "service",
                request.service().value(),
                "upstream",
                head.upstream().value(),
                "slot",
                Integer.toString(head.slot()),
                "epoch",
                head.epoch().toString(),
                "attempt",
                Long.toString(attempt),
                "dispatcher",
                remote.map(h -> h.id().value()).orElse("self"))));
  }

  void hedged() {
    sink.log(DecisionEvent.of(EventCode.REQUEST_HEDGED, DecisionEvent.REQUEST_FIELD, request.id()));
  }

  void retried(int attemptsMade) {
    sink.log(
        DecisionEvent.of(
            EventCode.REQUEST_RETRIED,
            DecisionEvent.REQUEST_FIELD,
            request.id(),
            "attempt",
            attemptsMade));
  }

  void refused(Outcome outcome) {
    EventCode code =
        switch (outcome) {
          case Outcome.NotRun n -> EventCode.REQUEST_REFUSED;
          case Outcome.Unknown u -> EventCode.REQUEST_UNKNOWN;
          case Outcome.Answered a ->
              throw new IllegalArgumentException("an answered request cannot be logged as refused");
        };
    sink.log(DecisionEvent.of(code, DecisionEvent.REQUEST_FIELD, request.id(), "outcome", outcome));
  }
}
