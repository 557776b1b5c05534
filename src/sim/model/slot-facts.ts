/**
 * What all nodes, in all their lives, folded into each slot and held after it.
 * One slot has one batch, chosen by a majority of the members that the slot
 * before it left; states of one slot are equal however they were come by.
 */
import { majorityOf, memberId } from '../../state/consensus/control-state.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import type { Batch, Member } from '../../state/consensus/entry.js';
import type { Fail } from './broken.js';
import { sameValue } from './same-value.js';
import type { VoteFacts } from './vote-facts.js';

export type SlotFacts = {
  /** A node folded a batch, and holds this state now. */
  readonly noteFolded: (node: string, slot: number, batch: Batch, state: ControlState) => void;
  /** A node came back with this state, read from its disk. */
  readonly noteRestored: (node: string, state: ControlState) => void;
  /** A node took this state whole from another. */
  readonly noteAdopted: (node: string, state: ControlState) => void;
  /** How many states were taken whole. */
  readonly adopted: () => number;
  readonly batchOf: (slot: number) => Batch | null;
  /** The memberships that a loss must leave a majority of; see membershipsInDoubt. */
  readonly membershipsInDoubt: (isKnown: KnownToMost) => readonly (readonly Member[])[];
  readonly count: () => number;
};

type SlotRecord = { readonly batch: Batch; readonly state: ControlState; readonly text: string };

/** Whether most of the members of a slot hold it. */
export type KnownToMost = (slot: number, members: readonly Member[]) => boolean;

/** Called once for each slot, when the first node folds it. */
export type OnFirstFold = (slot: number, state: ControlState) => void;

export function createSlotFacts(fail: Fail, votes: VoteFacts, onFirstFold: OnFirstFold): SlotFacts {
  const slots = new Map<number, SlotRecord>();
  let newest = -1;
  let adoptions = 0;

  function compareState(node: string, state: ControlState): void {
    const known = slots.get(state.slot);
    if (!known) fail('unheardState', `${node} holds a state of slot ${state.slot}, which nobody folded`);
    else if (known.text !== JSON.stringify(state) && !sameValue(known.state, state))
      fail('equalStates', `${node} holds another state at slot ${state.slot}`);
  }
  // The proposer's own vote does not pass the wire, so it is taken for granted.
  function checkMajority(slot: number, batch: Batch, members: readonly Member[]): void {
    const heard = votes.acceptedBy(slot, batch.id, members.map(memberId));
    if (heard + 1 < majorityOf(members))
      fail(
        'majority',
        `slot ${slot} was folded on ${heard} votes besides the proposer's, of ${members.length} members`,
      );
  }
  function checkFirst(slot: number, batch: Batch, state: ControlState): void {
    const before = slots.get(slot - 1);
    if (!before) {
      if (slot !== 0) fail('noGaps', `slot ${slot} was folded before slot ${slot - 1}`);
      return;
    }
    checkMajority(slot, batch, before.state.members);
    if (before.state.ledger !== state.ledger) fail('oneLineage', `slot ${slot} belongs to another ledger`);
  }

  function noteFolded(node: string, slot: number, batch: Batch, state: ControlState): void {
    const known = slots.get(slot);
    if (known) {
      if (!sameValue(known.batch, batch))
        fail('oneBatch', `${node} folded ${batch.id} into slot ${slot}, which held ${known.batch.id}`);
      compareState(node, state);
      return;
    }
    const text = JSON.stringify(state);
    const copy = JSON.parse(text) as ControlState;
    checkFirst(slot, batch, copy);
    slots.set(slot, { batch, state: copy, text });
    newest = Math.max(newest, slot);
    onFirstFold(slot, copy);
  }
  function noteRestored(node: string, state: ControlState): void {
    if (state.slot >= 0) compareState(node, state);
  }
  function noteAdopted(node: string, state: ControlState): void {
    adoptions += 1;
    compareState(node, state);
  }
  function adopted(): number {
    return adoptions;
  }
  function batchOf(slot: number): Batch | null {
    return slots.get(slot)?.batch ?? null;
  }
  /**
   * From the newest membership that anyone folded back to the newest that most of
   * its members hold. While an entry that changes the members is known to few, a
   * further loss may leave nobody who can tell that it was agreed: the repair
   * that it stands for is not done yet.
   */
  function membershipsInDoubt(isKnown: KnownToMost): readonly (readonly Member[])[] {
    const out: (readonly Member[])[] = [];
    for (let slot = newest; slot >= 0; slot -= 1) {
      const members = slots.get(slot)?.state.members ?? [];
      out.push(members);
      if (isKnown(slot, members)) break;
    }
    return out;
  }
  function count(): number {
    return slots.size;
  }
  return { noteFolded, noteRestored, noteAdopted, adopted, batchOf, membershipsInDoubt, count };
}
