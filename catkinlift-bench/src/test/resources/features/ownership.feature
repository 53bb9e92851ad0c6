Feature: Ownership invariants

  Background:
    Given three zones with three hosts and three upstreams each, in service

  # Invariant 1: a key has at most one owner at any time.
  Scenario: An upstream freezes and resumes as if nothing had happened
    When upstream "up1-0" freezes for 5 seconds
    And 10 seconds pass
    Then no key ever had two owners
    And every key is served

  Scenario: A coordinator is paused and wakes after its authority has expired
    When the coordinator of "zone1" is paused for 5 seconds
    And 10 seconds pass
    Then no key ever had two owners
    And every key is served

  Scenario: Grants are delayed by more than their lease
    When messages to "up1-0" are delayed by 3 seconds for 10 seconds
    And 10 seconds pass
    Then no key ever had two owners
    And every key is served

  Scenario: The coordinator and an upstream are cut off together
    When the coordinator of "zone1" and upstream "up1-0" are cut off for 8 seconds
    And 10 seconds pass
    Then no key ever had two owners
    And every key is served

  Scenario: Answers to the coordinator are delayed before it is cut off
    When messages to the coordinator of "zone1" are delayed by 700 ms for 3 seconds
    And the coordinator of "zone1" is cut off for 5 seconds
    And 10 seconds pass
    Then no key ever had two owners

  Scenario: A dispatcher retires while it is cut off, and upstreams check no grants
    Given the upstreams check no grants
    When a dispatcher of "zone1" that does not coordinate is cut off and retires
    And 10 seconds pass
    Then no key ever had two owners

  Scenario: Heartbeats to a dispatcher are delayed before it is cut off, and upstreams check no grants
    Given the upstreams check no grants
    When messages to a dispatcher of "zone1" are delayed by 700 ms for 3 seconds
    And that dispatcher is cut off for 5 seconds
    And 10 seconds pass
    Then no key ever had two owners

  Scenario: Short promise requests arrive after the long ones of an outage
    When messages to the voters of "zone1" are delayed by 3000 ms
    And the platform is down
    And 2500 ms pass
    And delays end
    And 300 ms pass
    And the coordinator of "zone1" is paused
    And 4 seconds pass
    And the platform is up again
    And 6 seconds pass
    Then no key ever had two owners

  # Invariant 2: an acknowledged assignment survives any tolerated loss.
  Scenario: Answers to writes are lost after the writes took effect
    When the answers to the next 5 writes are lost
    And upstream "up1-0" is lost
    And 10 seconds pass
    Then no acknowledged assignment vanished
    And every key of other upstreams than "up1-0" has kept its owner
    And every key is served

  Scenario: The platform is down and a coordinator is lost
    When the platform is down
    And 8 seconds pass
    And the coordinator of "zone1" is lost
    And 10 seconds pass
    Then no acknowledged assignment vanished

  Scenario: The platform returns after an outage in which a coordinator was lost
    When upstream "up1-0" freezes for 5 seconds
    And 10 seconds pass
    And the owners are noted
    And the platform is down
    And 1 seconds pass
    And the coordinator of "zone1" is lost
    And 3 seconds pass
    And the platform is up again
    And 10 seconds pass
    Then no acknowledged assignment vanished
    And every key of other upstreams than "none" has kept its owner
    And every key is served

  # Invariant 4: an availability zone that was taken out gets no new work after 5 s.
  Scenario: A zone is drained while answers to writes are lost
    When the answers to the next 3 writes are lost
    And "zone1" is drained
    And 5 seconds pass
    Then no upstream of "zone1" owns a key
    And every key is served

  # Invariant 8: an upstream that is leaving gets no new work after 5 s.
  Scenario: An upstream retires while its coordinator is lost
    When upstream "up1-0" retires
    And the coordinator of "zone1" is lost
    And 5 seconds pass
    Then upstream "up1-0" owns no key
    And every key is served

  # Invariant 9: every planned stop is graceful and interrupts no request.
  Scenario: A coordinator stops by plan
    When the coordinator of "zone1" is asked to stop
    Then no key waits for more than 1 second during 10 seconds
    And the stopped daemon has handed over its duties

  Scenario: An upstream retires while a request runs
    When upstream "up1-0" runs a request for 3 seconds
    And upstream "up1-0" retires
    And 2 seconds pass
    Then no other upstream owns a key of "up1-0"
    And 5 seconds pass
    And every key is served
