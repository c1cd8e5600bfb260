Feature: A program that cannot listen says at which address

  Scenario Outline: <program>'s <setting> is in use
    Given the settings of a <program>
    And another program listens at its <setting>
    When it is started and ends
    Then it has ended with exit code 1
    And it complains of that address and of nothing else

    Examples:
      | program | setting          |
      | gateway | listen           |
      | gateway | ready_listen     |
      | gateway | directory_listen |
      | gateway | peer_listen      |
      | replica | listen           |
      | replica | admin_listen     |
      | relay   | listen           |
      | relay   | admin_listen     |
      | entry   | listen           |
      | entry   | peer_listen      |
