import { createLine } from '../../base/line.js';
import { createEvents } from '../../base/events.js';
import { err, ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import type { Message, MessageOf, SlotBatch } from '../../protocol/messages.js';
import { compareBallots } from '../../state/ballot.js';
import type { Ballot } from '../../state/ballot.js';
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
  readonly mayRejoin: (old: Member) => boolean;
};

const VOTE_WAIT_MS = 1_500;
const STANDING_MS = 500;
const DANGLING_MS = 1_000;

type RoundEnd =
  | { readonly tag: 'chosen'; readonly batch: Batch }
  | { readonly tag: 'outbid'; readonly round: number }
  | { readonly tag: 'behind' }
  | { readonly tag: 'noMajority' }
  | { readonly tag: 'cannotWrite'; readonly fault: RingFault };

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
    if (!isMember()) return { kind: 'cannotVote' };
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

  function poll(ask: (m: Member) => Promise<Message | null>, enough: (votes: ReadonlyMap<string, Message>) => boolean): Promise<ReadonlyMap<string, Message>> {
    const members = belief().members;
    function start(resolve: (votes: ReadonlyMap<string, Message>) => void): void {
      const votes = new Map<string, Message>();
      let open = members.length;
      if (open === 0) resolve(votes);
      async function one(m: Member): Promise<void> {
        const got = await ask(m);
        open -= 1;
        if (got) votes.set(memberId(m), got);
        if (open === 0 || enough(votes)) resolve(votes);
      }
      for (const m of members) void one(m);
    }
    return new Promise(start);
  }

  function askMember(message: Message, own: () => Promise<Message>): (m: Member) => Promise<Message | null> {
    async function ask(m: Member): Promise<Message | null> {
      if (memberId(m) === me) return own();
      const got = await peers.call(m.address, message, VOTE_WAIT_MS);
      if (!got.ok) return null;
      const a = got.value;
      return 'voter' in a && a.voter !== memberId(m) ? null : a;
    }
    return ask;
  }

  async function round(slot: number, ballot: Ballot, mine: Batch): Promise<RoundEnd> {
    const need = majorityOf(belief().members);
    function settled(kind: Message['kind']): (votes: ReadonlyMap<string, Message>) => boolean {
      function check(votes: ReadonlyMap<string, Message>): boolean {
        let n = 0;
        for (const v of votes.values()) {
          if (v.kind === 'outbid' || v.kind === 'alreadyChosen') return true;
          if (v.kind === kind) n += 1;
        }
        return n >= need;
      }
      return check;
    }
    function obstacle(votes: ReadonlyMap<string, Message>): RoundEnd | null {
      let top = 0;
      for (const v of votes.values()) {
        if (v.kind === 'alreadyChosen') return { tag: 'behind' };
        if (v.kind === 'outbid') top = Math.max(top, v.by.round);
      }
      return top > 0 ? { tag: 'outbid', round: top } : null;
    }
    function tally(votes: ReadonlyMap<string, Message>, kind: Message['kind']): number {
      let n = 0;
      for (const v of votes.values()) if (v.kind === kind) n += 1;
      return n;
    }

    const ledger = belief().ledger;
    function ownPromise(): Promise<Message> {
      return vote({ tag: 'prepare', slot, ballot });
    }
    const promises = await poll(askMember({ kind: 'prepare', ledger, slot, ballot }, ownPromise), settled('promised'));
    if (tally(promises, 'promised') < need) {
      if (blockedBy) return { tag: 'cannotWrite', fault: blockedBy };
      return obstacle(promises) ?? { tag: 'noMajority' };
    }
    let best: MessageOf<'promised'>['accepted'] = null;
    for (const v of promises.values()) {
      if (v.kind !== 'promised' || !v.accepted) continue;
      if (!best || compareBallots(v.accepted.ballot, best.ballot) > 0) best = v.accepted;
    }
    const batch = best ? best.batch : mine;
    function ownAccept(): Promise<Message> {
      return vote({ tag: 'accept', slot, ballot, batch });
    }
    const accepts = await poll(askMember({ kind: 'accept', ledger, slot, ballot, batch }, ownAccept), settled('accepted'));
    if (tally(accepts, 'accepted') >= need) return { tag: 'chosen', batch };
    if (blockedBy) return { tag: 'cannotWrite', fault: blockedBy };
    return obstacle(accepts) ?? { tag: 'noMajority' };
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

  async function catchUpFromAny(): Promise<void> {
    for (const m of belief().members) if (memberId(m) !== me) await catchUp(m.address);
  }

  async function decideSlot(batch: Batch, until: number): Promise<Result<null, ProposeFault>> {
    let top = 0;
    for (let tries = 0; clock.mono() < until; tries += 1) {
      const slot = belief().slot + 1;
      const end = await round(slot, { round: top + 1, by: `${me}/${newId(rng, 'b')}` }, batch);
      if (end.tag === 'chosen') {
        await learn(slot, end.batch);
        spread(slot, end.batch);
        if (end.batch.id === batch.id) return ok(null);
        top = 0;
        continue;
      }
      if (end.tag === 'cannotWrite') return err(end);
      if (end.tag === 'behind') {
        await catchUpFromAny();
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
    async function own(): Promise<Message> {
      return standing();
    }
    function heardMost(votes: ReadonlyMap<string, Message>): boolean {
      return votes.size >= need;
    }
    const votes = await poll(askMember({ kind: 'standingAsk' }, own), heardMost);
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

  function founding(m: MessageOf<'found'>): Promise<Message> | Message {
    const b = belief();
    const same = b.ledger === m.ledger;
    if (b.ledger !== '' && !same) return { kind: 'foundAnswer', agreed: false, member: self };
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
      const got = address === self.address ? ok(await founding(m)) : await peers.call(address, m, VOTE_WAIT_MS);
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
    const entry: Entry = {
      id: newId(rng, 'op'),
      author: self.name,
      wall: clock.wall(),
      cause: 'The operator founded the ledger.',
      act: { tag: 'founded', ledger: id, ticketKey: newId(rng, 'key') + newId(rng, ''), members },
    };
    for (const address of addresses) {
      const got = await ask(address, { id: blank.id, entries: [entry] }, true);
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
    if (m.ledger !== belief().ledger) return { kind: 'cannotVote' };
    if (m.kind === 'prepare') return vote({ tag: 'prepare', slot: m.slot, ballot: m.ballot });
    return vote({ tag: 'accept', slot: m.slot, ballot: m.ballot, batch: m.batch });
  }
  function onLearned(m: MessageOf<'learned'>): null {
    if (m.ledger === belief().ledger && m.slot === belief().slot + 1) void learn(m.slot, m.batch);
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
  peers.on('found', founding);
  peers.on('rejoin', rejoin);

  function beat(): void {
    void watchOnce();
  }
  const beating: Wakeup = every(clock, STANDING_MS, beat);
  beat();

  function stop(): void {
    stopped = true;
    beating.cancel();
  }
  return ok({ belief, events, propose, settle, since: store.recent, found, isMember, writable: store.writable, top: store.top, self, stop });
}
