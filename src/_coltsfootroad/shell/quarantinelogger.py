"""Logs changes of the quarantine that a replica applies."""

from _coltsfootroad.control import node as node_lib
from _coltsfootroad.core import quarantine
from _coltsfootroad.shell import logs

LOG = logs.logger("quarantine")


class QuarantineLogger:
    """Compares the quarantine table with the one last logged."""

    def __init__(self, node: node_lib.ControlNode):
        self.node = node
        self.revision = -1
        self.logged: dict = {}

    def log_changes(self) -> None:
        """Log what has changed since the last call."""
        table = self.node.state.quarantine
        if table.revision == self.revision:
            return
        self.revision = table.revision
        for fingerprint, entry in table.entries.items():
            if self.logged.get(fingerprint) != entry:
                self.log_entry("in quarantine", entry)
        for fingerprint, entry in self.logged.items():
            if fingerprint not in table.entries:
                self.log_entry("out of quarantine", entry)
        self.logged = dict(table.entries)

    def log_entry(self, event: str, entry: quarantine.Entry) -> None:
        """Log an entry that was added, changed or removed."""
        LOG.info(
            event,
            fingerprint=entry.fingerprint.text,
            workspace=entry.fingerprint.workspace,
            reason=entry.reason,
            crashes=entry.crashes,
            endpoints=list(entry.endpoints),
            since=entry.since,
            trials=entry.trials,
            trial_at=entry.trial_at,
            leads=self.node.coordinator is not None,
        )
