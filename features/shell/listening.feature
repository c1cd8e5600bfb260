Feature: A program that cannot listen on an address names that address

  Scenario Outline: The <setting> address of the <program> is in use
    Given the settings of a <program>
    And another program listens on its <setting> address
    When it is started and ends
    Then it has ended with exit code 1
    And its error output is about that address only

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
