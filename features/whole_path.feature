Feature: The whole path, in separate processes

  Scenario: A caller looks up the addresses and gets a complete response
    Given a running fleet of 1 replicas, 2 entries and 2 engines
    When a caller requests the addresses from "entry-0"
    Then 2 addresses are returned, each an entry's
    When a caller requests 5 tokens from "entry-1"
    Then the response is complete with 5 tokens

  Scenario: An accepted patch takes effect, a stale patch is refused
    Given a running fleet of 1 replicas, 2 entries and 1 engines
    When an operator patches version 1 to allow 4 tokens as "p1"
    Then the exit code is 0
    When an operator patches version 1 to allow 9 tokens as "p2"
    Then the exit code is 3
    When an operator patches version 1 to allow 4 tokens as "p1"
    Then the exit code is 0
    And every entry applies version 2
    When a caller requests 8 tokens from "entry-0"
    Then the request is refused with "bad_request" and ran "no"

  Scenario: A non-idempotent call through two entries runs once
    Given a running fleet of 1 replicas, 2 entries and 1 engines
    When a charge with a fresh key goes through "entry-0" and "entry-1"
    Then both responses are the same and report 1 run
    When the same key is sent with another body through "entry-1"
    Then the request is refused with "key_reused" and ran "no"

  Scenario: SIGTERM drains an entry without cutting off a request
    Given a running fleet of 1 replicas, 2 entries and 1 engines
    When "entry-1" gets SIGTERM while it serves a long prompt
    Then the long prompt has a complete response and the exit code is 0
    And "entry-0" returns only its own address within seconds

  Scenario: An operator drains an entry
    Given a running fleet of 1 replicas, 2 entries and 1 engines
    When an operator drains "entry-1"
    Then the exit code is 0
    And "entry-1" exits with code 0
    And "entry-0" returns only its own address within seconds

  Scenario Outline: An operator's <mistake> gets a clear answer
    Given a running fleet of 1 replicas, 1 entries and 1 engines
    When an operator runs "<words>"
    Then the exit code is <code> and stderr has "<text>"

    Examples:
      | mistake          | words                        | code | text               |
      | unknown command  | fly                          | 2    | unknown command    |
      | missing base     | config patch -               | 2    | needs --base       |
      | unknown replica  | replica remove x#y           | 1    | is not known       |
      | dead address     | dump 127.0.0.1:9             | 4    | does not answer    |
      | short digest     | quarantine add acme 4 00 odd | 1    | 32 lower-case hex  |
      | no length        | quarantine add acme x 00 odd | 2    | must be a number   |
      | unknown digest   | quarantine remove 00         | 1    | is in quarantine   |
      | no verb          | quarantine                   | 2    | unknown quarantine |

  Scenario: An operator lists, adds and removes requests in quarantine
    Given a running fleet of 1 replicas, 1 entries and 1 engines
    When an operator runs "quarantine list"
    Then the exit code is 0 and stdout has "none"
    When an operator runs "quarantine add acme 4 00112233445566778899aabbccddeeff odd"
    Then the exit code is 0 and stdout has "is in quarantine"
    When an operator runs "quarantine list"
    Then the exit code is 0 and stdout has "of workspace 'acme', 4 bytes: odd"
    When an operator runs "quarantine remove 00112233445566778899aabbccddeeff"
    Then the exit code is 0 and stdout has "is out of quarantine"
    When an operator runs "quarantine list"
    Then the exit code is 0 and stdout has "none"

  Scenario: A killed leader is replaced and the configuration kept
    Given a running fleet of 3 replicas, 2 entries and 1 engines
    When the leader is killed
    Then another replica leads
    And an operator can patch version 1
    When a caller requests 3 tokens from "entry-0"
    Then the response is complete with 3 tokens
