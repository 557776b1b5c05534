/**
 * Who belongs to the core: admits joiners, leaves dead members out, and hands over before this controller ends. `ledger.ts`
 * makes one and calls `turn` each half second.
 *
 * Invariants (docs/consistency.md, section 3): each change is one entry, agreed by a majority of the members before it; no
 * member is taken out of an odd group unless two are dead; a leaving one ends after a majority has learned what it knows.
 */
import type { Result } from '../../base/result.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import { majorityOf, memberId, MOST_MEMBERS } from '../../state/control-state.js';
import type { ControlState } from '../../state/control-state.js';
import type { Act, Member } from '../../state/entry.js';
import { pause } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import { shuffled } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import type { Address } from '../../transport/wire.js';
import type { Peers } from '../members/peers.js';
import type { Agreed, Draft, ProposeFault } from './proposal.js';
import type { MemberStatuses } from './member-statuses.js';

export type MembershipChanges = { readonly turn: () => Promise<void>; readonly leave: () => Promise<void> };

export type MembershipChangesDeps = {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly peers: Peers;
  readonly log: Log;
  readonly self: Member;
  readonly contacts: () => Iterable<Address>;
  readonly seeds: readonly Address[];
  readonly controlState: () => ControlState;
  readonly memberStatuses: MemberStatuses;
  readonly propose: (draft: Draft, waitMs: number) => Promise<Result<Agreed, ProposeFault>>;
  readonly settle: (waitMs: number) => Promise<boolean>;
  readonly catchUp: (from: Address) => Promise<void>;
  /** Takes a new identity, and keeps it on the disk. */
  readonly renew: () => Promise<boolean>;
  readonly mayShrinkOdd: boolean;
  /** Whether the disk tells that this identity was a member before; null if it does not tell. */
  readonly wasMember: boolean | null;
  /** Keeps on the disk that this identity is a member. */
  readonly noteMember: () => Promise<boolean>;
};

const ASK_MS = 600;
const AGREE_MS = 1_500;
const ADMIT_MS = 2_500;
const DEAD_MS = 3_000;
const IN_TURN_MS = 1_000;
const LEAVE_MS = 1_000;
const HAND_OVER_MS = 2_000;
const HAND_OVER_PAUSE_MS = 30;

export function createMembershipChanges(deps: MembershipChangesDeps): MembershipChanges {
  const { clock, rng, peers, log, self, controlState, memberStatuses, propose } = deps;
  // To know a ledger is not to have been a member of it: one that ended while its joining was agreed must keep its identity.
  let former = deps.wasMember ?? controlState().ledger !== '';
  let isNoted = deps.wasMember === true;

  function held(): Member | null {
    for (const m of controlState().members) if (memberId(m) === memberId(self)) return m;
    return null;
  }

  async function agree(cause: string, act: Act): Promise<boolean> {
    const got = await propose({ cause, act }, AGREE_MS);
    return got.ok && got.value.outcome.tag === 'applied';
  }

  async function answers(m: Member): Promise<boolean> {
    if (memberId(m) === memberId(self)) return true;
    const got = await peers.call(m.address, { kind: 'memberStatusAsk' }, ASK_MS);
    return got.ok && got.value.kind === 'memberStatus' && got.value.voter === memberId(m);
  }
  async function silentNow(): Promise<Member[]> {
    const members = controlState().members;
    const heard = await Promise.all(members.map(answers));
    const out: Member[] = [];
    for (let i = 0; i < members.length; i += 1) if (!heard[i]) out.push(members[i] as Member);
    return out;
  }

  async function admission(joiner: Member): Promise<Act | null> {
    for (const old of controlState().members)
      if (old.name === joiner.name) return { tag: 'memberReplaced', old: memberId(old), member: joiner };
    for (const old of controlState().members)
      if (old.address === joiner.address) return { tag: 'memberReplaced', old: memberId(old), member: joiner };
    const silent = await silentNow();
    if (silent.length === 0)
      return controlState().members.length < MOST_MEMBERS ? { tag: 'memberAdded', member: joiner } : null;
    for (const old of silent)
      if (memberStatuses.mostUnheard(memberId(old)))
        return { tag: 'memberReplaced', old: memberId(old), member: joiner };
    return null;
  }

  async function onRejoin(m: MessageOf<'rejoin'>): Promise<Message> {
    if (m.ledger !== controlState().ledger || !held()) return { kind: 'done', agreed: false };
    for (const old of controlState().members)
      if (memberId(old) === memberId(m.member) && old.address === m.member.address)
        return { kind: 'done', agreed: true };
    const act = await admission(m.member);
    if (!act) return { kind: 'done', agreed: false };
    const cause =
      act.tag === 'memberAdded' ? `${m.member.name} joined.` : `${m.member.name} came new, or at a new address.`;
    return { kind: 'done', agreed: await agree(cause, act) };
  }
  peers.on('rejoin', onRejoin);

  async function tellOwnAddress(): Promise<void> {
    if (
      await agree(`${self.name} serves at a new address.`, {
        tag: 'memberReplaced',
        old: memberId(self),
        member: { ...self },
      })
    )
      log.info(`Known at ${self.address}.`);
  }

  async function memberStatusesOf(targets: Iterable<Address>): Promise<MessageOf<'memberStatus'>[]> {
    const out: MessageOf<'memberStatus'>[] = [];
    async function one(to: Address): Promise<void> {
      const got = await peers.call(to, { kind: 'memberStatusAsk' }, ASK_MS);
      if (!got.ok || got.value.kind !== 'memberStatus' || got.value.ledger === '') return;
      if (controlState().ledger === '' || got.value.ledger === controlState().ledger) out.push(got.value);
      else log.error(`${to} belongs to another ledger; it is ignored.`);
    }
    const asks: Promise<void>[] = [];
    for (const to of targets) asks.push(one(to));
    await Promise.all(asks);
    return out.sort(furthestFirst);
  }
  function furthestFirst(a: MessageOf<'memberStatus'>, b: MessageOf<'memberStatus'>): number {
    return b.learned - a.learned;
  }

  async function seek(): Promise<void> {
    const targets = new Set<Address>(deps.contacts());
    for (const m of controlState().members) targets.add(m.address);
    targets.delete(self.address);
    const heard = await memberStatusesOf(targets);
    const best = heard[0];
    if (!best) return;
    if (controlState().ledger === '' && !heard.some(isSeed))
      log.warn(`No seed answers; found the core at ${best.address}, known from nodes that contacted this one.`);
    if (best.learned > controlState().slot) await deps.catchUp(best.address);
    if (held()?.address === self.address) return;
    if (former && !held()) {
      if (!(await deps.renew())) return;
      former = false;
      isNoted = false;
      log.info(`No longer a member; joins anew as ${memberId(self)}.`);
    }
    const addresses: Address[] = [];
    for (const m of controlState().members)
      for (const h of heard) if (h.address === m.address) addresses.push(m.address);
    for (const to of shuffled(rng, addresses).slice(0, 2)) {
      const asked = await peers.call(
        to,
        { kind: 'rejoin', ledger: controlState().ledger, member: { ...self } },
        ADMIT_MS,
      );
      if (!asked.ok || asked.value.kind !== 'done' || !asked.value.agreed) continue;
      await deps.catchUp(to);
      if (held()?.address === self.address) log.info(`Joined the ledger as ${memberId(self)}.`);
      return;
    }
  }

  function isSeed(status: MessageOf<'memberStatus'>): boolean {
    return deps.seeds.includes(status.address);
  }

  function turnOf(): number {
    let n = 0;
    for (const m of controlState().members) {
      if (memberId(m) === memberId(self)) return n;
      if (memberStatuses.hears(memberId(m))) n += 1;
    }
    return n;
  }

  function isDead(m: Member): boolean {
    const id = memberId(m);
    return (
      id !== memberId(self) &&
      memberStatuses.unheardMs(id) >= DEAD_MS + IN_TURN_MS * turnOf() &&
      memberStatuses.mostUnheard(id)
    );
  }

  // An even group bears as many losses with one member fewer, and an odd one bears one more with two dead ones fewer. But a
  // run-once claim that three of five hold may then be held by one of three only; where claims are kept, an odd group stays.
  async function shedDead(): Promise<void> {
    const members = controlState().members;
    const dead = members.filter(isDead);
    const isEven = members.length % 2 === 0;
    const needed = isEven ? 1 : 2;
    const [first] = dead;
    if (!first || dead.length < needed || !(isEven || deps.mayShrinkOdd)) return;
    const cause = `${first.name} has been dead, and ${members.length} members bear no more than without ${needed === 1 ? 'it' : 'the two that are'}.`;
    if (await agree(cause, { tag: 'memberRemoved', old: memberId(first) }))
      log.info(`${memberId(first)} is no longer a member.`);
  }

  function inTouch(): boolean {
    let n = 1;
    for (const m of controlState().members)
      if (memberId(m) !== memberId(self) && memberStatuses.hears(memberId(m))) n += 1;
    return 2 * n > controlState().members.length;
  }

  async function turn(): Promise<void> {
    const mine = held();
    if (mine) former = true;
    if (mine && !isNoted) isNoted = await deps.noteMember();
    if (mine && mine.address !== self.address && (await deps.settle(AGREE_MS)) && held()) await tellOwnAddress();
    if (held()?.address === self.address && inTouch()) await shedDead();
    else await seek();
  }

  async function leave(): Promise<void> {
    if (!held()) return;
    if (controlState().members.length % 2 === 0)
      await propose(
        { cause: `${self.name} was told to end.`, act: { tag: 'memberRemoved', old: memberId(self) } },
        LEAVE_MS,
      );
    await handOver();
  }

  // Waits until a majority of the members, without this one, have learned all that it knows, so that no copy leaves with it.
  async function handOver(): Promise<void> {
    const until = clock.mono() + HAND_OVER_MS;
    while (clock.mono() < until) {
      const members = controlState().members;
      const learned = await Promise.all(members.map(learnedBy));
      if (learned.filter(isAllKnown).length >= majorityOf(members)) return;
      await pause(clock, HAND_OVER_PAUSE_MS);
    }
  }
  async function learnedBy(m: Member): Promise<number> {
    if (memberId(m) === memberId(self)) return -1;
    const got = await peers.call(m.address, { kind: 'memberStatusAsk' }, ASK_MS);
    return got.ok && got.value.kind === 'memberStatus' && got.value.voter === memberId(m) ? got.value.learned : -1;
  }
  function isAllKnown(slot: number): boolean {
    return slot >= controlState().slot;
  }
  return { turn, leave };
}
