Feature: A caller gets the complete answer to its own request (invariant 5)

  Scenario: The answer to another request arrives on the connection
    Given request 1 was sent on connection 1
    When the answer to request 2 arrives on connection 1
    Then the answer is dropped and connection 1 is closed

  Scenario: The answer arrives after its caller gave up
    Given request 1 was sent on connection 1
    And the caller of request 1 gave up
    When the answer to request 1 arrives on connection 1
    Then the answer is dropped and connection 1 is closed

  Scenario: The answer arrives on a connection that was retired as silent
    Given request 1 was sent on connection 1
    And request 2 was sent on connection 2
    And the answer to request 2 arrived on connection 2
    And connection 1 was retired after 200 ms
    When the answer to request 1 arrives on connection 1
    Then the answer is dropped

  Scenario: Two attempts of one request are answered
    Given request 1 was hedged with attempt 2
    When attempts 2 and 1 are answered
    Then the caller gets the answer of attempt 2 only and attempt 1 is cancelled
