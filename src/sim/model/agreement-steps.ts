/**
 * The transitions of the explored model: a proposal starts, a message is
 * delivered to an acceptor, a proposer proceeds, a node catches up with another,
 * a disk is lost, a process crashes. The rules that ledger.ts and round.ts apply
 * around the acceptors (who may vote, which batch a proposer must propose) are
 * restated here, so that a defect can violate them on purpose.
 */
import { compareBallots } from '../../state/consensus/ballot.js';
import type { Ballot } from '../../state/consensus/ballot.js';
import type { AcceptedBatch, SlotState } from '../../state/consensus/acceptor.js';
import { acceptanceOf, MACHINES, membersOf, promiseOf, withLog, withNode, withProposal } from './agreement-state.js';
import type { AgreementState, NodeState, PlannedProposal, ProposalState } from './agreement-state.js';

/** A deliberate defect of the protocol, which the rules must detect. */
export type ProtocolDefect =
  /** An acceptor votes on a slot although it lacks earlier slots. */
  | 'votesBeforeLearning'
  /** A machine whose disk was lost continues under its old identity. */
  | 'countsOldIdentity'
  /** An acceptor accepts every batch, regardless of its promises. */
  | 'acceptsWithoutPromise'
  /** A promise is not persisted before a crash. */
  | 'forgetsPromise'
  /** A proposer proposes its own batch even if a promise reports an accepted one. */
  | 'ignoresAccepted'
  /** A read does not ask the new members when it learns that the membership changed. */
  | 'readsOnce';

/** The proposals, losses and crashes that an exploration may use, and the defect, if any. */
export type Scenario = {
  readonly proposals: readonly PlannedProposal[];
  readonly losses: number;
  readonly crashes: number;
  readonly broken: ProtocolDefect | null;
};

/** A state that follows from another, and a description of the step. */
export type Successor = { readonly step: string; readonly state: AgreementState };

function ballotOf(planned: PlannedProposal): Ballot {
  return { round: planned.round, by: planned.by };
}

function nodeOf(state: AgreementState, name: string): NodeState {
  return state.nodes[name] as NodeState;
}

function mayVote(node: NodeState, name: string, slot: number, scenario: Scenario): boolean {
  if (!node.alive) return false;
  if (scenario.broken === 'votesBeforeLearning') return slot >= node.log.length;
  return slot === node.log.length && membersOf(node.log).includes(name);
}

function startSteps(state: AgreementState, index: number, scenario: Scenario): Successor[] {
  const planned = scenario.proposals[index] as PlannedProposal;
  const proposal = state.proposals[index] as ProposalState;
  const node = nodeOf(state, planned.by);
  const members = membersOf(node.log);
  if (proposal.electorate.length > 0 || !node.alive || node.log.length !== planned.slot) return [];
  if (!members.includes(planned.by)) return [];
  return [
    {
      step: `${planned.by} proposes ${planned.batch} for slot ${planned.slot}, round ${planned.round}`,
      state: withProposal(state, index, { ...proposal, electorate: members }),
    },
  ];
}

function prepareSteps(state: AgreementState, index: number, scenario: Scenario): Successor[] {
  const planned = scenario.proposals[index] as PlannedProposal;
  const proposal = state.proposals[index] as ProposalState;
  const out: Successor[] = [];
  for (const name of proposal.electorate) {
    const node = nodeOf(state, name);
    if (proposal.promises[name] !== undefined || !mayVote(node, name, planned.slot, scenario)) continue;
    const promised = promiseOf(node, planned.slot, ballotOf(planned));
    if (!promised) continue;
    const promises = { ...proposal.promises, [name]: promised.accepted };
    const next = withProposal(withNode(state, name, promised.node), index, { ...proposal, promises });
    out.push({ step: `${name} promises round ${planned.round} of slot ${planned.slot}`, state: next });
  }
  return out;
}

/** All minimal majorities of an electorate that consist of the given members. */
export function majorities(electorate: readonly string[], from: readonly string[]): string[][] {
  const quorumSize = Math.floor(electorate.length / 2) + 1;
  let subsets: string[][] = [[]];
  for (const name of from) {
    if (!electorate.includes(name)) continue;
    const extended: string[][] = [];
    for (const subset of subsets) extended.push([...subset, name]);
    subsets = [...subsets, ...extended];
  }
  const out: string[][] = [];
  for (const subset of subsets) if (subset.length === quorumSize) out.push(subset);
  return out;
}

function batchFor(planned: PlannedProposal, promises: readonly (AcceptedBatch | null)[], scenario: Scenario): string {
  let highest: AcceptedBatch | null = null;
  for (const accepted of promises)
    if (accepted && (!highest || compareBallots(accepted.ballot, highest.ballot) > 0)) highest = accepted;
  return highest && scenario.broken !== 'ignoresAccepted' ? highest.batch.id : planned.batch;
}

function voteSteps(state: AgreementState, index: number, scenario: Scenario): Successor[] {
  const planned = scenario.proposals[index] as PlannedProposal;
  const proposal = state.proposals[index] as ProposalState;
  if (proposal.batch !== null || !nodeOf(state, planned.by).alive) return [];
  const batches = new Set<string>();
  for (const promisers of majorities(proposal.electorate, Object.keys(proposal.promises))) {
    const reported: (AcceptedBatch | null)[] = [];
    for (const name of promisers) reported.push(proposal.promises[name] ?? null);
    batches.add(batchFor(planned, reported, scenario));
  }
  const out: Successor[] = [];
  for (const batch of batches)
    out.push({
      step: `${planned.by} requests votes for ${batch}, round ${planned.round}`,
      state: withProposal(state, index, { ...proposal, batch }),
    });
  return out;
}

/** The node without its acceptor state of the slot, for the defect `acceptsWithoutPromise`. */
function withoutSlotState(node: NodeState, slot: number): NodeState {
  const slots: (readonly [number, SlotState])[] = [];
  for (const entry of node.slots) if (entry[0] !== slot) slots.push(entry);
  return { ...node, slots };
}

function acceptSteps(state: AgreementState, index: number, scenario: Scenario): Successor[] {
  const planned = scenario.proposals[index] as PlannedProposal;
  const proposal = state.proposals[index] as ProposalState;
  const out: Successor[] = [];
  if (proposal.batch === null) return out;
  for (const name of proposal.electorate) {
    const node = nodeOf(state, name);
    if (proposal.acceptedBy.includes(name) || !mayVote(node, name, planned.slot, scenario)) continue;
    const acceptor = scenario.broken === 'acceptsWithoutPromise' ? withoutSlotState(node, planned.slot) : node;
    const accepted = acceptanceOf(acceptor, planned.slot, ballotOf(planned), proposal.batch);
    if (!accepted) continue;
    const acceptedBy = [...proposal.acceptedBy, name].sort();
    const next = withProposal(withNode(state, name, accepted), index, { ...proposal, acceptedBy });
    out.push({
      step: `${name} accepts ${proposal.batch} for slot ${planned.slot}, round ${planned.round}`,
      state: next,
    });
  }
  return out;
}

/** Whether a majority of the electorate accepted the batch. */
export function isChosen(proposal: ProposalState): boolean {
  return proposal.electorate.length > 0 && 2 * proposal.acceptedBy.length > proposal.electorate.length;
}

function learnSteps(state: AgreementState, index: number, scenario: Scenario): Successor[] {
  const planned = scenario.proposals[index] as PlannedProposal;
  const proposal = state.proposals[index] as ProposalState;
  const node = nodeOf(state, planned.by);
  if (proposal.batch === null || proposal.learned || !isChosen(proposal)) return [];
  if (!node.alive || node.log.length !== planned.slot) return [];
  const learned = withProposal(state, index, { ...proposal, learned: true });
  return [
    {
      step: `${planned.by} learns that ${proposal.batch} was chosen for slot ${planned.slot}`,
      state: withNode(learned, planned.by, withLog(node, [...node.log, proposal.batch])),
    },
  ];
}

/** A node copies the next slot of another node, or its complete log if it has none itself. */
function catchUpSteps(state: AgreementState): Successor[] {
  const out: Successor[] = [];
  for (const name of MACHINES) {
    const node = nodeOf(state, name);
    for (const from of MACHINES) {
      const other = nodeOf(state, from);
      if (!node.alive || !other.alive || other.log.length <= node.log.length) continue;
      const log = node.log.length === 0 ? other.log : other.log.slice(0, node.log.length + 1);
      out.push({ step: `${name} catches up with ${from}`, state: withNode(state, name, withLog(node, log)) });
    }
  }
  return out;
}

function lossSteps(state: AgreementState, scenario: Scenario): Successor[] {
  if (state.lossesLeft === 0) return [];
  const alive = scenario.broken === 'countsOldIdentity';
  const afterLoss = withNode(state, 'a', { alive, log: [], slots: [] });
  return [{ step: 'a loses its disk', state: { ...afterLoss, lossesLeft: state.lossesLeft - 1 } }];
}

function withoutPromise([slot, slotState]: readonly [number, SlotState]): readonly [number, SlotState] {
  return [slot, { ...slotState, promised: slotState.accepted?.ballot ?? { round: 0, by: '' } }];
}

/** A crash loses nothing, since a node syncs before it answers; the defect `forgetsPromise` lets it lose promises. */
function crashSteps(state: AgreementState, scenario: Scenario): Successor[] {
  if (state.crashesLeft === 0 || scenario.broken !== 'forgetsPromise') return [];
  const out: Successor[] = [];
  for (const name of MACHINES) {
    const node = nodeOf(state, name);
    const crashed = withNode(state, name, { ...node, slots: node.slots.map(withoutPromise) });
    out.push({ step: `${name} crashes and restarts`, state: { ...crashed, crashesLeft: state.crashesLeft - 1 } });
  }
  return out;
}

/** All states that may follow from a state, in a fixed order. */
export function successorsOf(state: AgreementState, scenario: Scenario): Successor[] {
  const out = [...catchUpSteps(state), ...lossSteps(state, scenario), ...crashSteps(state, scenario)];
  for (const index of scenario.proposals.keys()) {
    out.push(...startSteps(state, index, scenario), ...prepareSteps(state, index, scenario));
    out.push(
      ...voteSteps(state, index, scenario),
      ...acceptSteps(state, index, scenario),
      ...learnSteps(state, index, scenario),
    );
  }
  return out;
}
