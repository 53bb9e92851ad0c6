package org.catkinlift.ownership;

import com.google.common.collect.ImmutableList;
import org.catkinlift.control.DigestExchange;
import org.catkinlift.control.DigestRange;
import org.catkinlift.control.PeerMessage.Heartbeat;
import org.catkinlift.control.PeerMessage.HeartbeatAck;
import org.catkinlift.control.PeerMessage.UpstreamLoad;

/** Answers heartbeats with the versions that the coordinator of the term has not seen yet. */
final class HeartbeatAnswers {
  private final CellContext context;
  private DigestExchange exchange;
  private long term;

  HeartbeatAnswers(CellContext context) {
    this.context = context;
    this.exchange = new DigestExchange(context.store());
  }

  /**
   * Composes an answer.
   *
   * @param heartbeat a heartbeat of a term and sequence that no earlier one had
   */
  HeartbeatAck answer(Heartbeat heartbeat, ImmutableList<UpstreamLoad> loads) {
    if (heartbeat.term() != term) {
      term = heartbeat.term();
      exchange = new DigestExchange(context.store()); // sequences start anew with each term
    }
    exchange.received(term, heartbeat.sequence(), heartbeat.range());
    DigestExchange.Outgoing next = exchange.next(heartbeat.sequence());
    return new HeartbeatAck(
        heartbeat.cell(),
        term,
        heartbeat.sequence(),
        next.digest(),
        new DigestRange(context.ids().run(), next.base(), exchange.covered()),
        loads);
  }
}
