Feature: A request refused as "not run" is never executed (invariant 6)

  Scenario: The first attempt may have been executed and the second is refused
    Given a repeatable request whose connection was lost after it was sent
    When its second attempt is shed
    Then its caller is told that the outcome is unknown

  Scenario: One attempt of a hedged request is lost and the other is refused
    Given a hedged request
    When the first attempt is lost and the second is shed
    Then its caller is told that the outcome is unknown

  Scenario: The dispatcher loses its lease
    Given a dispatcher with 1 request in flight and 2 waiting
    When another daemon becomes the dispatcher
    Then only the 2 waiting requests are refused as not run

  Scenario: The deadline passes
    Given a dispatcher with 1 request in flight and 2 waiting
    When the deadlines of all requests pass
    Then only the 2 waiting requests are refused as not run
