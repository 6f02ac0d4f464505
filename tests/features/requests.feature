Feature: Requests reach only targets able to take them

  Scenario Outline: Requests are carried while something fails
    Given woodland-circle serves a steady load of every kind
    When <fault> under load
    Then nothing was doubled, cut or untruly refused
    And callers lost at most the answers that <fault> takes with it
    And the mesh serves again

    Examples:
      | fault                                 |
      | nothing fails                         |
      | an entry is killed                    |
      | a target is killed                    |
      | a daemon is frozen past the deadlines |
      | a target accepts and closes           |
      | a target cuts its answers             |
      | a target stalls in its answers        |
      | a target's answers are crossed        |
      | a target's answers come late          |
      | a target says too much                |
      | a target doesn't frame its answers    |
      | a target sheds                        |
      | a target is slow                      |
      | a target restarts cold                |
      | a daemon stops as planned             |
      | all daemons are restarted in turn     |
      | the store is out                      |
      | answers to claims are lost            |

  Scenario: A leaving target gets no new work
    Given woodland-circle serves a steady load of every kind
    When a daemon is asked to stop while a long request runs on it
    Then the long request gets its whole answer
    And no new work reached its target from the first moment on
    And the daemon ended with exit code 0

  Scenario: A caller that hangs up cancels its request
    Given woodland-circle runs with its files in force
    When a caller hangs up during a long request
    Then the target sees the request cancelled

  Scenario: A caller asks again with its key
    Given woodland-circle runs with its files in force
    When a reservation is asked for at one entry and again at another
    Then both get the same answer and it ran once
    And asking with the key for something else is refused
    And asking while the first still runs is answered at once with when to come back

  Scenario: A caller asks again after the daemon that ran it died
    Given woodland-circle runs with its files in force
    When the daemon that runs a keyed reservation is killed meanwhile
    Then asking again is answered unknown and runs nothing

  Scenario: A rival's flood leaves room for others
    Given woodland-circle runs with its files in force
    When one team floods a service that another team uses
    Then most of the other team's requests are served
    And every refusal says that nothing ran and when to come back

  Scenario: A deadline is kept all the way down
    Given woodland-circle runs with its files in force
    When a request with a short deadline meets a slow target
    Then it is answered at its deadline as unknown
    And the target sees the request cancelled
