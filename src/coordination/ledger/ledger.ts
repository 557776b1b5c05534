import { createLine } from '../../base/line.js';
import { createEvents } from '../../base/events.js';
import { err, ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import type { Message, MessageOf, SlotBatch } from '../../protocol/messages.js';
import { isBelief, majorityOf, memberId, operationOf } from '../../state/belief.js';
import type { Belief, Outcome } from '../../state/belief.js';
import type { Act, Batch, Entry, Member } from '../../state/entry.js';
import { pause, every } from '../../transport/clock.js';
import type { Clock, Wakeup } from '../../transport/clock.js';
import type { Disk } from '../../transport/disk.js';
import type { Log } from '../../transport/log.js';
import type { RingFault, RingShape } from '../../transport/ring.js';
import { newId } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import type { Address } from '../../transport/wire.js';
import type { Peers } from '../members/peers.js';
import { createFounding, foundedEntry } from './founding.js';
import { poll } from './poll.js';
import type { Votes } from './poll.js';
import { runRound } from './round.js';
import { openStore } from './store.js';
import type { StoreCommand } from './store.js';

export type LedgerEvents = {
  readonly folded: { readonly slot: number; readonly batch: Batch; readonly outcomes: readonly Outcome[] };
  readonly adopted: { readonly slot: number };
};

export type ProposeFault =
  | { readonly tag: 'noMajority' }
  | { readonly tag: 'notFounded' }
  | { readonly tag: 'cannotWrite'; readonly fault: RingFault };

export type Draft = { readonly id?: string; readonly cause: string; readonly act: Act; readonly fence?: number };
export type Agreed = { readonly slot: number; readonly outcome: Outcome };

export type FoundFault =
  | { readonly tag: 'alreadyFounded'; readonly member: string }
  | { readonly tag: 'memberSilent'; readonly address: Address };

export type Ledger = {
  readonly belief: () => Belief;
  readonly events: { readonly on: <K extends keyof LedgerEvents>(name: K, fn: (e: LedgerEvents[K]) => void) => void };
  readonly propose: (draft: Draft, waitMs: number) => Promise<Result<Agreed, ProposeFault>>;
  readonly settle: (waitMs: number) => Promise<boolean>;
  readonly since: (from: number) => readonly SlotBatch[] | null;
  readonly found: (members: readonly Address[]) => Promise<Result<Agreed, FoundFault>>;
  readonly isMember: () => boolean;
  readonly writable: () => boolean;
  readonly top: () => number;
  readonly self: Member;
  readonly stop: () => void;
};

export type LedgerDeps = {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly peers: Peers;
  readonly disk: Disk;
  readonly log: Log;
  readonly shape: RingShape;
  readonly self: Member;
  readonly seeds: readonly Address[];
  readonly founders: readonly Address[] | null;
  readonly mayRejoin: (old: Member) => boolean;
};

const VOTE_WAIT_MS = 1_500;
const STANDING_MS = 500;
const DANGLING_MS = 1_000;

type Proposal = { readonly entry: Entry; readonly until: number };

export async function createLedger(deps: LedgerDeps): Promise<Result<Ledger, RingFault>> {
  const { clock, rng, peers, log, self } = deps;
  const events = createEvents<LedgerEvents>();
  const me = memberId(self);
  let blockedBy: RingFault | null = null;
  let danglingSince = -1;
  let catching = false;
  let stopped = false;

  function onFold(slot: number, batch: Batch, outcomes: readonly Outcome[]): void {
    events.emit('folded', { slot, batch, outcomes });
  }
  function onAdopt(): void {
    events.emit('adopted', { slot: store.belief().slot });
  }
  const opened = await openStore(deps.disk, deps.shape, onFold, onAdopt);
  if (!opened.ok) return opened;
  const store = opened.value;

  function belief(): Belief {
    return store.belief();
  }
  function addressCurrent(): boolean {
    for (const m of belief().members) if (memberId(m) === me) return m.address === self.address;
    return false;
  }
  function isMember(): boolean {
    for (const m of belief().members) if (memberId(m) === me) return true;
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
        return { kind: 'promised', voter: me, accepted: v.accepted };
      case 'accepted':
        return { kind: 'accepted', voter: me };
      case 'outbid':
        return { kind: 'outbid', voter: me, by: v.by };
      case 'alreadyChosen':
        return { kind: 'alreadyChosen', voter: me };
    }
  }

  function noteBlocked(fault: RingFault): void {
    if (!blockedBy) log.error(`Cannot write the ring (${fault.tag}); nothing is acknowledged until it can.`);
    blockedBy = fault;
  }

  async function askMember(m: Member, message: Message): Promise<Message | null> {
    if (memberId(m) === me) return ownAnswer(message);
    const got = await peers.call(m.address, message, VOTE_WAIT_MS);
    if (!got.ok) return null;
    const a = got.value;
    return 'voter' in a && a.voter !== memberId(m) ? null : a;
  }
  function ownAnswer(message: Message): Promise<Message> | Message {
    return message.kind === 'prepare' || message.kind === 'accept' ? onVote(message) : standing();
  }

  async function learn(slot: number, batch: Batch): Promise<void> {
    const answer = await store.put({ tag: 'chosen', slot, batch });
    if (answer.tag === 'cannotWrite') noteBlocked(answer.fault);
  }

  function spread(slot: number, batch: Batch): void {
    for (const m of belief().members) {
      if (memberId(m) !== me) void peers.tell(m.address, { kind: 'learned', ledger: belief().ledger, slot, batch });
    }
  }

  async function catchUp(from: Address): Promise<void> {
    if (catching) return;
    catching = true;
    for (let i = 0; i < 64; i += 1) {
      const at = belief().slot;
      const got = await peers.call(from, { kind: 'fetch', ledger: belief().ledger, from: at + 1 }, 2 * VOTE_WAIT_MS);
      if (!got.ok || got.value.kind !== 'fetched') break;
      const { batches, belief: whole } = got.value;
      if (isBelief(whole)) await store.put({ tag: 'adopt', belief: whole });
      for (const b of batches) await learn(b.slot, b.batch);
      if (belief().slot === at) break;
    }
    catching = false;
  }

  async function catchUpFrom(ahead: readonly Member[]): Promise<void> {
    for (const m of ahead) if (memberId(m) !== me) await catchUp(m.address);
  }

  async function decideSlot(batch: Batch, until: number): Promise<Result<null, ProposeFault>> {
    let top = 0;
    for (let tries = 0; clock.mono() < until; tries += 1) {
      const slot = belief().slot + 1;
      const b = belief();
      const who = { ledger: b.ledger, members: b.members, need: majorityOf(b.members) };
      const end = await runRound(who, slot, { round: top + 1, by: `${me}/${newId(rng, 'b')}` }, batch, askMember);
      if (end.tag === 'chosen') {
        await learn(slot, end.batch);
        spread(slot, end.batch);
        if (end.batch.id === batch.id) return ok(null);
        top = 0;
        continue;
      }
      if (blockedBy) return err({ tag: 'cannotWrite', fault: blockedBy });
      if (end.tag === 'behind') {
        await catchUpFrom(end.ahead);
        if (belief().slot >= slot) top = 0;
        else await pause(clock, 20);
        continue;
      }
      if (end.tag === 'outbid') top = Math.max(top, end.round);
      await pause(clock, 10 + rng.next() * Math.min(400, 30 * (tries + 1)));
    }
    return err({ tag: 'noMajority' });
  }

  async function work(proposals: readonly Proposal[]): Promise<readonly Result<Agreed, ProposeFault>[]> {
    const fresh: Entry[] = [];
    let until = 0;
    for (const p of proposals) {
      if (!operationOf(belief(), p.entry.id)) fresh.push(p.entry);
      until = Math.max(until, p.until);
    }
    let failed: ProposeFault | null = null;
    if (fresh.length > 0) {
      const decided = await decideSlot({ id: newId(rng, 'batch'), entries: fresh }, until);
      if (!decided.ok) failed = decided.fault;
    }
    const out: Result<Agreed, ProposeFault>[] = [];
    for (const p of proposals) {
      const done = operationOf(belief(), p.entry.id);
      if (done) out.push(ok({ slot: done.slot, outcome: done.outcome }));
      else out.push(err(failed ?? { tag: 'noMajority' }));
    }
    return out;
  }
  const line = createLine(work);

  function propose(draft: Draft, waitMs: number): Promise<Result<Agreed, ProposeFault>> {
    if (!isMember()) return Promise.resolve(err({ tag: 'notFounded' }));
    const entry: Entry = {
      id: draft.id ?? newId(rng, 'op'),
      author: self.name,
      wall: clock.wall(),
      cause: draft.cause,
      act: draft.act,
      ...(draft.fence === undefined ? {} : { fence: draft.fence }),
    };
    return line.put({ entry, until: clock.mono() + waitMs });
  }

  async function settle(waitMs: number): Promise<boolean> {
    if (!isMember()) return false;
    const need = majorityOf(belief().members);
    let top = -1;
    function ask(m: Member): Promise<Message | null> {
      return askMember(m, { kind: 'standingAsk' });
    }
    function heardMost(votes: Votes): boolean {
      return votes.size >= need;
    }
    const votes = await poll(belief().members, ask, heardMost);
    if (votes.size < need) return false;
    for (const v of votes.values()) {
      if (v.kind !== 'standing') continue;
      top = Math.max(top, v.top);
      if (v.learned > belief().slot) await catchUp(v.address);
    }
    const until = clock.mono() + waitMs;
    while (belief().slot < top && clock.mono() < until) {
      await decideSlot({ id: newId(rng, 'batch'), entries: [] }, until);
    }
    return belief().slot >= top;
  }

  function standing(): MessageOf<'standing'> {
    return { kind: 'standing', ledger: belief().ledger, voter: me, address: self.address, learned: belief().slot, top: store.top() };
  }

  function onFound(m: MessageOf<'found'>): Promise<Message> | Message {
    const b = belief();
    const same = b.ledger === m.ledger;
    if (deps.founders || (b.ledger !== '' && !same)) return { kind: 'foundAnswer', agreed: false, member: self };
    if (!m.commit || same) return { kind: 'foundAnswer', agreed: true, member: self };
    return commitFounding(m.slotZero);
  }
  async function commitFounding(batch: Batch): Promise<Message> {
    const answer = await store.put({ tag: 'chosen', slot: 0, batch });
    return { kind: 'foundAnswer', agreed: answer.tag === 'folded', member: self };
  }

  async function found(addresses: readonly Address[]): Promise<Result<Agreed, FoundFault>> {
    const blank: Batch = { id: newId(rng, 'batch'), entries: [] };
    const id = newId(rng, 'ledger');
    async function ask(address: Address, batch: Batch, commit: boolean): Promise<Result<Member, FoundFault>> {
      const m: MessageOf<'found'> = { kind: 'found', ledger: id, slotZero: batch, commit };
      const got = address === self.address ? ok(await onFound(m)) : await peers.call(address, m, VOTE_WAIT_MS);
      if (!got.ok || got.value.kind !== 'foundAnswer') return err({ tag: 'memberSilent', address });
      if (!got.value.agreed) return err({ tag: 'alreadyFounded', member: got.value.member.name });
      return ok(got.value.member);
    }
    const members: Member[] = [];
    for (const address of addresses) {
      const got = await ask(address, blank, false);
      if (!got.ok) return got;
      members.push(got.value);
    }
    const slotZero = foundedEntry(self, id, members, 'The operator founded the ledger.', clock, rng);
    for (const address of addresses) {
      const got = await ask(address, slotZero, true);
      if (!got.ok) return got;
    }
    return ok({ slot: 0, outcome: { tag: 'applied' } });
  }

  async function rejoin(m: MessageOf<'rejoin'>): Promise<Message> {
    if (m.ledger !== belief().ledger || !isMember()) return { kind: 'done', agreed: false };
    for (const old of belief().members) {
      if (old.name !== m.member.name) continue;
      if (memberId(old) === memberId(m.member) && old.address === m.member.address) return { kind: 'done', agreed: true };
      if (memberId(old) !== memberId(m.member) && !deps.mayRejoin(old)) return { kind: 'done', agreed: false };
      const agreed = await propose(
        {
          cause: `${m.member.name} came back as a new incarnation or at a new address.`,
          act: { tag: 'memberReplaced', old: memberId(old), member: m.member },
        },
        5_000,
      );
      return { kind: 'done', agreed: agreed.ok && agreed.value.outcome.tag === 'applied' };
    }
    return { kind: 'done', agreed: false };
  }

  async function tellOwnAddress(): Promise<void> {
    await propose({ cause: `${self.name} serves at a new address.`, act: { tag: 'memberReplaced', old: me, member: self } }, 5_000);
    if (addressCurrent()) log.info(`Known at ${self.address}.`);
  }

  async function seekLedger(): Promise<void> {
    if (isMember()) {
      await settle(VOTE_WAIT_MS);
      if (!addressCurrent()) await tellOwnAddress();
      if (addressCurrent()) return;
    }
    const known = belief().members;
    const targets = new Set<Address>(deps.seeds);
    for (const m of known) targets.add(m.address);
    targets.delete(self.address);
    for (const to of targets) {
      const got = await peers.call(to, { kind: 'standingAsk' }, VOTE_WAIT_MS);
      if (!got.ok || got.value.kind !== 'standing' || got.value.ledger === '') continue;
      if (belief().ledger !== '' && got.value.ledger !== belief().ledger) {
        log.error(`${to} belongs to another ledger; it is ignored.`);
        continue;
      }
      if (got.value.learned > belief().slot) await catchUp(to);
      if (addressCurrent()) return;
      const asked = await peers.call(to, { kind: 'rejoin', ledger: belief().ledger, member: self }, 6_000);
      if (asked.ok && asked.value.kind === 'done' && asked.value.agreed) {
        await catchUp(to);
        if (addressCurrent()) log.info(`Joined the ledger as ${me}.`);
        return;
      }
    }
  }

  async function watch(): Promise<void> {
    if (stopped) return;
    if (!addressCurrent()) {
      await seekLedger();
      if (!isMember()) return;
    }
    for (const m of belief().members) {
      if (memberId(m) !== me) void peers.tell(m.address, standing());
    }
    if (store.top() <= belief().slot) {
      danglingSince = -1;
      return;
    }
    if (danglingSince < 0) danglingSince = clock.mono();
    else if (clock.mono() - danglingSince > DANGLING_MS) {
      danglingSince = -1;
      await decideSlot({ id: newId(rng, 'batch'), entries: [] }, clock.mono() + VOTE_WAIT_MS);
    }
  }
  let watching = false;
  async function watchOnce(): Promise<void> {
    if (watching) return;
    watching = true;
    await watch();
    watching = false;
  }

  function onVote(m: MessageOf<'prepare'> | MessageOf<'accept'>): Promise<Message> | Message {
    const voter = m.ledger === founding.ballotOf ? m.slot === 0 : m.ledger === belief().ledger && isMember();
    if (!voter) return { kind: 'cannotVote' };
    if (m.kind === 'prepare') return vote({ tag: 'prepare', slot: m.slot, ballot: m.ballot });
    return vote({ tag: 'accept', slot: m.slot, ballot: m.ballot, batch: m.batch });
  }
  function onLearned(m: MessageOf<'learned'>): null {
    const blank = belief().ledger === '' && m.slot === 0 && m.ledger === founding.ballotOf;
    if ((blank || m.ledger === belief().ledger) && m.slot === belief().slot + 1) void learn(m.slot, m.batch);
    return null;
  }
  function onStanding(m: MessageOf<'standing'>): null {
    if (m.ledger === belief().ledger && m.ledger !== '' && m.learned > belief().slot) void catchUp(m.address);
    return null;
  }
  function onFetch(m: MessageOf<'fetch'>): Message {
    if (m.ledger !== '' && m.ledger !== belief().ledger) return { kind: 'fetched', batches: [] };
    const batches = store.recent(m.from);
    if (batches && m.ledger !== '') return { kind: 'fetched', batches: batches.slice(0, 256) };
    return { kind: 'fetched', belief: belief(), batches: [] };
  }

  peers.on('prepare', onVote);
  peers.on('accept', onVote);
  peers.on('learned', onLearned);
  peers.on('standingAsk', standing);
  peers.on('standing', onStanding);
  peers.on('fetch', onFetch);
  peers.on('found', onFound);
  peers.on('rejoin', rejoin);

  function beat(): void {
    void watchOnce();
  }
  function ledgerName(): string {
    return belief().ledger;
  }
  function learnZero(batch: Batch): Promise<void> {
    return learn(0, batch);
  }
  const founding = createFounding({ clock, rng, peers, log, self, founders: deps.founders, ledgerName, askVote: askMember, learnZero, seek: beat });
  const beating: Wakeup = every(clock, STANDING_MS, beat);
  beat();

  function stop(): void {
    stopped = true;
    founding.stop();
    beating.cancel();
  }
  return ok({ belief, events, propose, settle, since: store.recent, found, isMember, writable: store.writable, top: store.top, self, stop });
}
