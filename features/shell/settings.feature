Feature: Settings are validated when a program starts

  Scenario Outline: The error message names <fault>
    Given entry settings with <key> set to <value>
    When they are loaded
    Then the error message contains "<words>"

    Examples:
      | fault             | key           | value       | words                              |
      | an address        | listen        | "here"      | listen is 'here', must be ip:port  |
      | a number as text  | max_connections | "many"    | 'many' is not of type int          |
      | a short secret    | admin_token   | "x"         | admin_token is shorter than 8      |
      | an unknown key    | colour        | 1           | colour                             |
      | a bad name        | entry         | "a/b"       | entry is 'a/b'                     |
      | a negative size   | memory_mb     | -1          | must be >= 0: -1                   |
      | a negative limit  | max_client_connections | -1 | must be >= 0: -1                   |
      | a negative limit  | max_peer_connections | -1   | must be >= 0: -1                   |
      | a share above 1   | held_memory_share | 1.5     | must be above 0 and at most 1      |
      | a time-out of 0   | body_timeout_s | 0          | body_timeout_s is 0                |

  Scenario Outline: The program <program> reports a usage error and exits with 2
    When the program <program> starts with flags <flags>
    Then it exits with 2 and its standard error contains "<words>"

    Examples:
      | program | flags              | words                 |
      | entry   | --settings=nowhere | cannot be read        |
      | entry   | --colour=red       | colour                |
      | control | --noversion        | --settings is missing |
      | ctl     | --noversion        | usage: colts-ctl      |
      | replay  | nowhere            | cannot be read        |
      | replay  | x --policy=best    | 'best' is not one of  |
