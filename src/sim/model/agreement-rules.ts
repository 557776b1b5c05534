/** What must hold in every state of the explored model. */
import { heldAt, membersOf, topOf } from './agreement-state.js';
import type { AgreementState, NodeState, PlannedProposal } from './agreement-state.js';
import { isChosen, majorities } from './agreement-steps.js';
import type { Scenario } from './agreement-steps.js';

type Chosen = {
  readonly slot: number;
  readonly batch: string;
  readonly electorate: readonly string[];
  readonly answered: boolean;
};

/** What a majority accepted, whoever knows of it. */
function chosenIn(state: AgreementState, scenario: Scenario): Chosen[] {
  const out: Chosen[] = [];
  for (const [index, proposal] of state.proposals.entries()) {
    const { slot } = scenario.proposals[index] as PlannedProposal;
    const { batch, electorate, learned } = proposal;
    if (batch !== null && isChosen(proposal)) out.push({ slot, batch, electorate, answered: learned });
  }
  return out;
}

function alive(state: AgreementState): string[] {
  const out: string[] = [];
  for (const [name, node] of Object.entries(state.nodes)) if (node.alive) out.push(name);
  return out;
}

function checkAgreement(state: AgreementState, chosen: readonly Chosen[]): string | null {
  const batches = new Map<number, string>();
  for (const { slot, batch } of chosen) {
    const other = batches.get(slot);
    if (other !== undefined && other !== batch)
      return `oneBatch: ${other} and ${batch} were both chosen for slot ${slot}`;
    batches.set(slot, batch);
  }
  for (const [name, node] of Object.entries(state.nodes)) {
    for (const [slot, batch] of node.log.entries()) {
      const agreed = slot === 0 ? 'founded' : batches.get(slot);
      if (agreed !== batch)
        return `oneBatch: ${name} folded ${batch} into slot ${slot}, for which ${agreed ?? 'nothing'} was chosen`;
    }
  }
  return null;
}

function isHeldBy(state: AgreementState, names: readonly string[], slot: number, batch: string): boolean {
  for (const name of names) if (heldAt(state.nodes[name] as NodeState, slot) === batch) return true;
  return false;
}

/** Every majority that could go on without the others holds all that was chosen up to its slot. */
function checkKept(state: AgreementState, chosen: readonly Chosen[]): string | null {
  const there = alive(state);
  for (const newest of chosen) {
    for (const left of majorities(newest.electorate, there)) {
      for (const { slot, batch } of chosen) {
        if (slot > newest.slot) continue;
        if (!isHeldBy(state, left, slot, batch))
          return `confirmedKept: of the majority ${left.join()} nobody holds ${batch} of slot ${slot}`;
      }
    }
  }
  return null;
}

function batchChosenFor(chosen: readonly Chosen[], slot: number): string {
  for (const one of chosen) if (one.slot === slot) return one.batch;
  return '';
}

/** The log that was chosen, up to a slot. */
function chosenLog(chosen: readonly Chosen[], slot: number): string[] {
  const out = ['founded'];
  for (let at = 1; at <= slot; at += 1) out.push(batchChosenFor(chosen, at));
  return out;
}

/** Whether a read that knows the log up to a slot may end below what a caller was answered before. */
function mayReadStale(
  state: AgreementState,
  chosen: readonly Chosen[],
  at: number,
  answered: number,
  once: boolean,
): boolean {
  const members = membersOf(chosenLog(chosen, at));
  for (const asked of majorities(members, alive(state))) {
    let top = at;
    for (const name of asked) top = Math.max(top, topOf(state.nodes[name] as NodeState));
    if (top >= answered) continue;
    const now = membersOf(chosenLog(chosen, top));
    const asksAgain = !once && now.join() !== members.join();
    if (!asksAgain || mayReadStale(state, chosen, top, answered, once)) return true;
  }
  return false;
}

function checkReads(state: AgreementState, chosen: readonly Chosen[], scenario: Scenario): string | null {
  let answered = 0;
  for (const one of chosen) if (one.answered) answered = Math.max(answered, one.slot);
  for (const [name, node] of Object.entries(state.nodes)) {
    if (!node.alive || !membersOf(node.log).includes(name)) continue;
    if (mayReadStale(state, chosen, node.log.length - 1, answered, scenario.broken === 'readsOnce'))
      return `staleRead: ${name} may read without slot ${answered}, which was answered for`;
  }
  return null;
}

/** Who accepted a batch for a slot holds all slots before it: its disk alone then tells all. */
function checkHoldsBefore(state: AgreementState): string | null {
  for (const [name, node] of Object.entries(state.nodes)) {
    if (topOf(node) > node.log.length)
      return `holdsBefore: ${name} accepted slot ${topOf(node)} and holds only ${node.log.length} slots before it`;
  }
  return null;
}

/** The first rule that a state breaks, or null. */
export function brokenRule(state: AgreementState, scenario: Scenario): string | null {
  const chosen = chosenIn(state, scenario);
  return (
    checkAgreement(state, chosen) ??
    checkHoldsBefore(state) ??
    checkKept(state, chosen) ??
    checkReads(state, chosen, scenario)
  );
}
