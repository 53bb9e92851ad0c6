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

  # Invariant 2: an acknowledged assignment survives any tolerated loss.
  Scenario: Answers to writes are lost after the writes took effect
    When the answers to the next 5 writes are lost
    And upstream "up1-0" is lost
    And 10 seconds pass
    Then no acknowledged assignment vanished
    And every key is served

  Scenario: The platform is down and a coordinator is lost
    When the platform is down
    And 8 seconds pass
    And the coordinator of "zone1" is lost
    And 10 seconds pass
    Then no acknowledged assignment vanished

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
