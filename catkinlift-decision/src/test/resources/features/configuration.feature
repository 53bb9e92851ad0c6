Feature: Accepted configurations (invariant 10)
  An accepted configuration is in force everywhere within 7 seconds and never reverts.

  Background:
    Given three availability zones with three daemons each at configuration version 1

  Scenario: A change reaches all daemons
    When version 2 is written to the platform
    And 7 seconds pass
    Then all daemons have version 2

  Scenario: An availability zone that was cut off does not bring back an older version
    When availability zone lautoka is cut off
    And version 2 is written to the platform
    And 7 seconds pass
    And the platform is down
    And availability zone lautoka is connected again
    And 7 seconds pass
    Then all daemons have version 2
    And no daemon went back to an older version

  Scenario: A coordinator that was paused does not bring back an older version
    When daemon nadi-01 is paused
    And version 2 is written to the platform
    And 7 seconds pass
    And daemon nadi-01 resumes
    And 7 seconds pass
    Then all daemons have version 2
    And no daemon went back to an older version

  Scenario: An answer with an older version is overtaken by a newer version
    When version 2 is written to the platform
    And 7 seconds pass
    And an answer of nadi-02 with version 1 reaches suva-01 late
    Then all daemons have version 2
    And no daemon went back to an older version

  Scenario: A daemon that starts during an outage pulls the configuration from its peers
    When version 2 is written to the platform
    And 7 seconds pass
    And the platform is down
    And daemon 4 of nadi starts
    And 7 seconds pass
    Then all daemons have version 2
    And no daemon went back to an older version
