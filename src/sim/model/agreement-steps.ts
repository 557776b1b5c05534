/**
 * What may happen next in a state of the explored model: proposals start, each
 * message is delivered to each acceptor, proposers go on, nodes learn from one
 * another, a disk is lost, a process crashes. Rules around the acceptors that
 * stand in ledger.ts and round.ts (who may vote, which batch a proposer must
 * take) are stated here, and broken here on purpose.
 */
import { compareBallots } from '../../state/consensus/ballot.js';
import type { Ballot } from '../../state/consensus/ballot.js';
import type { AcceptedBatch, SlotState } from '../../state/consensus/acceptor.js';
import { acceptanceOf, MACHINES, membersOf, promiseOf, withLog, withNode, withProposal } from './agreement-state.js';
import type { AgreementState, NodeState, PlannedProposal, ProposalState } from './agreement-state.js';

export type AgreementBreak =
  /** An acceptor votes on a slot before it holds all slots before it. */
  | 'votesBeforeLearning'
  /** A machine whose disk was lost goes on as the member it was. */
  | 'countsOldIdentity'
  /** An acceptor accepts whatever it is sent. */
  | 'acceptsWithoutPromise'
  /** A promise is not on the disk when the process crashes. */
  | 'forgetsPromise'
  /** A proposer puts its own batch to the vote, whatever was accepted before. */
  | 'ignoresAccepted'
  /** A read does not ask again when it learns that the members changed. */
  | 'readsOnce';

export type Scenario = {
  readonly proposals: readonly PlannedProposal[];
  readonly losses: number;
  readonly crashes: number;
  readonly broken: AgreementBreak | null;
};

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

/** All smallest majorities of an electorate out of some of its members. */
export function majorities(electorate: readonly string[], from: readonly string[]): string[][] {
  const quorumSize = Math.floor(electorate.length / 2) + 1;
  let sets: string[][] = [[]];
  for (const name of from) {
    if (!electorate.includes(name)) continue;
    const larger: string[][] = [];
    for (const set of sets) larger.push([...set, name]);
    sets = [...sets, ...larger];
  }
  const out: string[][] = [];
  for (const set of sets) if (set.length === quorumSize) out.push(set);
  return out;
}

function batchFor(planned: PlannedProposal, promises: readonly (AcceptedBatch | null)[], scenario: Scenario): string {
  let best: AcceptedBatch | null = null;
  for (const one of promises) if (one && (!best || compareBallots(one.ballot, best.ballot) > 0)) best = one;
  return best && scenario.broken !== 'ignoresAccepted' ? best.batch.id : planned.batch;
}

function voteSteps(state: AgreementState, index: number, scenario: Scenario): Successor[] {
  const planned = scenario.proposals[index] as PlannedProposal;
  const proposal = state.proposals[index] as ProposalState;
  if (proposal.batch !== null || !nodeOf(state, planned.by).alive) return [];
  const batches = new Set<string>();
  for (const promisers of majorities(proposal.electorate, Object.keys(proposal.promises))) {
    const told: (AcceptedBatch | null)[] = [];
    for (const name of promisers) told.push(proposal.promises[name] ?? null);
    batches.add(batchFor(planned, told, scenario));
  }
  const out: Successor[] = [];
  for (const batch of batches)
    out.push({
      step: `${planned.by} puts ${batch} to the vote, round ${planned.round}`,
      state: withProposal(state, index, { ...proposal, batch }),
    });
  return out;
}

/** The acceptor without its memory of the slot, for the break that accepts whatever comes. */
function unbound(node: NodeState, slot: number): NodeState {
  const slots: (readonly [number, SlotState])[] = [];
  for (const one of node.slots) if (one[0] !== slot) slots.push(one);
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
    const bound = scenario.broken === 'acceptsWithoutPromise' ? unbound(node, planned.slot) : node;
    const voted = acceptanceOf(bound, planned.slot, ballotOf(planned), proposal.batch);
    if (!voted) continue;
    const acceptedBy = [...proposal.acceptedBy, name].sort();
    const next = withProposal(withNode(state, name, voted), index, { ...proposal, acceptedBy });
    out.push({
      step: `${name} accepts ${proposal.batch} for slot ${planned.slot}, round ${planned.round}`,
      state: next,
    });
  }
  return out;
}

export function isChosen(proposal: ProposalState): boolean {
  return proposal.electorate.length > 0 && 2 * proposal.acceptedBy.length > proposal.electorate.length;
}

function learnSteps(state: AgreementState, index: number, scenario: Scenario): Successor[] {
  const planned = scenario.proposals[index] as PlannedProposal;
  const proposal = state.proposals[index] as ProposalState;
  const node = nodeOf(state, planned.by);
  if (proposal.batch === null || proposal.learned || !isChosen(proposal)) return [];
  if (!node.alive || node.log.length !== planned.slot) return [];
  const told = withProposal(state, index, { ...proposal, learned: true });
  return [
    {
      step: `${planned.by} learns that ${proposal.batch} was chosen for slot ${planned.slot}`,
      state: withNode(told, planned.by, withLog(node, [...node.log, proposal.batch])),
    },
  ];
}

/** A node takes the next slot of another, or its whole state if it is blank. */
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
  const lost = withNode(state, 'a', { alive, log: [], slots: [] });
  return [{ step: 'a loses its disk', state: { ...lost, lossesLeft: state.lossesLeft - 1 } }];
}

function withoutPromise([slot, held]: readonly [number, SlotState]): readonly [number, SlotState] {
  return [slot, { ...held, promised: held.accepted?.ballot ?? { round: 0, by: '' } }];
}

/** A crash takes nothing, since all is synced before it is answered; the break lets it take promises. */
function crashSteps(state: AgreementState, scenario: Scenario): Successor[] {
  if (state.crashesLeft === 0 || scenario.broken !== 'forgetsPromise') return [];
  const out: Successor[] = [];
  for (const name of MACHINES) {
    const node = nodeOf(state, name);
    const crashed = withNode(state, name, { ...node, slots: node.slots.map(withoutPromise) });
    out.push({ step: `${name} crashes and starts again`, state: { ...crashed, crashesLeft: state.crashesLeft - 1 } });
  }
  return out;
}

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
