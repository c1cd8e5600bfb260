Feature: The data folder keeps synced data and refuses corrupt data

  Scenario Outline: Damage to a data folder with 5 batches: <damage>
    Given a data folder with 5 synced batches
    When the folder is left with <damage>
    Then opening it again <outcome>

    Examples:
      | damage              | outcome                             |
      | no damage           | finds 5 batches                     |
      | a truncated tail    | finds 4 batches                     |
      | garbage at the end  | finds 5 batches                     |
      | an inverted byte    | fails with "is damaged at byte"     |
      | a missing identity  | fails with "is missing but"         |
      | a newer format      | fails with "has format 9"           |
      | a missing snapshot  | fails with "which is missing"       |

  Scenario: Two processes cannot use the same folder
    Given a data folder with 1 synced batches
    Then opening it a second time fails with "is in use"

  Scenario: A full disk refuses a batch and keeps earlier batches
    Given a data folder with 2 synced batches
    When the disk is full for one batch
    Then the batch is refused with "is full"
    And opening it again finds 2 batches

  Scenario: A snapshot that does not fit is removed, as the log needs the space
    Given a data folder with 2 synced batches
    When the disk is full while a snapshot is saved
    Then the snapshot is refused with "is full"
    And no file of the snapshot is left on the disk
    And opening it again finds 2 batches

  Scenario: A snapshot that does not fit is not retried at once
    Given a replica whose log is due for a snapshot and whose disk is full
    When it runs for 10 s
    Then it tries to save a snapshot at most 36 times
