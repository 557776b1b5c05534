/**
 * The state of the explored model: acceptors with their disks, proposals under
 * way and the messages they may still get. All that decides anything is the
 * product's own pure code (acceptor.ts, control-state.ts); this module only
 * keeps it in values that can be compared.
 *
 * A message that was sent stays: whether it is lost, late, doubled or overtaken
 * is whether and when the explorer delivers it.
 */
import { accept, createAcceptor, prepare, restoreSlot } from '../../state/consensus/acceptor.js';
import type { Acceptor, AcceptedBatch, SlotState } from '../../state/consensus/acceptor.js';
import type { Ballot } from '../../state/consensus/ballot.js';
import { emptyControlState, foldBatch, memberId } from '../../state/consensus/control-state.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import type { Command, Batch, Member } from '../../state/consensus/entry.js';

/** A proposal that the explorer may start: who proposes which batch for which slot under which round. */
export type PlannedProposal = {
  readonly by: string;
  readonly slot: number;
  readonly round: number;
  readonly batch: string;
};

export type NodeState = {
  /** Whether its disk is whole; one that is not never acts again. */
  readonly alive: boolean;
  /** Ids of the batches folded, from slot 0. */
  readonly log: readonly string[];
  /** What the acceptor promised and accepted in open slots. */
  readonly slots: readonly (readonly [number, SlotState])[];
};

export type ProposalState = {
  /** The members that the proposer asks; empty until it starts. */
  readonly electorate: readonly string[];
  /** Who promised, and what each had accepted before. */
  readonly promises: Readonly<Record<string, AcceptedBatch | null>>;
  /** The batch put to the vote, once a majority promised. */
  readonly batch: string | null;
  readonly acceptedBy: readonly string[];
  /** Whether the proposer folded it, so that its caller was answered. */
  readonly learned: boolean;
};

export type AgreementState = {
  readonly nodes: Readonly<Record<string, NodeState>>;
  readonly proposals: readonly ProposalState[];
  /** Losses and crashes that may still come. */
  readonly lossesLeft: number;
  readonly crashesLeft: number;
};

/** The four machines: three found the ledger, the fourth takes the place of the first. */
export const MACHINES = ['a', 'b', 'c', 'd'] as const;

function member(name: string): Member {
  return { name, incarnation: 'i', address: `${name}:1` };
}

export function idOf(name: string): string {
  return memberId(member(name));
}

function batchOf(id: string, command: Command): Batch {
  return {
    id,
    entries: [{ id: `entry-${id}`, author: 'model', wall: 0, cause: 'The model proposed it.', act: command }],
  };
}

const FOUNDERS = [member('a'), member('b'), member('c')];

const BATCHES: Readonly<Record<string, Batch>> = {
  founded: batchOf('founded', { tag: 'bootstrapped', ledger: 'ledger', ticketKey: 'key', members: FOUNDERS }),
  replace: batchOf('replace', { tag: 'memberReplaced', old: idOf('a'), member: member('d') }),
  x: batchOf('x', { tag: 'evacuation', zone: 'x', begun: true }),
  y: batchOf('y', { tag: 'evacuation', zone: 'y', begun: true }),
  z: batchOf('z', { tag: 'evacuation', zone: 'z', begun: true }),
};

const folded = new Map<string, ControlState>([['', emptyControlState()]]);

/** The control state after a log of batches; folded once for each log. */
export function controlStateOf(log: readonly string[]): ControlState {
  const key = log.join();
  const known = folded.get(key);
  if (known) return known;
  const state = structuredClone(controlStateOf(log.slice(0, -1)));
  foldBatch(state, log.length - 1, BATCHES[log[log.length - 1] as string] as Batch);
  folded.set(key, state);
  return state;
}

export function membersOf(log: readonly string[]): readonly string[] {
  const out: string[] = [];
  for (const one of controlStateOf(log).members) out.push(one.name);
  return out;
}

export function initialState(proposals: readonly PlannedProposal[], losses: number, crashes: number): AgreementState {
  const nodes: Record<string, NodeState> = {};
  for (const name of MACHINES) nodes[name] = { alive: true, log: name === 'd' ? [] : ['founded'], slots: [] };
  const idle: ProposalState = { electorate: [], promises: {}, batch: null, acceptedBy: [], learned: false };
  return {
    nodes,
    proposals: new Array<ProposalState>(proposals.length).fill(idle),
    lossesLeft: losses,
    crashesLeft: crashes,
  };
}

export function withNode(state: AgreementState, name: string, node: NodeState): AgreementState {
  return { ...state, nodes: { ...state.nodes, [name]: node } };
}

export function withProposal(state: AgreementState, index: number, proposal: ProposalState): AgreementState {
  const proposals = [...state.proposals];
  proposals[index] = proposal;
  return { ...state, proposals };
}

/** The node once it folded up to this log; what it held of those slots goes, as with the real floor. */
export function withLog(node: NodeState, log: readonly string[]): NodeState {
  const slots: (readonly [number, SlotState])[] = [];
  for (const one of node.slots) if (one[0] >= log.length) slots.push(one);
  return { ...node, log, slots };
}

function acceptorOf(node: NodeState): Acceptor {
  const acceptor = createAcceptor(node.log.length);
  for (const [slot, held] of node.slots) restoreSlot(acceptor, slot, held);
  return acceptor;
}

function withAcceptor(node: NodeState, acceptor: Acceptor): NodeState {
  return { ...node, slots: [...acceptor.slots].sort(bySlot) };
}
function bySlot(left: readonly [number, SlotState], right: readonly [number, SlotState]): number {
  return left[0] - right[0];
}

export type Promised = { readonly node: NodeState; readonly accepted: AcceptedBatch | null };

/** Puts a prepare to the real acceptor; null if it does not promise. */
export function promiseOf(node: NodeState, slot: number, ballot: Ballot): Promised | null {
  const acceptor = acceptorOf(node);
  const vote = prepare(acceptor, slot, ballot);
  return vote.tag === 'promised' ? { node: withAcceptor(node, acceptor), accepted: vote.accepted } : null;
}

/** Puts an accept to the real acceptor; null if it refuses. */
export function acceptanceOf(node: NodeState, slot: number, ballot: Ballot, batch: string): NodeState | null {
  const acceptor = acceptorOf(node);
  const vote = accept(acceptor, slot, ballot, BATCHES[batch] as Batch);
  return vote.tag === 'accepted' ? withAcceptor(node, acceptor) : null;
}

/** The batch that a node holds for a slot, folded or accepted. */
export function heldAt(node: NodeState, slot: number): string | null {
  const done = node.log[slot];
  if (done !== undefined) return done;
  for (const [at, held] of node.slots) if (at === slot) return held.accepted?.batch.id ?? null;
  return null;
}

/** The newest slot that a node folded or accepted something for. */
export function topOf(node: NodeState): number {
  let top = node.log.length - 1;
  for (const [slot, held] of node.slots) if (held.accepted && slot > top) top = slot;
  return top;
}
