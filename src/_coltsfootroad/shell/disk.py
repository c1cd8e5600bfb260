"""The data folder of a replica: write-ahead log, snapshots, identity.

Each batch is one record with a checksum and a number. A batch is written
only after the one before it was synced, so a damaged record with a whole
later one behind it is damage to acknowledged data and is refused, while a
damaged last record is a write that a crash cut short and is dropped.
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
MAGIC = b"CFRL"
HEADER = struct.Struct("<4sIQI")
HEADER_CRC = struct.Struct("<I")
HEADER_SIZE = HEADER.size + HEADER_CRC.size
SNAPSHOT_HEADER = struct.Struct("<4sII")
SNAPSHOT_MAGIC = b"CFRS"
IDENTITY_FILE = "identity.json"
LOCK_FILE = "lock"


class DiskError(Exception):
    """The data folder cannot be used; the message says why and what to do."""


class DataFolder(storage.Storage):
    """Keeps a replica's state in files under one folder."""

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        self.batch_number = 0
        self.sequence = 0
        self.log_file = None
        self.good_size = 0
        self.snapshot_meta = log_lib.SnapshotMeta()
        self.lock_file = None
        self.disk = ""

    def open(self) -> None:
        """Lock the folder and read or make its identity."""
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
            self.make_identity(path)
        self.read_identity(path)

    def make_identity(self, path: pathlib.Path) -> None:
        """Give a new disk its own identity."""
        if list(self.folder.glob("wal-*")):
            raise DiskError(
                f"{path} is missing but the folder holds a log; restore it"
                " from a backup or start with an empty folder"
            )
        document = {"format": FORMAT, "disk": secrets.token_hex(8)}
        self.write_atomically(path, json.dumps(document).encode())

    def read_identity(self, path: pathlib.Path) -> None:
        """Read and check the identity."""
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

    def write_atomically(self, path: pathlib.Path, *pieces: bytes) -> None:
        """Replace a file as a whole, synced with its folder."""
        temporary = path.with_suffix(path.suffix + ".tmp")
        try:
            with open(temporary, "wb") as file:
                for piece in pieces:
                    file.write(piece)
                file.flush()
                os.fsync(file.fileno())
            os.replace(temporary, path)
        except OSError:
            # On a full disk the log needs the room.
            temporary.unlink(missing_ok=True)
            raise
        self.sync_folder()

    def sync_folder(self) -> None:
        """Make renames and new files last."""
        handle = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    # --- load ------------------------------------------------------------

    def load(self):
        """Return what is stored, cutting a torn tail."""
        for leftover in self.folder.glob("*.tmp"):
            leftover.unlink()
        loaded = storage.Loaded()
        logs = sorted(self.folder.glob("wal-*.log"))
        if not logs:
            self.start_log(1, b"")
            return loaded
        path = logs[-1]
        self.sequence = int(path.stem.split("-")[1])
        payloads, good_size = read_records(path)
        self.read_snapshot_into(loaded, path)
        for number, payload in payloads:
            self.batch_number = number
            batch = msgspec.msgpack.decode(payload, type=storage.Batch)
            storage.replay(loaded, batch)
        self.open_log(path, good_size)
        for stale in logs[:-1]:
            stale.unlink()
        return loaded

    def read_snapshot_into(
        self, loaded: storage.Loaded, log_path: pathlib.Path
    ) -> None:
        """Load the snapshot that a log file follows, if any."""
        path = self.snapshot_path(self.sequence)
        if not path.exists():
            if self.sequence > 1:
                raise DiskError(f"{log_path} needs {path}, which is missing")
            return
        meta, data = read_snapshot_file(path)
        self.snapshot_meta = meta
        loaded.log.snapshot = meta
        loaded.snapshot = data

    def snapshot_path(self, sequence: int) -> pathlib.Path:
        """Return the snapshot that belongs to a log file."""
        return self.folder / f"snapshot-{sequence:08d}.bin"

    def log_path(self, sequence: int) -> pathlib.Path:
        """Return the path of a log file."""
        return self.folder / f"wal-{sequence:08d}.log"

    def start_log(self, sequence: int, content: bytes) -> None:
        """Begin a log file with some content."""
        path = self.log_path(sequence)
        self.write_atomically(path, content)
        self.sequence = sequence
        self.open_log(path, len(content))

    def open_log(self, path: pathlib.Path, good_size: int) -> None:
        """Open a log file for appending after its last whole record."""
        if self.log_file is not None:
            self.log_file.close()
        self.log_file = open(path, "r+b", buffering=0)  # noqa: SIM115
        self.log_file.truncate(good_size)
        self.log_file.seek(good_size)
        self.good_size = good_size

    # --- store -----------------------------------------------------------

    def store(self, batch):
        """Append a batch as one record and sync it."""
        record = make_record(self.batch_number + 1, encode(batch))
        try:
            write_all(self.log_file, record)
        except OSError as error:
            return self.undo_write(error)
        self.sync_log()
        self.batch_number += 1
        self.good_size += len(record)
        return Ok(None)

    def undo_write(self, error: OSError) -> Result[None, errors.Failure]:
        """Cut a record that did not fit; the disk may have room later."""
        if error.errno not in (errno.ENOSPC, errno.EDQUOT):
            raise errors.BrokenInvariantError(
                f"writing {self.log_path(self.sequence)} failed: {error}"
            )
        self.log_file.truncate(self.good_size)
        self.log_file.seek(self.good_size)
        return Error(disk_full(self.folder))

    def sync_log(self) -> None:
        """Sync the log file.

        After a failed sync nobody knows what is on the disk, and a second
        one may report success for data that was dropped; so the process
        stops and reads the file anew.
        """
        try:
            os.fdatasync(self.log_file.fileno())
        except OSError as error:
            raise errors.BrokenInvariantError(
                f"syncing {self.log_path(self.sequence)} failed: {error}"
            ) from error

    def save_snapshot(self, meta, data, hard_state, entries):
        """Write snapshot and new log; the log's rename is the commit."""
        sequence = self.sequence + 1
        batch = storage.Batch(entries=entries, hard_state=hard_state)
        record = make_record(self.batch_number + 1, encode(batch))
        body = encode(meta)
        crc = zlib.crc32(data, zlib.crc32(body))
        header = SNAPSHOT_HEADER.pack(SNAPSHOT_MAGIC, len(body), crc)
        try:
            self.write_atomically(
                self.snapshot_path(sequence), header, body, data
            )
            old = self.sequence
            self.start_log(sequence, record)
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
        """Return a piece of the newest snapshot's data."""
        if index != self.snapshot_meta.index or not index:
            return None
        with open(self.snapshot_path(self.sequence), "rb") as file:
            head = file.read(SNAPSHOT_HEADER.size)
            _, body_size, _ = SNAPSHOT_HEADER.unpack(head)
            file.seek(SNAPSHOT_HEADER.size + body_size + offset)
            return file.read(size)

    def close(self) -> None:
        """Close the files and give up the lock."""
        if self.log_file is not None:
            self.log_file.close()
        if self.lock_file is not None:
            self.lock_file.close()


def encode(value: object) -> bytes:
    """Return the stored form of a batch or meta."""
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
    """Return a record with its checksums."""
    header = HEADER.pack(MAGIC, len(payload), number, zlib.crc32(payload))
    return header + HEADER_CRC.pack(zlib.crc32(header)) + payload


def record_at(data: bytes, start: int) -> tuple[int, bytes, int] | None:
    """Return number, payload and end of a whole record, None otherwise."""
    header = data[start : start + HEADER.size]
    crc = data[start + HEADER.size : start + HEADER_SIZE]
    if len(crc) < HEADER_CRC.size:
        return None
    if HEADER_CRC.unpack(crc)[0] != zlib.crc32(header):
        return None
    magic, size, number, payload_crc = HEADER.unpack(header)
    payload = data[start + HEADER_SIZE : start + HEADER_SIZE + size]
    if magic != MAGIC or len(payload) < size:
        return None
    if zlib.crc32(payload) != payload_crc:
        return None
    return number, payload, start + HEADER_SIZE + size


def read_records(
    path: pathlib.Path,
) -> tuple[list[tuple[int, bytes]], int]:
    """Return the whole records of a log file and where they end."""
    data = path.read_bytes()
    found = []
    start = 0
    while start < len(data):
        record = record_at(data, start)
        if record is None:
            refuse_middle_damage(path, data, start)
            break
        number, payload, start = record
        found.append((number, payload))
    return found, start


def refuse_middle_damage(path: pathlib.Path, data: bytes, start: int) -> None:
    """Raise if a whole record follows the damaged one at `start`."""
    place = data.find(MAGIC, start + 1)
    while place >= 0:
        if record_at(data, place) is not None:
            raise DiskError(
                f"{path} is damaged at byte {start}, before synced data at"
                f" byte {place}; replace this replica with an empty disk"
            )
        place = data.find(MAGIC, place + 1)


def read_snapshot_file(
    path: pathlib.Path,
) -> tuple[log_lib.SnapshotMeta, bytes]:
    """Return a snapshot's meta and data, checked."""
    raw = path.read_bytes()
    if len(raw) < SNAPSHOT_HEADER.size:
        raise DiskError(f"{path} is cut short; replace this replica")
    magic, body_size, crc = SNAPSHOT_HEADER.unpack_from(raw)
    body = raw[SNAPSHOT_HEADER.size : SNAPSHOT_HEADER.size + body_size]
    data = raw[SNAPSHOT_HEADER.size + body_size :]
    if magic != SNAPSHOT_MAGIC or zlib.crc32(data, zlib.crc32(body)) != crc:
        raise DiskError(f"{path} is damaged; replace this replica")
    return msgspec.msgpack.decode(body, type=log_lib.SnapshotMeta), data
