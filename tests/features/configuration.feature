Feature: Configuration is accepted once, in force everywhere, never back

  Scenario Outline: Files change while something fails
    Given woodland-circle runs with its files in force
    And every version in force is watched
    When <fault> while files change
    Then the last change is in force on every daemon
    And no daemon went back to an older version
    And every version had one content everywhere
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

  Scenario: One team's bad file doesn't hold up another's good one
    Given woodland-circle runs with its files in force
    When team glade breaks its file and team schools changes its own at once
    Then the schools' change is in force and glade's last good file too
    And the status names glade's file, the line and the code

  Scenario: A fresh daemon isn't ready while the store can't confirm
    Given woodland-circle runs with its files in force
    When the store goes out and a daemon is killed and restarted
    Then that daemon refuses callers as not ready and the others serve
    And it is ready once the store is back

  Scenario: Serving goes on through a long outage of the store
    Given woodland-circle runs with its files in force
    When the store goes out
    Then every entry still serves requests
    And a kill of a target's daemon is survived without the store
