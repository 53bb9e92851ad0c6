package org.catkinlift.bench.ownership;

/** Ends faults of a world. */
final class OwnershipFaults {
  private OwnershipFaults() {}

  /** Ends all faults and starts lost daemons and upstreams anew. */
  static void healAll(OwnershipWorld world) {
    world.platform().setDown(false);
    world.platform().loseAnswers(0);
    world.network().heal();
    world.upstreams().forEach(u -> u.setFrozen(false));
    world.hosts().forEach(FakeHost::recover);
  }
}
