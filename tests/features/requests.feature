Feature: Requests reach only targets that can serve them

  Scenario Outline: Requests are served during a fault
    Given woodland-circle serves a steady load of all request kinds
    When <fault> under load
    Then no request ran twice or got a truncated, mismatched or untrue answer
    And callers lost no answers except those that are lost because <fault>
    And all entries serve again

    Examples:
      | fault                                          |
      | nothing fails                                  |
      | an entry is killed                             |
      | a target is killed                             |
      | a daemon is frozen past the deadlines          |
      | a target closes connections without an answer  |
      | a target truncates its answers                 |
      | a target stalls in its answers                 |
      | a target answers with another request's answer |
      | a target's answers come late                   |
      | a target sends bytes after its answer          |
      | a target sends answers without a length        |
      | a target rejects requests                      |
      | a target is slow                               |
      | a target restarts cold                         |
      | a daemon stops as planned                      |
      | all daemons are restarted one after another    |
      | the store is unavailable                       |
      | answers to claims are lost                     |

  Scenario: A draining target gets no new requests
    Given woodland-circle serves a steady load of all request kinds
    When a daemon is asked to stop while a long request runs on it
    Then the long request gets its complete answer
    And no new request reached its target after the signal
    And the daemon ended with exit code 0

  Scenario: A disconnected caller cancels its request
    Given woodland-circle runs with its files in force
    When a caller disconnects during a long request
    Then the target sees the request cancelled

  Scenario: A caller retries with its idempotency key
    Given woodland-circle runs with its files in force
    When a keyed reservation is sent to one entry and again to another
    Then both get the same answer and the reservation ran once
    And a different request with the same key is refused
    And a retry while the first request runs is refused at once with a retry time

  Scenario: A caller retries after the daemon that ran the request was killed
    Given woodland-circle runs with its files in force
    When the daemon that runs a keyed reservation is killed meanwhile
    Then a retry is answered with unknown and runs nothing

  Scenario: A flood by one team leaves capacity for others
    Given woodland-circle runs with its files in force
    When one team floods a service that another team uses
    Then most of the other team's requests are served
    And every refusal says that nothing ran and when to retry

  Scenario: A deadline is propagated to the target
    Given woodland-circle runs with its files in force
    When a request with a short deadline meets a slow target
    Then the request is answered with unknown at its deadline
    And the target sees the request cancelled
