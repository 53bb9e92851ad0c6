Feature: An upstream that has just started receives no more work than it can handle (invariant 3)

  Background:
    Given an upstream that executes 4 requests at once
    And 10 requests for it

  Scenario: The upstream restarts and a probe detects it
    When the upstream restarts and a probe finds the new instance
    Then at most 1 request is in flight once the old requests have ended
    When 1 request is answered
    Then 2 requests are in flight

  Scenario: The upstream restarts and no probe detects it
    When all connections to the upstream are lost
    Then nothing is sent until the upstream replies to the cancellations
    When the upstream replies to the cancellations
    Then 1 request is in flight

  Scenario: The upstream becomes cold without a restart
    When the upstream sheds 3 requests
    Then no further request is sent while 1 is in flight
    When 1 request is answered
    Then 1 request is in flight

  Scenario: The dispatcher is replaced while its requests are in flight
    Given a new dispatcher of the upstream with 4 requests waiting
    Then 0 requests are in flight
    When the upstream reports 3 requests of the previous dispatcher
    Then 1 request is in flight
