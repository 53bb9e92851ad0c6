Feature: An at-most-once request is executed at most once (invariant 7)

  Scenario Outline: The first attempt fails and may have been executed
    Given an at-most-once request
    When its first attempt ends with <failure>
    Then it is not sent again

    Examples:
      | failure         |
      | CONNECTION_LOST |
      | ANSWER_OVERDUE  |

  Scenario Outline: The first attempt is refused and was not executed
    Given an at-most-once request
    When its first attempt is refused with <refusal>
    Then it is sent again

    Examples:
      | refusal        |
      | UPSTREAM_SHED  |
      | CONNECT_FAILED |

  Scenario Outline: The owner or the dispatcher has changed and the request was not executed
    Given an at-most-once request
    When its first attempt is refused with <refusal>
    Then it is rerouted without charge to the retry budget

    Examples:
      | refusal                |
      | STALE_EPOCH            |
      | DISPATCHER_UNREACHABLE |

  Scenario Outline: A refusal by a former dispatcher follows an attempt with unknown outcome
    Given an at-most-once request
    When its first attempt ends with CONNECTION_LOST
    And its second attempt is refused with <refusal>
    Then it is not sent again

    Examples:
      | refusal                |
      | STALE_EPOCH            |
      | DISPATCHER_UNREACHABLE |

  Scenario: A refusal follows an attempt with unknown outcome
    Given an at-most-once request
    When its first attempt ends with CONNECTION_LOST
    And its second attempt is shed
    Then it is not sent again

  Scenario: The request is slow
    Given an at-most-once request
    Then it is never hedged
