/** Safety rules that must hold in every state of the explored model. */
import { batchAt, membersOf, newestSlotOf } from './agreement-state.js';
import type { AgreementState, NodeState, PlannedProposal } from './agreement-state.js';
import { isChosen, majorities } from './agreement-steps.js';
import type { Scenario } from './agreement-steps.js';

type ChosenBatch = {
  readonly slot: number;
  readonly batch: string;
  readonly electorate: readonly string[];
  readonly answered: boolean;
};

/** The batches that a majority accepted, whether or not any node has learned of it. */
function chosenIn(state: AgreementState, scenario: Scenario): ChosenBatch[] {
  const out: ChosenBatch[] = [];
  for (const [index, proposal] of state.proposals.entries()) {
    const { slot } = scenario.proposals[index] as PlannedProposal;
    const { batch, electorate, learned } = proposal;
    if (batch !== null && isChosen(proposal)) out.push({ slot, batch, electorate, answered: learned });
  }
  return out;
}

function aliveNodes(state: AgreementState): string[] {
  const out: string[] = [];
  for (const [name, node] of Object.entries(state.nodes)) if (node.alive) out.push(name);
  return out;
}

function checkAgreement(state: AgreementState, chosen: readonly ChosenBatch[]): string | null {
  const batches = new Map<number, string>();
  for (const { slot, batch } of chosen) {
    const other = batches.get(slot);
    if (other !== undefined && other !== batch)
      return `oneBatch: ${other} and ${batch} were both chosen for slot ${slot}`;
    batches.set(slot, batch);
  }
  for (const [name, node] of Object.entries(state.nodes)) {
    for (const [slot, batch] of node.log.entries()) {
      const chosenBatch = slot === 0 ? 'founded' : batches.get(slot);
      if (chosenBatch !== batch)
        return `oneBatch: ${name} applied ${batch} to slot ${slot}, for which ${chosenBatch ?? 'nothing'} was chosen`;
    }
  }
  return null;
}

function isHeldBy(state: AgreementState, names: readonly string[], slot: number, batch: string): boolean {
  for (const name of names) if (batchAt(state.nodes[name] as NodeState, slot) === batch) return true;
  return false;
}

/** Any majority that could continue without the other members holds every batch chosen up to its slot. */
function checkDurability(state: AgreementState, chosen: readonly ChosenBatch[]): string | null {
  const alive = aliveNodes(state);
  for (const last of chosen) {
    for (const survivors of majorities(last.electorate, alive)) {
      for (const { slot, batch } of chosen) {
        if (slot > last.slot) continue;
        if (!isHeldBy(state, survivors, slot, batch))
          return `confirmedKept: no member of the majority ${survivors.join()} holds ${batch} of slot ${slot}`;
      }
    }
  }
  return null;
}

function chosenBatchOf(chosen: readonly ChosenBatch[], slot: number): string {
  for (const entry of chosen) if (entry.slot === slot) return entry.batch;
  return '';
}

/** The log of chosen batches up to a slot. */
function chosenLog(chosen: readonly ChosenBatch[], slot: number): string[] {
  const out = ['founded'];
  for (let index = 1; index <= slot; index += 1) out.push(chosenBatchOf(chosen, index));
  return out;
}

/** Whether a read at a node that knows the log up to a slot may miss a slot that a caller was already answered for. */
function mayReadStale(
  state: AgreementState,
  chosen: readonly ChosenBatch[],
  knownSlot: number,
  answeredSlot: number,
  asksOnce: boolean,
): boolean {
  const members = membersOf(chosenLog(chosen, knownSlot));
  for (const quorum of majorities(members, aliveNodes(state))) {
    let newestSlot = knownSlot;
    for (const name of quorum) newestSlot = Math.max(newestSlot, newestSlotOf(state.nodes[name] as NodeState));
    if (newestSlot >= answeredSlot) continue;
    const newMembers = membersOf(chosenLog(chosen, newestSlot));
    const asksAgain = !asksOnce && newMembers.join() !== members.join();
    if (!asksAgain || mayReadStale(state, chosen, newestSlot, answeredSlot, asksOnce)) return true;
  }
  return false;
}

function checkReads(state: AgreementState, chosen: readonly ChosenBatch[], scenario: Scenario): string | null {
  let answeredSlot = 0;
  for (const entry of chosen) if (entry.answered) answeredSlot = Math.max(answeredSlot, entry.slot);
  for (const [name, node] of Object.entries(state.nodes)) {
    if (!node.alive || !membersOf(node.log).includes(name)) continue;
    if (mayReadStale(state, chosen, node.log.length - 1, answeredSlot, scenario.broken === 'readsOnce'))
      return `staleRead: ${name} may complete a read without slot ${answeredSlot}, which a caller was answered for`;
  }
  return null;
}

/** A node that accepted a batch for a slot holds all slots before it, so that its disk alone has the complete log. */
function checkCompletePrefix(state: AgreementState): string | null {
  for (const [name, node] of Object.entries(state.nodes)) {
    if (newestSlotOf(node) > node.log.length)
      return `holdsBefore: ${name} accepted slot ${newestSlotOf(node)} but holds only ${node.log.length} slots before it`;
  }
  return null;
}

/** The first rule that a state violates, or null. */
export function brokenRule(state: AgreementState, scenario: Scenario): string | null {
  const chosen = chosenIn(state, scenario);
  return (
    checkAgreement(state, chosen) ??
    checkCompletePrefix(state) ??
    checkDurability(state, chosen) ??
    checkReads(state, chosen, scenario)
  );
}
