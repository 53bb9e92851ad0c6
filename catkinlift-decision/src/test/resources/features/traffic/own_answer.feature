Feature: A caller receives the complete response to its own request (invariant 5)

  Scenario: The response to another request arrives on the connection
    Given request 1 was sent on connection 1
    When the response to request 2 arrives on connection 1
    Then the response is dropped and connection 1 is closed

  Scenario: The response arrives after its caller has cancelled the request
    Given request 1 was sent on connection 1
    And the caller of request 1 cancelled it
    When the response to request 1 arrives on connection 1
    Then the response is dropped and connection 1 is closed

  Scenario: The response arrives on a connection that was retired as silent
    Given request 1 was sent on connection 1
    And request 2 was sent on connection 2
    And the response to request 2 arrived on connection 2
    And connection 1 was retired after 200 ms
    When the response to request 1 arrives on connection 1
    Then the response is dropped

  Scenario: Both attempts of a hedged request are answered
    Given request 1 was hedged with attempt 2
    When attempts 2 and 1 are answered
    Then the caller receives only the response of attempt 2 and attempt 1 is cancelled
