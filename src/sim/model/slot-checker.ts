/**
 * Checks the batches that nodes apply to each slot, over all their incarnations,
 * and the states that follow. A slot has one batch, chosen by a majority of the
 * members as of the previous slot; the states of a slot are equal on all nodes,
 * whether they were computed, read from a disk or installed from a snapshot.
 */
import { majorityOf, memberId } from '../../state/consensus/control-state.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import type { Batch, Member } from '../../state/consensus/entry.js';
import type { ReportViolation } from './rule-violation.js';
import { isEqualJson } from './is-equal-json.js';
import type { VoteChecker } from './vote-checker.js';

/** Records the applied slots of all nodes, and reports violations. */
export type SlotChecker = {
  /** Called when a node applied a batch, with its state after it. */
  readonly recordApplied: (node: string, slot: number, batch: Batch, state: ControlState) => void;
  /** Called when a node restarted with this state, read from its disk. */
  readonly recordRestored: (node: string, state: ControlState) => void;
  /** Called when a node installed this state as a snapshot of another node. */
  readonly recordSnapshotInstalled: (node: string, state: ControlState) => void;
  /** Number of snapshots that were installed. */
  readonly adopted: () => number;
  readonly batchOf: (slot: number) => Batch | null;
  /** The memberships of which a loss must leave a majority; see the implementation below. */
  readonly unsettledMemberships: (isHeldByMajority: HeldByMajority) => readonly (readonly Member[])[];
  readonly count: () => number;
};

type SlotRecord = { readonly batch: Batch; readonly state: ControlState; readonly text: string };

/** Whether a majority of the members of a slot hold it. */
export type HeldByMajority = (slot: number, members: readonly Member[]) => boolean;

/** Called once for each slot, when the first node applies it. */
export type OnFirstApplied = (slot: number, state: ControlState) => void;

/** Creates a checker that has seen no slot yet. */
export function createSlotChecker(
  reportViolation: ReportViolation,
  votes: VoteChecker,
  onFirstApplied: OnFirstApplied,
): SlotChecker {
  const slots = new Map<number, SlotRecord>();
  let newest = -1;
  let installedSnapshots = 0;

  function compareState(node: string, state: ControlState): void {
    const expected = slots.get(state.slot);
    if (!expected)
      reportViolation('unheardState', `${node} holds a state of slot ${state.slot}, which no node applied`);
    else if (expected.text !== JSON.stringify(state) && !isEqualJson(expected.state, state))
      reportViolation('equalStates', `${node} holds a different state at slot ${state.slot}`);
  }
  // The proposer's own vote is not sent over the wire, so it is assumed.
  function checkMajority(slot: number, batch: Batch, members: readonly Member[]): void {
    const observedVotes = votes.acceptedBy(slot, batch.id, members.map(memberId));
    if (observedVotes + 1 < majorityOf(members))
      reportViolation(
        'majority',
        `slot ${slot} was applied with ${observedVotes} votes besides the proposer's, of ${members.length} members`,
      );
  }
  function checkNewSlot(slot: number, batch: Batch, state: ControlState): void {
    const previous = slots.get(slot - 1);
    if (!previous) {
      if (slot !== 0) reportViolation('noGaps', `slot ${slot} was applied before slot ${slot - 1}`);
      return;
    }
    checkMajority(slot, batch, previous.state.members);
    if (previous.state.ledger !== state.ledger) reportViolation('oneLineage', `slot ${slot} belongs to another ledger`);
  }

  function recordApplied(node: string, slot: number, batch: Batch, state: ControlState): void {
    const existing = slots.get(slot);
    if (existing) {
      if (!isEqualJson(existing.batch, batch))
        reportViolation('oneBatch', `${node} applied ${batch.id} to slot ${slot}, which held ${existing.batch.id}`);
      compareState(node, state);
      return;
    }
    const text = JSON.stringify(state);
    const copy = JSON.parse(text) as ControlState;
    checkNewSlot(slot, batch, copy);
    slots.set(slot, { batch, state: copy, text });
    newest = Math.max(newest, slot);
    onFirstApplied(slot, copy);
  }
  function recordRestored(node: string, state: ControlState): void {
    if (state.slot >= 0) compareState(node, state);
  }
  function recordSnapshotInstalled(node: string, state: ControlState): void {
    installedSnapshots += 1;
    compareState(node, state);
  }
  function adopted(): number {
    return installedSnapshots;
  }
  function batchOf(slot: number): Batch | null {
    return slots.get(slot)?.batch ?? null;
  }
  /**
   * The memberships from the newest that any node applied back to the newest that a
   * majority of its members hold. While only a minority knows of an entry that changes
   * the members, a further loss may leave no node that can prove that it was agreed:
   * the repair by this entry is not complete yet.
   */
  function unsettledMemberships(isHeldByMajority: HeldByMajority): readonly (readonly Member[])[] {
    const out: (readonly Member[])[] = [];
    for (let slot = newest; slot >= 0; slot -= 1) {
      const members = slots.get(slot)?.state.members ?? [];
      out.push(members);
      if (isHeldByMajority(slot, members)) break;
    }
    return out;
  }
  function count(): number {
    return slots.size;
  }
  return { recordApplied, recordRestored, recordSnapshotInstalled, adopted, batchOf, unsettledMemberships, count };
}
