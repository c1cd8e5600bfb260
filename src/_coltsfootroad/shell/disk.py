"""Stores a replica's state: write-ahead log, snapshots, identity.

Each batch is one record with a checksum and a number. A batch is written
only after the previous one has been synced. So a corrupt record that is
followed by a valid one means that acknowledged data is corrupt, and the log is
refused; a corrupt last record is a write that a crash cut short, and is
dropped.
"""

import errno
import fcntl
import json
import os
import pathlib
import secrets
import struct
import zlib

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from _coltsfootroad.control import log as log_lib
from _coltsfootroad.control import storage
from _coltsfootroad.core import errors

FORMAT = 1
RECORD_MAGIC = b"CFRL"
RECORD_HEADER = struct.Struct("<4sIQI")
RECORD_HEADER_CRC = struct.Struct("<I")
RECORD_HEADER_SIZE = RECORD_HEADER.size + RECORD_HEADER_CRC.size
SNAPSHOT_HEADER = struct.Struct("<4sII")
SNAPSHOT_MAGIC = b"CFRS"
IDENTITY_FILE = "identity.json"
LOCK_FILE = "lock"


class DiskError(Exception):
    """The data folder cannot be used; the message names cause and remedy."""


class DataFolder(storage.Storage):
    """Keeps a replica's state in files under one folder."""

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        self.batch_number = 0
        self.log_sequence = 0
        self.log_file = None
        self.valid_size = 0
        self.snapshot_meta = log_lib.SnapshotMeta()
        self.lock_file = None
        self.disk = ""

    def open(self) -> None:
        """Lock the folder and read or create its identity.

        Raises:
            DiskError: Another process uses the folder, or its identity is
                missing, unreadable or of another format.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        self.lock_file = open(self.folder / LOCK_FILE, "w")  # noqa: SIM115
        try:
            fcntl.flock(self.lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            raise DiskError(
                f"data folder {self.folder} is in use by another process"
            ) from error
        path = self.folder / IDENTITY_FILE
        if not path.exists():
            self.create_identity(path)
        self.read_identity(path)

    def create_identity(self, path: pathlib.Path) -> None:
        """Store a new random identity in an empty folder."""
        if list(self.folder.glob("wal-*")):
            raise DiskError(
                f"{path} is missing but the folder holds a log; restore it"
                " from a backup or start with an empty folder"
            )
        document = {"format": FORMAT, "disk": secrets.token_hex(8)}
        self.write_atomically(path, json.dumps(document).encode())

    def read_identity(self, path: pathlib.Path) -> None:
        """Read the identity and check its format."""
        try:
            document = json.loads(path.read_bytes())
            found = document["format"]
            self.disk = document["disk"]
        except (ValueError, KeyError) as error:
            raise DiskError(f"{path} cannot be read: {error}") from error
        if found != FORMAT:
            raise DiskError(
                f"{path} has format {found}, this program reads {FORMAT}"
            )

    def write_atomically(self, path: pathlib.Path, *chunks: bytes) -> None:
        """Replace a file atomically and sync it and its folder."""
        temporary = path.with_suffix(path.suffix + ".tmp")
        try:
            with open(temporary, "wb") as file:
                for chunk in chunks:
                    file.write(chunk)
                file.flush()
                os.fsync(file.fileno())
            os.replace(temporary, path)
        except OSError:
            # On a full disk the log needs the space.
            temporary.unlink(missing_ok=True)
            raise
        self.sync_folder()

    def sync_folder(self) -> None:
        """Sync the folder, so that renames and new files survive a crash."""
        descriptor = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    # --- load ------------------------------------------------------------

    def load(self):
        """Return the stored state; a torn last record is dropped."""
        for leftover in self.folder.glob("*.tmp"):
            leftover.unlink()
        loaded = storage.Loaded()
        logs = sorted(self.folder.glob("wal-*.log"))
        if not logs:
            self.create_log(1, b"")
            return loaded
        path = logs[-1]
        self.log_sequence = int(path.stem.split("-")[1])
        payloads, valid_size = read_records(path)
        self.load_snapshot(loaded, path)
        for number, payload in payloads:
            self.batch_number = number
            batch = msgspec.msgpack.decode(payload, type=storage.Batch)
            storage.replay(loaded, batch)
        self.open_log(path, valid_size)
        for old_log in logs[:-1]:
            old_log.unlink()
        return loaded

    def load_snapshot(
        self, loaded: storage.Loaded, log_path: pathlib.Path
    ) -> None:
        """Load the snapshot on which a log file is based, if there is one."""
        path = self.snapshot_path(self.log_sequence)
        if not path.exists():
            if self.log_sequence > 1:
                raise DiskError(f"{log_path} needs {path}, which is missing")
            return
        meta, data = read_snapshot_file(path)
        self.snapshot_meta = meta
        loaded.log.snapshot = meta
        loaded.snapshot = data

    def snapshot_path(self, sequence: int) -> pathlib.Path:
        """Return the path of the snapshot on which a log file is based."""
        return self.folder / f"snapshot-{sequence:08d}.bin"

    def log_path(self, sequence: int) -> pathlib.Path:
        """Return the path of a log file."""
        return self.folder / f"wal-{sequence:08d}.log"

    def create_log(self, sequence: int, content: bytes) -> None:
        """Create a log file with initial content and open it."""
        path = self.log_path(sequence)
        self.write_atomically(path, content)
        self.log_sequence = sequence
        self.open_log(path, len(content))

    def open_log(self, path: pathlib.Path, valid_size: int) -> None:
        """Open a log file for appending after its last valid record."""
        if self.log_file is not None:
            self.log_file.close()
        self.log_file = open(path, "r+b", buffering=0)  # noqa: SIM115
        self.log_file.truncate(valid_size)
        self.log_file.seek(valid_size)
        self.valid_size = valid_size

    # --- store -----------------------------------------------------------

    def store(self, batch):
        """Append a batch as one record and sync it.

        Raises:
            BrokenInvariantError: A write failed for another reason than a full
                disk, or a sync failed.
        """
        record = make_record(self.batch_number + 1, encode(batch))
        try:
            write_all(self.log_file, record)
        except OSError as error:
            return self.truncate_failed_write(error)
        self.sync_log()
        self.batch_number += 1
        self.valid_size += len(record)
        return Ok(None)

    def truncate_failed_write(
        self, error: OSError
    ) -> Result[None, errors.Failure]:
        """Truncate a record that did not fit; the disk may have space later."""
        if error.errno not in (errno.ENOSPC, errno.EDQUOT):
            raise errors.BrokenInvariantError(
                f"writing {self.log_path(self.log_sequence)} failed: {error}"
            )
        self.log_file.truncate(self.valid_size)
        self.log_file.seek(self.valid_size)
        return Error(disk_full(self.folder))

    def sync_log(self) -> None:
        """Sync the log file.

        After a failed sync the content of the disk is unknown, and a second
        sync may report success for pages that the kernel has dropped. So the
        process stops; after a restart it reads the file again.
        """
        try:
            os.fdatasync(self.log_file.fileno())
        except OSError as error:
            raise errors.BrokenInvariantError(
                f"syncing {self.log_path(self.log_sequence)} failed: {error}"
            ) from error

    def save_snapshot(self, meta, data, hard_state, entries):
        """Write a snapshot and a new log; renaming the log commits both."""
        sequence = self.log_sequence + 1
        batch = storage.Batch(entries=entries, hard_state=hard_state)
        record = make_record(self.batch_number + 1, encode(batch))
        body = encode(meta)
        crc = zlib.crc32(data, zlib.crc32(body))
        header = SNAPSHOT_HEADER.pack(SNAPSHOT_MAGIC, len(body), crc)
        try:
            self.write_atomically(
                self.snapshot_path(sequence), header, body, data
            )
            old = self.log_sequence
            self.create_log(sequence, record)
        except OSError as error:
            if error.errno not in (errno.ENOSPC, errno.EDQUOT):
                raise
            self.snapshot_path(sequence).unlink(missing_ok=True)
            return Error(disk_full(self.folder))
        self.batch_number += 1
        self.snapshot_meta = meta
        self.log_path(old).unlink(missing_ok=True)
        self.snapshot_path(old).unlink(missing_ok=True)
        return Ok(None)

    def read(self, index, offset, size):
        """Return a chunk of the newest snapshot's data.

        None if the newest snapshot is of another index.
        """
        if index != self.snapshot_meta.index or not index:
            return None
        with open(self.snapshot_path(self.log_sequence), "rb") as file:
            head = file.read(SNAPSHOT_HEADER.size)
            _, body_size, _ = SNAPSHOT_HEADER.unpack(head)
            file.seek(SNAPSHOT_HEADER.size + body_size + offset)
            return file.read(size)

    def close(self) -> None:
        """Close the files and release the lock."""
        if self.log_file is not None:
            self.log_file.close()
        if self.lock_file is not None:
            self.lock_file.close()


def encode(value: object) -> bytes:
    """Encode a batch or the metadata of a snapshot."""
    return msgspec.msgpack.encode(value)


def disk_full(folder: pathlib.Path) -> errors.Failure:
    """Return the failure of a write that did not fit."""
    return errors.Failure(
        errors.ErrorCode.UNAVAILABLE, f"disk of {folder} is full"
    )


def write_all(file, data: bytes) -> None:
    """Write all of the data to an unbuffered file."""
    view = memoryview(data)
    while view:
        view = view[file.write(view) :]


def make_record(number: int, payload: bytes) -> bytes:
    """Return a record with its header and checksums."""
    header = RECORD_HEADER.pack(
        RECORD_MAGIC, len(payload), number, zlib.crc32(payload)
    )
    return header + RECORD_HEADER_CRC.pack(zlib.crc32(header)) + payload


def record_at(data: bytes, start: int) -> tuple[int, bytes, int] | None:
    """Return number, payload and end of a valid record, None otherwise."""
    header = data[start : start + RECORD_HEADER.size]
    crc = data[start + RECORD_HEADER.size : start + RECORD_HEADER_SIZE]
    if len(crc) < RECORD_HEADER_CRC.size:
        return None
    if RECORD_HEADER_CRC.unpack(crc)[0] != zlib.crc32(header):
        return None
    magic, size, number, payload_crc = RECORD_HEADER.unpack(header)
    payload = data[
        start + RECORD_HEADER_SIZE : start + RECORD_HEADER_SIZE + size
    ]
    if magic != RECORD_MAGIC or len(payload) < size:
        return None
    if zlib.crc32(payload) != payload_crc:
        return None
    return number, payload, start + RECORD_HEADER_SIZE + size


def read_records(
    path: pathlib.Path,
) -> tuple[list[tuple[int, bytes]], int]:
    """Return the valid records of a log file and the offset of their end."""
    data = path.read_bytes()
    records = []
    start = 0
    while start < len(data):
        record = record_at(data, start)
        if record is None:
            refuse_corrupt_middle(path, data, start)
            break
        number, payload, start = record
        records.append((number, payload))
    return records, start


def refuse_corrupt_middle(path: pathlib.Path, data: bytes, start: int) -> None:
    """Raise `DiskError` if a valid record follows the one at `start`."""
    offset = data.find(RECORD_MAGIC, start + 1)
    while offset >= 0:
        if record_at(data, offset) is not None:
            raise DiskError(
                f"{path} is damaged at byte {start}, before synced data at"
                f" byte {offset}; replace this replica with an empty disk"
            )
        offset = data.find(RECORD_MAGIC, offset + 1)


def read_snapshot_file(
    path: pathlib.Path,
) -> tuple[log_lib.SnapshotMeta, bytes]:
    """Return the metadata and data of a snapshot, checked for corruption."""
    raw = path.read_bytes()
    if len(raw) < SNAPSHOT_HEADER.size:
        raise DiskError(f"{path} is cut short; replace this replica")
    magic, body_size, crc = SNAPSHOT_HEADER.unpack_from(raw)
    body = raw[SNAPSHOT_HEADER.size : SNAPSHOT_HEADER.size + body_size]
    data = raw[SNAPSHOT_HEADER.size + body_size :]
    if magic != SNAPSHOT_MAGIC or zlib.crc32(data, zlib.crc32(body)) != crc:
        raise DiskError(f"{path} is damaged; replace this replica")
    return msgspec.msgpack.decode(body, type=log_lib.SnapshotMeta), data
