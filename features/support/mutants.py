"""Deliberate defects, each of which the tests of its table must catch."""

import contextlib
from unittest import mock

import attrs
from expression import Ok

from _coltsfootroad.control import claims
from _coltsfootroad.control import configstore
from _coltsfootroad.control import electiontimer
from _coltsfootroad.control import fences
from _coltsfootroad.control import groups
from _coltsfootroad.control import membership
from _coltsfootroad.control import messages
from _coltsfootroad.control import node
from _coltsfootroad.control import progress
from _coltsfootroad.control import raft
from _coltsfootroad.control import ready as ready_lib
from _coltsfootroad.control import replicas
from _coltsfootroad.control import shares
from _coltsfootroad.control import votermonitor
from _coltsfootroad.core import attempts
from _coltsfootroad.core import claiming
from _coltsfootroad.core import dispatcher
from _coltsfootroad.core import endpoints
from _coltsfootroad.core import entry
from _coltsfootroad.core import errors
from _coltsfootroad.core import flights
from _coltsfootroad.core import freshness
from _coltsfootroad.core import limits
from _coltsfootroad.core import releases
from _coltsfootroad.core import stream
from features.support import controlmachine

REQUEST = {}
CONTROL = {}
REPLACING = {}
REPAIRING = {}


def defect(table, owner, name):
    """Register a defect that replaces `owner.name`.

    The decorated function gets the original value and returns the defective
    one. Its name, with spaces, is the label of the defect.
    """

    def register(make):
        label = make.__name__.replace("_", " ")
        table[label] = (owner, name, make)
        return make

    return register


@contextlib.contextmanager
def injected(table, label):
    """Patch one defect in for the duration of the context."""
    owner, name, make = table[label]
    original = getattr(owner, name)
    with mock.patch.object(owner, name, make(original)):
        yield


# --- request path -----------------------------------------------------------

Entry = entry.EntryCore
Attempts = attempts.Attempts
Ran = errors.Ran


@defect(REQUEST, Attempts, "handle_failed_attempt")
def retries_a_lost_charge(original):
    def mutant(self, flight, endpoint, fault, now):
        flight.may_have_run = False
        original(self, flight, endpoint, entry.Fault.NOT_SENT, now)

    return mutant


@defect(REQUEST, attempts, "may_have_run")
def says_not_run_without_proof(_):
    return lambda flight: Ran.NO


@defect(REQUEST, stream.AnswerStream, "add")
def takes_repeated_chunks(_):
    def mutant(self, attempt, chunk):
        self.next_offset = chunk.offset + chunk.tokens
        self.complete = self.complete or chunk.final
        return [chunk]

    return mutant


@defect(REQUEST, stream.AnswerStream, "release")
def skips_gaps_in_an_answer(_):
    def mutant(self):
        ready = [self.held.pop(k) for k in sorted(self.held)]
        for chunk in ready:
            self.next_offset = chunk.offset + chunk.tokens
            self.complete = self.complete or chunk.final
        return ready

    return mutant


@defect(REQUEST, flights.FlightTable, "arm")
def forgets_timers(_):
    def mutant(self, flight, at):
        flight.timer_at = min(at, flight.request.deadline_at)

    return mutant


@defect(REQUEST, releases.Releaser, "due")
def cancels_only_once(_):
    return lambda self, find_view, now: []


@defect(REQUEST, releases.Releaser, "reconcile")
def never_reconciles_memory(_):
    return lambda self, view, report, members, now: []


@defect(REQUEST, Attempts, "release_parts")
def leaks_memory_of_failed_attempts(_):
    def mutant(self, flight, now, freed):
        flight.parts = ()
        self.core.dispatcher.release_group(flight)

    return mutant


@defect(REQUEST, dispatcher.Dispatcher, "release_group")
def never_releases_groups(_):
    def mutant(self, flight):
        flight.group = ""
        flight.group_engines = {}

    return mutant


@defect(REQUEST, freshness.Freshness, "is_current")
def never_fences_itself(_):
    return lambda self, now: self.version >= 0


@defect(REQUEST, freshness.Freshness, "confirm")
def counts_freshness_from_the_answer(original):
    def mutant(self, requested_at):
        original(self, requested_at + 2.0)

    return mutant


@defect(REQUEST, claiming, "begin")
def skips_the_claim(_):
    return lambda core, flight, now: core.enqueue(flight, now)


@defect(REQUEST, claims.ClaimTable, "settle")
def forgets_settled_claims(_):
    def mutant(self, command):
        self.claims.pop((command.workspace, command.key), None)

    return mutant


@defect(REQUEST, claims.ClaimTable, "take")
def releases_claims_of_unresponsive_holders(original):
    def mutant(self, command, retention_s, now):
        key = (command.workspace, command.key)
        claim = self.claims.get(key)
        if claim and claim.answer is None and now >= claim.until:
            del self.claims[key]
        return original(self, command, retention_s, now)

    return mutant


@defect(REQUEST, claims.ClaimTable, "take")
def ignores_the_body_of_a_resend(original):
    def mutant(self, command, retention_s, now):
        claim = self.claims.get((command.workspace, command.key))
        if claim is not None:
            command = attrs.evolve(command, body_hash=claim.body_hash)
        return original(self, command, retention_s, now)

    return mutant


@defect(REQUEST, Entry, "on_caller_gone")
def drops_charges_of_gone_callers(_):
    def mutant(self, request_id, now):
        flight = self.flights.get(request_id)
        if flight is not None:
            flight.may_have_run = False
            self.attempts.fail(flight, attempts.caller_gone(), now)
        return self.flush()

    return mutant


@defect(REQUEST, endpoints.EndpointView, "accepts")
def sends_work_to_leaving_endpoints(_):
    return property(lambda self: True)


@defect(REQUEST, shares, "LEASE_MARGIN_S")
def grants_shares_before_they_ended(_):
    return -3.0


@defect(REQUEST, shares.ShareTable, "is_learning")
def grants_shares_right_after_a_restart(_):
    return lambda self, now: False


@defect(REQUEST, limits.LimitTable, "apply")
def counts_leases_from_the_answer(original):
    def mutant(self, shares_, requested_at, now):
        original(self, shares_, now + 2.0, now)

    return mutant


@defect(REQUEST, configstore, "apply_update")
def applies_patches_to_any_version(_):
    def mutant(version, document, update):
        if update.document:
            return update.version, configstore.read_json(update.document)
        return update.base_version, document

    return mutant


@defect(REQUEST, Attempts, "end")
def forgets_to_free_limits(_):
    def mutant(self, flight, used, now):
        core = self.core
        core.dispatcher.queue(flight.request.service).remove(flight.request)
        core.flights.remove(flight)

    return mutant


@defect(REQUEST, groups.GroupLedger, "expire")
def keeps_groups_of_dead_entries(_):
    return lambda self, now: None


# --- control state -----------------------------------------------------------

Raft = raft.Raft


@defect(CONTROL, node.ControlNode, "persist")
def votes_and_terms_not_stored(original):
    def mutant(self, ready):
        ready.hard_state = None
        return original(self, ready)

    return mutant


@defect(CONTROL, node.ControlNode, "persist")
def entries_not_stored(original):
    def mutant(self, ready):
        stored = ready_lib.Ready(
            snapshot=ready.snapshot,
            snapshot_data=ready.snapshot_data,
            hard_state=ready.hard_state,
        )
        return original(self, stored)

    return mutant


@defect(CONTROL, node.ControlNode, "persist")
def truncation_not_stored(original):
    def mutant(self, ready):
        ready.truncate_from = 0
        return original(self, ready)

    return mutant


@defect(CONTROL, Raft, "advance_commit")
def commits_entries_of_old_terms(_):
    def mutant(self, now):
        matches = {i: float(p.match) for i, p in self.progress.items()}
        reached = self.replica_set.quorum_value(matches)
        if reached > self.commit:
            self.commit = int(reached)
            self.on_commit_advanced(now)

    return mutant


@defect(CONTROL, replicas, "is_majority")
def half_is_a_majority(_):
    def mutant(voters, identities):
        count = sum(1 for r in voters if r.identity in identities)
        return count >= len(voters) // 2

    return mutant


@defect(CONTROL, replicas, "majority_value")
def commits_on_the_fastest_replica(_):
    def mutant(voters, values):
        found = [values.get(r.identity, float("-inf")) for r in voters]
        return max(found, default=float("-inf"))

    return mutant


@defect(CONTROL, Raft, "has_lease")
def reads_without_a_lease(_):
    return lambda self, now: self.is_leader


@defect(CONTROL, electiontimer, "LEADER_LEASE_S")
def lease_longer_than_elections(_):
    return 8.0


@defect(CONTROL, Raft, "on_vote_request")
def votes_for_shorter_logs(original):
    def mutant(self, message, now):
        ahead = attrs.evolve(message, last_term=1 << 30)
        original(self, ahead, now)

    return mutant


@defect(CONTROL, Raft, "on_vote_request")
def votes_twice_in_a_term(original):
    def mutant(self, message, now):
        self.hard_state = attrs.evolve(self.hard_state, vote="")
        original(self, message, now)

    return mutant


@defect(CONTROL, Raft, "on_append")
def takes_entries_without_checking_what_precedes(_):
    def mutant(self, message, now):
        if message.term < self.term:
            return
        self.on_leader_contact(message.sender, now)
        for item in message.entries:
            if item.index == self.log.last_index + 1:
                self.append_entries((item,))
        match = message.prev_index + len(message.entries)
        match = min(match, self.log.last_index)
        self.commit = max(self.commit, min(message.commit, match))
        self.reply_append(message, True, match)

    return mutant


@defect(CONTROL, Raft, "become_follower")
def keeps_its_vote_into_a_new_term(_):
    def mutant(self, term, leader, now):
        if term > self.term:
            vote = self.hard_state.vote
            self.set_hard_state(ready_lib.HardState(term=term, vote=vote))
        self.role = raft.Role.FOLLOWER
        self.leader = leader
        self.progress = {}

    return mutant


@defect(CONTROL, Raft, "check_quorum")
def leads_on_without_a_quorum(_):
    def mutant(self, now):
        for found in self.progress.values():
            found.acked_at = now

    return mutant


@defect(CONTROL, Raft, "flush_appends")
def spins_on_replicas_behind_the_snapshot(_):
    def mutant(self, now):
        if self.is_leader:
            for identity in self.peer_identities():
                progress = self.progress[identity]
                if progress.next_index <= self.log.last_index:
                    self.send_append(identity, now)

    return mutant


@defect(CONTROL, Raft, "install_snapshot")
def snapshot_leaves_the_commit_behind(original):
    def mutant(self, meta, data):
        commit = self.commit
        original(self, meta, data)
        self.commit = self.applied = commit

    return mutant


@defect(CONTROL, controlmachine.Cluster, "identity")
def empty_disk_under_its_old_name(_):
    def mutant(self, replica):
        return replicas.Replica(
            name=replica.name, disk="disk", address=replica.name
        )

    return mutant


@defect(CONTROL, Raft, "new_voters_have_caught_up")
def promotes_before_catching_up(_):
    return lambda self, wanted: True


@defect(CONTROL, Raft, "change_replicas")
def changes_voters_in_one_step(original):
    def mutant(self, wanted, now):
        single = attrs.evolve(wanted, old_voters=())
        busy = self.replica_set_index() > self.commit
        if (
            not self.is_leader
            or busy
            or not self.new_voters_have_caught_up(wanted)
        ):
            return False
        self.append_as_leader(
            raft.log_lib.Entry(
                term=self.term,
                index=self.log.last_index + 1,
                kind=raft.log_lib.EntryKind.REPLICAS,
                replica_set=single,
            ),
            now,
        )
        return True

    return mutant


@defect(CONTROL, claims.ClaimTable, "drop_expired")
def forgets_claims_early(_):
    return lambda self, now: self.claims.clear()


@defect(CONTROL, claims.ClaimTable, "take")
def grants_a_claim_to_any_holder(_):
    def mutant(self, command, retention_s, now):
        return messages.ClaimAnswer(status=messages.ClaimStatus.GRANTED)

    return mutant


@defect(CONTROL, fences, "LEASE_MARGIN_S")
def lease_given_on_too_early(_):
    return -1.5


@defect(CONTROL, fences.LeaseTable, "next_fence")
def fencing_numbers_stand_still(_):
    return lambda self: 1


@defect(CONTROL, configstore.ConfigStore, "apply")
def merges_stale_patches(original):
    def mutant(self, command):
        current = attrs.evolve(command, base_version=self.version)
        return original(self, current)

    return mutant


@defect(CONTROL, configstore.ConfigStore, "patch")
def forgets_answers_to_patches(_):
    return lambda self, command: self.apply(command)


@defect(CONTROL, node.ControlNode, "apply")
def answers_before_it_is_applied(original):
    def mutant(self, item):
        if item.kind is raft.log_lib.EntryKind.COMMAND:
            self.state.configs.version += 1
        original(self, item)

    return mutant


# --- replacement of replicas -----------------------------------------------

Membership = membership.Membership


@defect(REPLACING, membership, "UNRESPONSIVE_AFTER_S")
def replaces_unresponsive_voters_late(_):
    return 8.0


@defect(REPLACING, Membership, "can_remove")
def removes_unresponsive_voters_late(original):
    def mutant(self, identity, current, reply_ages):
        late = reply_ages.get(identity, 0.0) >= membership.REMOVE_AFTER_S
        return late and original(self, identity, current, reply_ages)

    return mutant


@defect(REPLACING, membership, "REJOIN_AFTER_S")
def removed_voters_never_rejoin(_):
    return float("inf")


@defect(REPLACING, membership, "requested_set")
def removed_voters_still_count(original):
    def mutant(current, message):
        if message.action is messages.ReplicaAction.REMOVE:
            return Ok(current)
        return original(current, message)

    return mutant


@defect(REPLACING, Membership, "plan_promotion")
def learners_are_not_promoted_automatically(_):
    return lambda self, current, reply_ages, caught_up: None


# --- log repair, and a replica's view of its peers ---------------------

Progress = progress.Progress


@defect(REPAIRING, Progress, "available_bytes")
def sends_entries_while_it_probes(_):
    def mutant(self):
        bytes_in_flight = sum(batch.size for batch in self.batches)
        available = progress.WINDOW_BYTES - bytes_in_flight
        return max(0, min(progress.MESSAGE_BYTES, available))

    return property(mutant)


@defect(REPAIRING, Progress, "record_rejection")
def acts_on_every_rejection(original):
    def mutant(self, prev_index, common_index):
        original(self, prev_index, common_index)
        return True

    return mutant


@defect(REPAIRING, Progress, "record_match")
def never_leaves_the_search(original):
    def mutant(self, match, now):
        original(self, match, now)
        self.state = progress.State.PROBE

    return mutant


@defect(REPAIRING, node, "FULL_DISK_RETRY_S")
def a_full_disk_blocks_permanently(_):
    return 1e9


@defect(REPAIRING, votermonitor.VoterMonitor, "reply_ages")
def a_learner_is_unresponsive_since_the_election(_):
    def mutant(self, now):
        since = max(self.raft.leader_since, self.since)
        return {
            identity: now - max(found.acked_at, since)
            for identity, found in self.raft.progress.items()
            if identity != self.raft.identity
        }

    return mutant


@defect(REPAIRING, votermonitor.VoterMonitor, "commit_lags")
def a_voter_that_lags_counts(_):
    return lambda self, now: {}


@defect(REPAIRING, Raft, "step")
def a_refused_pre_vote_conveys_no_term(original):
    def mutant(self, message, now):
        if getattr(message, "pre", False) and hasattr(message, "granted"):
            message = attrs.evolve(message, term=min(message.term, self.term))
        original(self, message, now)

    return mutant
