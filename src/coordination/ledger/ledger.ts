import { createLine } from '../../base/line.js';
import { createEvents } from '../../base/events.js';
import { err, ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import type { Message, MessageOf, SlotBatch } from '../../protocol/messages.js';
import type { Ballot } from '../../state/ballot.js';
import { majorityOf, memberId, membersMark, operationOf } from '../../state/control-state.js';
import type { ControlState, Outcome } from '../../state/control-state.js';
import type { ClosedOrders } from '../../state/closed-orders.js';
import type { Batch, Entry, Member } from '../../state/entry.js';
import { every, pause, within } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Disk } from '../../transport/disk.js';
import type { Log } from '../../transport/log.js';
import type { RingFault, RingShape } from '../../transport/ring.js';
import { newId } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import type { Address } from '../../transport/wire.js';
import type { Peers } from '../members/peers.js';
import { createClosedOrdersFetch } from './closed-orders-fetch.js';
import { createCatchUp } from './catch-up.js';
import { createSelfBootstrap, bootstrapEntry } from './self-bootstrap.js';
import { createMembershipChanges } from './membership-changes.js';
import { poll } from './poll.js';
import type { AskMember, Votes } from './poll.js';
import type { Agreed, Draft, ProposeFault } from './proposal.js';
import { runRound } from './round.js';
import { createMemberStatuses, MEMBER_STATUS_MS } from './member-statuses.js';
import type { HeardMemberStatus } from './member-statuses.js';
import { openStore } from './store.js';
import type { SnapshotGiver } from './snapshot-giver.js';
import type { Store, StoreCommand } from './store.js';

export type LedgerEvents = {
  readonly folded: { readonly slot: number; readonly batch: Batch; readonly outcomes: readonly Outcome[] };
  readonly adopted: { readonly slot: number };
  readonly heard: HeardMemberStatus;
};

export type BootstrapFault =
  | { readonly tag: 'alreadyBootstrapped'; readonly member: string }
  | { readonly tag: 'memberSilent'; readonly address: Address };

export type Ledger = {
  readonly controlState: () => ControlState;
  readonly events: { readonly on: <K extends keyof LedgerEvents>(name: K, fn: (e: LedgerEvents[K]) => void) => void };
  readonly propose: (draft: Draft, waitMs: number) => Promise<Result<Agreed, ProposeFault>>;
  readonly settle: (waitMs: number) => Promise<boolean>;
  /** The orders that were closed, as far as this controller knows them. */
  readonly closedOrders: Pick<ClosedOrders, 'all' | 'lacking'>;
  readonly since: (from: number) => readonly SlotBatch[] | null;
  /** What nodes that lag are told: the kept slots page by page, or a snapshot. */
  readonly history: LedgerHistory;
  readonly bootstrap: (members: readonly Address[]) => Promise<Result<Agreed, BootstrapFault>>;
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
  readonly bootstrapMembers: readonly Address[] | null;
  readonly renew: () => Promise<boolean>;
  readonly keepsClaims: boolean;
  readonly wasMember: boolean | null;
  readonly noteMember: () => Promise<boolean>;
};

const VOTE_WAIT_MS = 1_000;
const SLICE_MS = 1_000;
const HELP_AFTER_MS = 150;
const ASK_AGAIN_MS = 50;
const DANGLING_MS = 1_000;
const LEARN_WAIT_MS = 400;
const RECORD_ROOM = 4_096;

type Told = { readonly top: number; readonly learned: number };
type Proposal = { readonly entry: Entry; readonly bytes: number; readonly until: number };

export async function createLedger(deps: LedgerDeps): Promise<Result<Ledger, RingFault>> {
  const { clock, rng, peers, log, self } = deps;
  const events = createEvents<LedgerEvents>();
  let blockedBy: RingFault | null = null;
  let danglingSince = -1;
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
  const mostBytes = deps.shape.fileBytes - RECORD_ROOM;
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

  function controlState(): ControlState {
    return store.controlState();
  }
  function me(): string {
    return memberId(self);
  }
  function isMember(): boolean {
    for (const m of controlState().members) if (memberId(m) === me()) return true;
    return false;
  }

  async function vote(command: Extract<StoreCommand, { tag: 'prepare' | 'accept' }>): Promise<Message> {
    const answer = await store.put(command);
    if (answer.tag === 'cannotWrite') {
      noteBlocked(answer.fault);
      return { kind: 'cannotVote' };
    }
    blockedBy = null;
    if (answer.tag !== 'vote') return { kind: 'cannotVote' };
    const v = answer.vote;
    switch (v.tag) {
      case 'promised':
        return { kind: 'promised', voter: me(), accepted: v.accepted };
      case 'accepted':
        return { kind: 'accepted', voter: me() };
      case 'outbid':
        return { kind: 'outbid', voter: me(), by: v.by };
      case 'alreadyChosen':
        return { kind: 'alreadyChosen', voter: me() };
    }
  }

  function noteBlocked(fault: RingFault): void {
    if (!blockedBy) log.error(`Cannot write the ring (${fault.tag}); nothing is acknowledged until it can.`);
    blockedBy = fault;
  }

  function asker(until: number): AskMember {
    async function ask(m: Member, message: Message): Promise<Message | null> {
      if (memberId(m) === me()) return ownAnswer(message);
      const got = await peers.call(m.address, message, Math.min(VOTE_WAIT_MS, until - clock.mono()));
      if (!got.ok) return null;
      const a = got.value;
      return 'voter' in a && a.voter !== memberId(m) ? null : a;
    }
    return ask;
  }
  function ownAnswer(message: Message): Promise<Message> | Message {
    return message.kind === 'prepare' || message.kind === 'accept' ? onVote(message) : memberStatuses.own();
  }

  async function learn(slot: number, batch: Batch): Promise<void> {
    const answer = await store.put({ tag: 'chosen', slot, batch });
    if (answer.tag === 'cannotWrite') noteBlocked(answer.fault);
  }

  function spread(slot: number, batch: Batch): void {
    for (const m of controlState().members) {
      if (memberId(m) !== me())
        void peers.tell(m.address, {
          kind: 'learned',
          ledger: controlState().ledger,
          slot,
          batch: batch.id,
          at: self.address,
        });
    }
  }

  async function catchUpFrom(ahead: readonly Member[]): Promise<void> {
    const asks: Promise<void>[] = [];
    for (const m of ahead) if (memberId(m) !== me()) asks.push(catchUp(m.address));
    if (asks.length > 0) await Promise.race(asks);
  }

  async function slotDone(slot: number, waitMs: number): Promise<void> {
    const until = clock.mono() + waitMs;
    while (controlState().slot < slot && clock.mono() < until) await pause(clock, Math.min(15, until - clock.mono()));
  }

  async function decide(batch: Batch, until: number, isDone: () => boolean): Promise<Result<null, ProposeFault>> {
    let top = 0;
    let tookMs = 0;
    for (let tries = 0; clock.mono() < until; tries += 1) {
      if (isDone()) return ok(null);
      const slot = controlState().slot + 1;
      const from = clock.mono();
      const b = controlState();
      const who = { ledger: b.ledger, members: b.members, need: majorityOf(b.members) };
      const end = await runRound(who, slot, { round: top + 1, by: `${me()}/${newId(rng, 'b')}` }, batch, asker(until));
      if (end.tag === 'chosen') {
        await learn(slot, end.batch);
        spread(slot, end.batch);
        top = 0;
        continue;
      }
      if (blockedBy) return err({ tag: 'cannotWrite', fault: blockedBy });
      if (end.tag === 'behind') {
        await catchUpFrom(end.ahead);
        if (controlState().slot >= slot) top = 0;
        else await pause(clock, 20);
        continue;
      }
      if (end.tag === 'outbid') top = Math.max(top, end.round);
      tookMs = Math.max(tookMs, clock.mono() - from);
      await slotDone(
        slot,
        Math.min(until - clock.mono(), 10 + 1.5 * tookMs + rng.next() * (tookMs + 10) * Math.min(3, tries + 1)),
      );
    }
    return isDone() ? ok(null) : err({ tag: 'noMajority' });
  }

  async function work(proposals: readonly Proposal[]): Promise<readonly Result<Agreed, ProposeFault>[]> {
    const now = clock.mono();
    const fresh: Entry[] = [];
    let until = now;
    let total = 0;
    for (const p of proposals) {
      if (p.until <= now || operationOf(controlState(), p.entry.id) || total + p.bytes > mostBytes) continue;
      total += p.bytes;
      fresh.push(p.entry);
      until = Math.min(now + SLICE_MS, Math.max(until, p.until));
    }
    function allFolded(): boolean {
      for (const e of fresh) if (!operationOf(controlState(), e.id)) return false;
      return true;
    }
    let failed: ProposeFault | null = null;
    if (fresh.length > 0) {
      const decided = await decide({ id: newId(rng, 'batch'), entries: fresh }, until, allFolded);
      if (!decided.ok) failed = decided.fault;
    }
    const out: Result<Agreed, ProposeFault>[] = [];
    for (const p of proposals) {
      const done = operationOf(controlState(), p.entry.id);
      if (done) out.push(ok({ slot: done.slot, outcome: done.outcome }));
      else out.push(err(failed ?? { tag: 'noMajority' }));
    }
    return out;
  }
  const line = createLine(work);

  function propose(draft: Draft, waitMs: number): Promise<Result<Agreed, ProposeFault>> {
    if (controlState().ledger === '') return Promise.resolve(err({ tag: 'notBootstrapped' }));
    const entry: Entry = {
      id: draft.id ?? newId(rng, 'op'),
      author: self.name,
      wall: clock.wall(),
      cause: draft.cause,
      act: draft.act,
      ...(draft.fence === undefined ? {} : { fence: draft.fence }),
    };
    const bytes = Buffer.byteLength(JSON.stringify(entry));
    if (bytes > mostBytes) return Promise.resolve(err({ tag: 'cannotWrite', fault: { tag: 'recordTooLarge', bytes } }));
    return agreedWithin(entry, bytes, clock.mono() + waitMs);
  }
  async function agreedWithin(entry: Entry, bytes: number, until: number): Promise<Result<Agreed, ProposeFault>> {
    for (;;) {
      const got =
        (await within(clock, until - clock.mono(), line.put({ entry, bytes, until }))) ?? err({ tag: 'noMajority' });
      if (got.ok || got.fault.tag !== 'noMajority' || clock.mono() >= until) return got;
    }
  }

  // A majority of the members that this node knows may hold one that was removed and others that lag: together they can tell
  // of the change of members, yet of nothing behind it. So once all that they told is reached, the members must still be
  // the ones that were asked; else the new ones are asked. Who reads need not be a member.
  async function settle(waitMs: number): Promise<boolean> {
    const until = clock.mono() + waitMs;
    while (controlState().ledger !== '' && clock.mono() < until) {
      const asked = membersMark(controlState().members);
      const told = await newestTold(until);
      if (!told) await pause(clock, Math.min(ASK_AGAIN_MS, until - clock.mono()));
      else if ((await reach(told, until)) && membersMark(controlState().members) === asked) return true;
    }
    return false;
  }

  async function newestTold(until: number): Promise<Told | null> {
    const need = majorityOf(controlState().members);
    const askUntil = asker(until);
    async function ask(m: Member): Promise<Message | null> {
      const got = await askUntil(m, { kind: 'memberStatusAsk' });
      return got?.kind === 'memberStatus' && got.ledger === controlState().ledger ? got : null;
    }
    function heardMost(votes: Votes, open: number): boolean {
      return votes.size >= need || votes.size + open < need;
    }
    const votes = await poll(controlState().members, ask, heardMost);
    if (votes.size < need) return null;
    let top = -1;
    let learned = -1;
    for (const v of votes.values()) {
      if (v.kind !== 'memberStatus') continue;
      top = Math.max(top, v.top);
      learned = Math.max(learned, v.learned);
      if (v.learned > controlState().slot) void catchUp(v.address);
    }
    return { top, learned };
  }

  async function reach(told: Told, until: number): Promise<boolean> {
    function atTop(): boolean {
      return controlState().slot >= told.top;
    }
    const waitMs = told.learned >= told.top ? LEARN_WAIT_MS : HELP_AFTER_MS;
    await slotDone(told.top, Math.min(waitMs, until - clock.mono()));
    if (!atTop()) await decide({ id: newId(rng, 'batch'), entries: [] }, until, atTop);
    return atTop();
  }

  function onBootstrap(m: MessageOf<'bootstrap'>): Promise<Message> | Message {
    const b = controlState();
    const same = b.ledger === m.ledger;
    if (deps.bootstrapMembers || (b.ledger !== '' && !same))
      return { kind: 'bootstrapAnswer', agreed: false, member: self };
    if (!m.commit || same) return { kind: 'bootstrapAnswer', agreed: true, member: self };
    return commitBootstrap(m.slotZero);
  }
  async function commitBootstrap(batch: Batch): Promise<Message> {
    const answer = await store.put({ tag: 'chosen', slot: 0, batch });
    return { kind: 'bootstrapAnswer', agreed: answer.tag === 'folded', member: self };
  }

  async function bootstrap(addresses: readonly Address[]): Promise<Result<Agreed, BootstrapFault>> {
    const blank: Batch = { id: newId(rng, 'batch'), entries: [] };
    const id = newId(rng, 'ledger');
    async function ask(address: Address, batch: Batch, commit: boolean): Promise<Result<Member, BootstrapFault>> {
      const m: MessageOf<'bootstrap'> = { kind: 'bootstrap', ledger: id, slotZero: batch, commit };
      const got = address === self.address ? ok(await onBootstrap(m)) : await peers.call(address, m, VOTE_WAIT_MS);
      if (!got.ok || got.value.kind !== 'bootstrapAnswer') return err({ tag: 'memberSilent', address });
      if (!got.value.agreed) return err({ tag: 'alreadyBootstrapped', member: got.value.member.name });
      return ok(got.value.member);
    }
    const members: Member[] = [];
    for (const address of addresses) {
      const got = await ask(address, blank, false);
      if (!got.ok) return got;
      members.push(got.value);
    }
    const slotZero = bootstrapEntry(self, id, members, 'The operator bootstrapped the ledger.', clock, rng);
    for (const address of addresses) {
      const got = await ask(address, slotZero, true);
      if (!got.ok) return got;
    }
    return ok({ slot: 0, outcome: { tag: 'applied' } });
  }

  function isSettled(): boolean {
    return store.top() <= controlState().slot;
  }
  async function watch(): Promise<void> {
    await membershipChanges.turn();
    if (!isMember() || isSettled()) {
      danglingSince = -1;
      return;
    }
    if (danglingSince < 0) danglingSince = clock.mono();
    else if (clock.mono() - danglingSince > DANGLING_MS) {
      danglingSince = -1;
      await decide({ id: newId(rng, 'batch'), entries: [] }, clock.mono() + VOTE_WAIT_MS, isSettled);
    }
  }
  let watching = false;
  async function watchOnce(): Promise<void> {
    if (watching) return;
    watching = true;
    await watch();
    watching = false;
  }

  async function learnUpTo(slot: number, ballot: Ballot): Promise<void> {
    for (const m of controlState().members) {
      if (memberId(m) === me() || !ballot.by.startsWith(`${memberId(m)}/`)) continue;
      await within(clock, LEARN_WAIT_MS, catchUp(m.address));
      if (controlState().slot < slot) await within(clock, LEARN_WAIT_MS, catchUp(m.address));
    }
  }

  async function onVote(m: MessageOf<'prepare'> | MessageOf<'accept'>): Promise<Message> {
    if (m.ledger === controlState().ledger && m.slot > controlState().slot + 1) await learnUpTo(m.slot - 1, m.ballot);
    const voter = m.ledger === selfBootstrap.ballotOf ? m.slot === 0 : m.ledger === controlState().ledger && isMember();
    if (!voter || m.slot > controlState().slot + 1) return { kind: 'cannotVote' };
    if (m.kind === 'prepare') return vote({ tag: 'prepare', slot: m.slot, ballot: m.ballot });
    return vote({ tag: 'accept', slot: m.slot, ballot: m.ballot, batch: m.batch });
  }
  function onLearned(m: MessageOf<'learned'>): null {
    const blank = controlState().ledger === '' && m.slot === 0 && m.ledger === selfBootstrap.ballotOf;
    if (!blank && (m.ledger !== controlState().ledger || m.slot <= controlState().slot)) return null;
    const accepted = store.accepted(m.slot);
    if (m.slot === controlState().slot + 1 && accepted?.id === m.batch) void learn(m.slot, accepted);
    else void catchUp(m.at);
    return null;
  }

  peers.on('prepare', onVote);
  peers.on('accept', onVote);
  peers.on('learned', onLearned);
  peers.on('bootstrap', onBootstrap);

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
    askVote: asker(Infinity),
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
