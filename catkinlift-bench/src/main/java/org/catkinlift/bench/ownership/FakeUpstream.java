package org.catkinlift.bench.ownership;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.catkinlift.control.UpstreamRequest;
import org.catkinlift.control.UpstreamRequest.Reply;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.timer.TimerService;

/** An upstream that measures its grants by its own clock. */
final class FakeUpstream {
  private final UpstreamDefinition definition;
  private final TimerService timers;
  private final OwnershipChecks checks;
  private final Map<Integer, Epoch> slots = new HashMap<>();
  private double clockRate = 1;
  private int starts = 1;
  private long expiresAtMillis;
  private long finishesAtNanos;
  private Epoch newest = Epoch.NONE;
  private Optional<HostId> dispatcher = Optional.empty();
  private boolean lost;
  private boolean frozen;

  FakeUpstream(UpstreamDefinition definition, TimerService timers, OwnershipChecks checks) {
    this.definition = definition;
    this.timers = timers;
    this.checks = checks;
  }

  UpstreamDefinition definition() {
    return definition;
  }

  void setClockRate(double rate) {
    clockRate = rate;
  }

  /** Ends the process. */
  void lose() {
    lost = true;
  }

  /** Starts the process anew, without any grant. */
  void restart() {
    lost = false;
    frozen = false;
    starts++;
    slots.clear();
    newest = Epoch.NONE;
    dispatcher = Optional.empty();
  }

  void setFrozen(boolean frozen) {
    this.frozen = frozen;
  }

  void run(long nanos) {
    finishesAtNanos = timers.nowNanos() + nanos;
  }

  boolean answers() {
    return !lost && !frozen;
  }

  boolean owns(int slot) {
    return !lost && slots.containsKey(slot) && clockMillis() < expiresAtMillis;
  }

  boolean accepts(int slot, Epoch epoch, HostId from) {
    return answers()
        && owns(slot)
        && slots.get(slot).equals(epoch)
        && dispatcher.filter(from::equals).isPresent();
  }

  ImmutableMap<Integer, Epoch> slots() {
    return ImmutableMap.copyOf(slots);
  }

  private long clockMillis() {
    return (long) (timers.nowNanos() * clockRate / 1_000_000) + 1_000_000_007L * starts;
  }

  @Override
  public String toString() {
    return " lease left " + (expiresAtMillis - clockMillis()) + " ms, newest " + newest;
  }

  private String instance() {
    return definition.id() + "#" + starts;
  }

  Reply handle(UpstreamRequest request) {
    return switch (request) {
      case UpstreamRequest.Probe p -> new Reply.Probed(instance(), clockMillis(), newest);
      case UpstreamRequest.Grant g -> grant(g);
      case UpstreamRequest.Release r -> release(r);
    };
  }

  private Reply grant(UpstreamRequest.Grant grant) {
    boolean valid = grant.instance().equals(instance()) && grant.sequence().isAfter(newest);
    if (!valid) {
      return new Reply.Outdated(instance(), clockMillis(), newest);
    }
    newest = grant.sequence();
    expiresAtMillis = grant.expiresAtMillis();
    dispatcher = Optional.of(grant.dispatcher());
    slots.clear();
    slots.putAll(grant.slots());
    checks.granted(this, grant.slots().keySet());
    return new Reply.Granted(instance(), clockMillis(), newest);
  }

  private Reply release(UpstreamRequest.Release release) {
    if (!release.sequence().isAfter(newest)) {
      return new Reply.Outdated(instance(), clockMillis(), newest);
    }
    newest = release.sequence();
    if (timers.nowNanos() < finishesAtNanos) {
      return new Reply.Releasing(instance(), clockMillis(), newest);
    }
    slots.keySet().removeAll(release.slots());
    return new Reply.Released(instance(), clockMillis(), newest);
  }
}
