/**
 * The ledger of one controller: slots of entries that a majority of the members agrees, one after another, and the state
 * that they fold to. This module holds its parts together (replica, voter, proposer, reader, catching up, membership
 * changes, bootstrap) and finishes slots that somebody left open; `controller.ts` makes it. What it promises, and why it
 * holds, stands in docs/consistency.md.
 */
import { createEvents } from '../../base/events.js';
import { ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import type { Message, SlotBatch } from '../../protocol/messages.js';
import type { ClosedOrders } from '../../state/closed-orders.js';
import { memberId } from '../../state/control-state.js';
import type { ControlState, Outcome } from '../../state/control-state.js';
import type { Batch, Member } from '../../state/entry.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Disk } from '../../transport/disk.js';
import type { Log } from '../../transport/log.js';
import type { RingFault, RingShape } from '../../transport/ring.js';
import type { Rng } from '../../transport/rng.js';
import type { Address } from '../../transport/wire.js';
import type { Peers } from '../members/peers.js';
import { createClosedOrdersFetch } from './closed-orders-fetch.js';
import { createCatchUp } from './catch-up.js';
import { createMemberStatuses, MEMBER_STATUS_MS } from './member-statuses.js';
import type { HeardMemberStatus } from './member-statuses.js';
import { createMembershipChanges } from './membership-changes.js';
import { createOperatorBootstrap } from './operator-bootstrap.js';
import type { Bootstrap } from './operator-bootstrap.js';
import type { AskMember } from './poll.js';
import type { Agreed, Draft, ProposeFault } from './proposal.js';
import { createProposer } from './proposer.js';
import { createReplica } from './replica.js';
import { createSelfBootstrap } from './self-bootstrap.js';
import { createSettledRead } from './settled-read.js';
import type { SnapshotGiver } from './snapshot-giver.js';
import { openStore } from './store.js';
import type { Store } from './store.js';
import { createVoter } from './voter.js';

export type LedgerEvents = {
  readonly folded: { readonly slot: number; readonly batch: Batch; readonly outcomes: readonly Outcome[] };
  readonly adopted: { readonly slot: number };
  readonly heard: HeardMemberStatus;
};

export type Ledger = {
  readonly controlState: () => ControlState;
  readonly events: { readonly on: <K extends keyof LedgerEvents>(name: K, fn: (e: LedgerEvents[K]) => void) => void };
  /** Agrees one entry. `noMajority` says that it was given up: it may still come to be agreed, once at most. */
  readonly propose: (draft: Draft, waitMs: number) => Promise<Result<Agreed, ProposeFault>>;
  /** True once the state is no older than anything confirmed before the call. */
  readonly settle: (waitMs: number) => Promise<boolean>;
  /** The orders that were closed, as far as this controller knows them. */
  readonly closedOrders: Pick<ClosedOrders, 'all' | 'lacking'>;
  readonly since: (from: number) => readonly SlotBatch[] | null;
  /** What nodes that lag are told: the kept slots page by page, or a snapshot. */
  readonly history: LedgerHistory;
  readonly bootstrap: Bootstrap;
  readonly isMember: () => boolean;
  readonly writable: () => boolean;
  readonly top: () => number;
  readonly heardAt: (id: string) => number | null;
  readonly askMemberStatuses: () => void;
  readonly self: Member;
  readonly leave: () => Promise<void>;
  readonly stop: () => void;
};

export type LedgerHistory = SnapshotGiver & Pick<Store, 'page' | 'bytesSince'>;

export type LedgerDeps = {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly peers: Peers;
  readonly disk: Disk;
  readonly log: Log;
  readonly shape: RingShape;
  readonly self: Member;
  /** Addresses of controllers that are known otherwise than by the ledger: the seeds, and those heard of by membership. */
  readonly contacts: () => Iterable<Address>;
  readonly seeds: readonly Address[];
  readonly bootstrapMembers: readonly Address[] | null;
  readonly renew: () => Promise<boolean>;
  readonly keepsClaims: boolean;
  readonly wasMember: boolean | null;
  readonly noteMember: () => Promise<boolean>;
};

/** How long one member is waited for; where a majority answers nobody waits for the rest. */
const VOTE_WAIT_MS = 1_000;
/** A slot that was accepted and stays open this long is balloted by whoever holds it. */
const DANGLING_MS = 1_000;
/** Kept free in a ring file for what stands around an entry in its record. */
const RECORD_ROOM = 4_096;

export async function createLedger(deps: LedgerDeps): Promise<Result<Ledger, RingFault>> {
  const { clock, rng, peers, log, self } = deps;
  const events = createEvents<LedgerEvents>();
  let stopped = false;

  function onFold(slot: number, batch: Batch, outcomes: readonly Outcome[]): void {
    events.emit('folded', { slot, batch, outcomes });
  }
  function onAdopt(): void {
    events.emit('adopted', { slot: store.controlState().slot });
  }
  const opened = await openStore(deps.disk, deps.shape, onFold, onAdopt);
  if (!opened.ok) return opened;
  const store = opened.value;
  const replica = createReplica(store, self, clock, log);
  const { controlState, isMember, learn } = replica;
  const closedFetch = createClosedOrdersFetch({
    peers,
    clock,
    log,
    self,
    controlState,
    closed: store.closed,
    put: store.put,
  });
  const { from: catchUp, snapshots } = createCatchUp({ peers, clock, log, store, controlState, learn });
  const voter = createVoter({ clock, peers, replica, catchUp, bootstrapBallot });
  const mostBytes = deps.shape.fileBytes - RECORD_ROOM;
  const proposer = createProposer({ clock, rng, peers, replica, askerUntil, catchUp, mostBytes });
  const { propose } = proposer;
  const settle = createSettledRead({ clock, replica, proposer, askerUntil, catchUp });
  const bootstrapsItself = deps.bootstrapMembers !== null;
  const bootstrap = createOperatorBootstrap({ clock, rng, peers, replica, bootstrapsItself });

  function bootstrapBallot(): string | null {
    return selfBootstrap.ballotOf;
  }

  /** An answer counts for a member only under the identity that the ledger has of it: a blank disk answers as another one. */
  function askerUntil(until: number): AskMember {
    async function ask(member: Member, message: Message): Promise<Message | null> {
      const id = memberId(member);
      if (id === replica.id()) return ownAnswer(message);
      const reply = await peers.call(member.address, message, Math.min(VOTE_WAIT_MS, until - clock.mono()));
      if (!reply.ok) return null;
      return 'voter' in reply.value && reply.value.voter !== id ? null : reply.value;
    }
    return ask;
  }
  function ownAnswer(message: Message): Promise<Message> | Message {
    return message.kind === 'prepare' || message.kind === 'accept' ? voter.onVote(message) : memberStatuses.own();
  }

  function isSettled(): boolean {
    return store.top() <= controlState().slot;
  }
  let openSince: number | null = null;
  async function watch(): Promise<void> {
    await replica.mend();
    await membershipChanges.turn();
    const now = clock.mono();
    if (!isMember() || isSettled()) openSince = null;
    else openSince ??= now;
    if (openSince === null || now - openSince <= DANGLING_MS) return;
    openSince = null;
    await proposer.finish(now + VOTE_WAIT_MS, isSettled);
  }
  let watching = false;
  async function watchOnce(): Promise<void> {
    if (watching) return;
    watching = true;
    await watch();
    watching = false;
  }

  function beat(): void {
    if (stopped) return;
    memberStatuses.ask();
    void watchOnce();
  }
  function onHeard(heard: HeardMemberStatus): void {
    if (heard.memberStatus.learned > controlState().slot) void catchUp(heard.memberStatus.address);
    events.emit('heard', heard);
  }
  const memberStatuses = createMemberStatuses({
    clock,
    peers,
    self,
    controlState,
    top: store.top,
    writable: store.writable,
    onHeard,
  });
  peers.on('memberStatusAsk', memberStatuses.own);
  const membershipChanges = createMembershipChanges({
    clock,
    rng,
    peers,
    log,
    self,
    contacts: deps.contacts,
    seeds: deps.seeds,
    controlState,
    memberStatuses,
    propose,
    settle,
    catchUp,
    renew: deps.renew,
    wasMember: deps.wasMember,
    noteMember: deps.noteMember,
    mayShrinkOdd: !deps.keepsClaims,
  });
  function ledgerName(): string {
    return controlState().ledger;
  }
  function learnZero(batch: Batch): Promise<void> {
    return learn(0, batch);
  }
  const selfBootstrap = createSelfBootstrap({
    clock,
    rng,
    peers,
    log,
    self,
    bootstrapMembers: deps.bootstrapMembers,
    ledgerName,
    askVote: askerUntil(Infinity),
    learnZero,
    seek: beat,
  });
  const beating: Timer = every(clock, MEMBER_STATUS_MS, beat);
  beat();

  function stop(): void {
    stopped = true;
    selfBootstrap.stop();
    beating.cancel();
    closedFetch.stop();
  }
  return ok({
    controlState,
    events,
    propose,
    settle,
    closedOrders: store.closed,
    since: store.recent,
    history: { ...snapshots, page: store.page, bytesSince: store.bytesSince },
    bootstrap,
    isMember,
    writable: store.writable,
    top: store.top,
    heardAt: memberStatuses.heardAt,
    askMemberStatuses: memberStatuses.ask,
    self,
    leave: membershipChanges.leave,
    stop,
  });
}
