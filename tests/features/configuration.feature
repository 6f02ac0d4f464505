Feature: A version is accepted once, applied everywhere, never rolled back

  Scenario Outline: Files change during a fault
    Given woodland-circle runs with its files in force
    And the version in force of every daemon is monitored
    When <fault> while files change
    Then the last change is in force on every daemon
    And no daemon went back to an older version
    And every version had the same content on every daemon
    And no accepted version has a dangling route

    Examples:
      | fault                                        |
      | the merger is killed                         |
      | a relay is killed                            |
      | the merger and a relay are killed            |
      | the merger is frozen past its lease          |
      | every leader is frozen past its lease        |
      | the store is out for a while                 |
      | the store answers slowly                     |
      | answers to accepting a version are lost      |
      | answers to taking leases are lost            |
      | the store forgets its history                |
      | the link between the regions is cut          |
      | half of the daemons are killed and restarted |
      | all daemons are killed and restarted         |

  Scenario: One team's invalid file doesn't block another team's change
    Given woodland-circle runs with its files in force
    When team glade makes its file invalid while team schools changes its own
    Then the schools' change and glade's last valid file are in force
    And the status names glade's file, the line and the code

  Scenario: A restarted daemon isn't ready while the store is down
    Given woodland-circle runs with its files in force
    When the store goes down and a daemon is killed and restarted
    Then that daemon refuses requests as not ready and other daemons serve
    And that daemon is ready once the store is up again

  Scenario: Requests are served during a long outage of the store
    Given woodland-circle runs with its files in force
    When the store goes down
    Then every entry still serves requests
    And requests are served after a target's daemon is killed
