/**
 * The state of the explored model: acceptors with their disks, proposals in
 * progress and the messages that may still be delivered. All decisions are made
 * by the product's own pure code (acceptor.ts, control-state.ts); this module
 * only represents its state as comparable values.
 *
 * A message stays available once it was sent: the explorer models its loss, delay,
 * duplication or reordering by whether and when it delivers the message.
 */
import { accept, createAcceptor, prepare, restoreSlot } from '../../state/consensus/acceptor.js';
import type { Acceptor, AcceptedBatch, SlotState } from '../../state/consensus/acceptor.js';
import type { Ballot } from '../../state/consensus/ballot.js';
import { emptyControlState, foldBatch, memberId } from '../../state/consensus/control-state.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import type { Command, Batch, Member } from '../../state/consensus/entry.js';

/** A proposal that the explorer may start: the proposer, the slot, the round of the ballot and the batch. */
export type PlannedProposal = {
  readonly by: string;
  readonly slot: number;
  readonly round: number;
  readonly batch: string;
};

/** The state of a machine. */
export type NodeState = {
  /** Whether its disk is intact; a node without its disk takes no further steps. */
  readonly alive: boolean;
  /** Ids of the applied batches, from slot 0. */
  readonly log: readonly string[];
  /** What the acceptor promised and accepted in slots that are not applied yet. */
  readonly slots: readonly (readonly [number, SlotState])[];
};

/** The state of a proposal. */
export type ProposalState = {
  /** The members that the proposer asks; empty until the proposal starts. */
  readonly electorate: readonly string[];
  /** The members that promised, and what each had accepted before. */
  readonly promises: Readonly<Record<string, AcceptedBatch | null>>;
  /** The batch of the accept requests, once a majority promised. */
  readonly batch: string | null;
  readonly acceptedBy: readonly string[];
  /** Whether the proposer applied it, so that its caller was answered. */
  readonly learned: boolean;
};

/** A state of the explored model. */
export type AgreementState = {
  readonly nodes: Readonly<Record<string, NodeState>>;
  readonly proposals: readonly ProposalState[];
  /** Losses and crashes that may still happen. */
  readonly lossesLeft: number;
  readonly crashesLeft: number;
};

/** The four machines: three bootstrap the ledger, the fourth replaces the first. */
export const MACHINES = ['a', 'b', 'c', 'd'] as const;

function member(name: string): Member {
  return { name, incarnation: 'i', address: `${name}:1` };
}

/**
 * Returns the id under which a machine votes. All machines of the model have the same incarnation, so the id depends
 * only on the name.
 */
export function memberIdOf(name: string): string {
  return memberId(member(name));
}

function batchOf(id: string, command: Command): Batch {
  return {
    id,
    entries: [{ id: `entry-${id}`, author: 'model', wall: 0, cause: 'The model proposed it.', act: command }],
  };
}

const INITIAL_MEMBERS = [member('a'), member('b'), member('c')];

const BATCHES: Readonly<Record<string, Batch>> = {
  founded: batchOf('founded', { tag: 'bootstrapped', ledger: 'ledger', ticketKey: 'key', members: INITIAL_MEMBERS }),
  replace: batchOf('replace', { tag: 'memberReplaced', old: memberIdOf('a'), member: member('d') }),
  x: batchOf('x', { tag: 'evacuation', zone: 'x', begun: true }),
  y: batchOf('y', { tag: 'evacuation', zone: 'y', begun: true }),
  z: batchOf('z', { tag: 'evacuation', zone: 'z', begun: true }),
};

const controlStates = new Map<string, ControlState>([['', emptyControlState()]]);

/** The control state after a log of batches; computed once for each log. */
export function controlStateOf(log: readonly string[]): ControlState {
  const key = log.join();
  const cached = controlStates.get(key);
  if (cached) return cached;
  const state = structuredClone(controlStateOf(log.slice(0, -1)));
  foldBatch(state, log.length - 1, BATCHES[log[log.length - 1] as string] as Batch);
  controlStates.set(key, state);
  return state;
}

/** Returns the names of the members as of the end of a log; none for an empty log. */
export function membersOf(log: readonly string[]): readonly string[] {
  const out: string[] = [];
  for (const member of controlStateOf(log).members) out.push(member.name);
  return out;
}

/**
 * Returns the state in which an exploration starts: `a`, `b` and `c` have applied the bootstrap batch, `d` has an empty
 * log, and no proposal has started.
 */
export function initialState(proposals: readonly PlannedProposal[], losses: number, crashes: number): AgreementState {
  const nodes: Record<string, NodeState> = {};
  for (const name of MACHINES) nodes[name] = { alive: true, log: name === 'd' ? [] : ['founded'], slots: [] };
  const notStarted: ProposalState = { electorate: [], promises: {}, batch: null, acceptedBy: [], learned: false };
  return {
    nodes,
    proposals: new Array<ProposalState>(proposals.length).fill(notStarted),
    lossesLeft: losses,
    crashesLeft: crashes,
  };
}

/** Returns a copy of the state with this node. The given state is not changed, since the explorer may still need it. */
export function withNode(state: AgreementState, name: string, node: NodeState): AgreementState {
  return { ...state, nodes: { ...state.nodes, [name]: node } };
}

/** Returns a copy of the state with this proposal; `index` is its position among the proposals of the scenario. */
export function withProposal(state: AgreementState, index: number, proposal: ProposalState): AgreementState {
  const proposals = [...state.proposals];
  proposals[index] = proposal;
  return { ...state, proposals };
}

/** The node after it applied this log; drops its acceptor state of those slots, as the real acceptor does. */
export function withLog(node: NodeState, log: readonly string[]): NodeState {
  const slots: (readonly [number, SlotState])[] = [];
  for (const entry of node.slots) if (entry[0] >= log.length) slots.push(entry);
  return { ...node, log, slots };
}

function acceptorFrom(node: NodeState): Acceptor {
  const acceptor = createAcceptor(node.log.length);
  for (const [slot, slotState] of node.slots) restoreSlot(acceptor, slot, slotState);
  return acceptor;
}

function withAcceptor(node: NodeState, acceptor: Acceptor): NodeState {
  return { ...node, slots: [...acceptor.slots].sort(bySlot) };
}
function bySlot(left: readonly [number, SlotState], right: readonly [number, SlotState]): number {
  return left[0] - right[0];
}

/** A node after its promise, and what it had accepted before. */
export type PromiseResult = { readonly node: NodeState; readonly accepted: AcceptedBatch | null };

/** Sends a prepare to the real acceptor; null if it does not promise. */
export function promiseOf(node: NodeState, slot: number, ballot: Ballot): PromiseResult | null {
  const acceptor = acceptorFrom(node);
  const vote = prepare(acceptor, slot, ballot);
  return vote.tag === 'promised' ? { node: withAcceptor(node, acceptor), accepted: vote.accepted } : null;
}

/** Sends an accept to the real acceptor; null if it rejects the ballot. */
export function acceptanceOf(node: NodeState, slot: number, ballot: Ballot, batch: string): NodeState | null {
  const acceptor = acceptorFrom(node);
  const vote = accept(acceptor, slot, ballot, BATCHES[batch] as Batch);
  return vote.tag === 'accepted' ? withAcceptor(node, acceptor) : null;
}

/** The batch that a node applied to a slot or accepted for it, or null. */
export function batchAt(node: NodeState, slot: number): string | null {
  const applied = node.log[slot];
  if (applied !== undefined) return applied;
  for (const [openSlot, slotState] of node.slots) if (openSlot === slot) return slotState.accepted?.batch.id ?? null;
  return null;
}

/** The newest slot that a node applied a batch to or accepted one for. */
export function newestSlotOf(node: NodeState): number {
  let newest = node.log.length - 1;
  for (const [slot, slotState] of node.slots) if (slotState.accepted && slot > newest) newest = slot;
  return newest;
}
