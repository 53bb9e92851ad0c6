Feature: Plans
  Operators state an intent, the system answers with a plan, and nothing changes until the operator
  confirms it.

  Background:
    Given three availability zones with three daemons each at configuration version 1
    And service order-desk in all availability zones

  Scenario: A plan changes nothing before it is confirmed
    When an operator on suva-01 plans "drain" to drain nadi
    Then the plan lists moves from nadi
    When 7 seconds pass
    Then all daemons have version 2
    When an operator on lautoka-02 confirms "drain"
    Then the plan is confirmed
    When 7 seconds pass
    Then all daemons have version 3
    And availability zone nadi is drained on all daemons

  Scenario: Two operators with conflicting intents
    When an operator on suva-01 plans "first" to drain nadi
    And an operator on lautoka-01 plans "second" to drain suva
    And an operator on suva-01 confirms "first"
    Then the plan is confirmed
    When an operator on lautoka-01 confirms "second"
    Then the answer is CONFLICT and contains "availability zone nadi drained"
    And the platform has accepted 3 configurations

  Scenario: The answer to a confirmation is lost and the operator repeats it
    When an operator on suva-01 plans "drain" to drain nadi
    And the answer to the next write is lost
    And an operator on suva-01 confirms "drain"
    Then the plan is confirmed
    When an operator on nadi-02 confirms "drain"
    Then the plan is confirmed
    And the platform has accepted 3 configurations

  Scenario: The platform is unreachable
    When an operator on suva-01 plans "drain" to drain nadi
    And the platform is down
    And an operator on suva-01 confirms "drain"
    Then the answer is PLATFORM_UNREACHABLE and contains "confirm it again"
    When the platform is up again
    And an operator on suva-01 confirms "drain"
    Then the plan is confirmed

  Scenario: An intent that names an unknown availability zone
    When an operator on suva-01 plans "drain" to drain labasa
    Then the answer is a refusal that contains "neither a host nor a service"
