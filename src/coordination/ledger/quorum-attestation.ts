/**
 * Attests that this controller holds everything that was confirmed before a moment: `asOf` is when the earliest of the
 * newest majority of answers was asked for, and nobody of that majority knew of a slot that this one lacks. `push.ts` puts
 * it into beats to proxies. Why it holds: docs/consistency.md, section 1.
 */
import { createEvents } from '../../base/events.js';
import { majorityOf, memberId } from '../../state/control-state.js';
import { createSharedTime } from '../../state/shared-time.js';
import { every } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { Ledger } from './ledger.js';
import type { HeardMemberStatus } from './member-statuses.js';

export type Attestation = { readonly asOf: number; readonly top: number };

export type QuorumAttestation = {
  readonly newest: () => Attestation | null;
  readonly askSoon: () => void;
  readonly sharedNow: () => number;
  readonly events: { readonly on: (name: 'told', fn: () => void) => void };
  readonly stop: () => void;
};

type Told = { readonly askedAt: number; readonly top: number };

const TURN_MS = 500;
const TOGETHER_MS = 5;
const OLDEST_MS = 1_000;

export function createQuorumAttestation(ledger: Ledger, clock: Clock): QuorumAttestation {
  const events = createEvents<{ readonly told: null }>();
  const told = new Map<string, Told>();
  const time = createSharedTime();
  let soon = false;

  function isOwn(id: string): boolean {
    return id === memberId(ledger.self);
  }

  function onHeard(e: HeardMemberStatus): void {
    const { member, askedAt, memberStatus } = e;
    if (memberStatus.wall !== undefined) time.hear(member.name, memberStatus.wall, clock.mono());
    const have = told.get(memberId(member));
    if (have && have.askedAt >= askedAt) return;
    told.set(memberId(member), { askedAt, top: memberStatus.top });
    events.emit('told', null);
  }
  ledger.events.on('heard', onHeard);

  function turn(): void {
    const names = new Set<string>([ledger.self.name]);
    const ids = new Set<string>();
    for (const m of ledger.controlState().members) {
      names.add(m.name);
      ids.add(memberId(m));
    }
    time.keepOnly(names);
    time.hear(ledger.self.name, clock.wall(), clock.mono());
    for (const id of told.keys()) if (!ids.has(id)) told.delete(id);
    if (ids.size === 1) events.emit('told', null);
  }
  const turning = every(clock, TURN_MS, turn);

  function askSoon(): void {
    if (soon) return;
    soon = true;
    clock.timer(TOGETHER_MS, now);
    function now(): void {
      soon = false;
      turn();
      ledger.askMemberStatuses();
    }
  }

  function newest(): Attestation | null {
    const b = ledger.controlState();
    if (!ledger.isMember() || !ledger.writable()) return null;
    const known: Told[] = [];
    for (const m of b.members) {
      const t = isOwn(memberId(m)) ? { askedAt: clock.mono(), top: ledger.top() } : told.get(memberId(m));
      if (t && t.top <= b.slot) known.push(t);
    }
    const need = majorityOf(b.members);
    if (known.length < need) return null;
    const most = known.sort(latestFirst).slice(0, need);
    const { askedAt } = most[need - 1] as Told;
    if (clock.mono() - askedAt > OLDEST_MS) return null;
    let top = -1;
    for (const t of most) top = Math.max(top, t.top);
    return { asOf: askedAt, top };
  }

  function sharedNow(): number {
    return time.now(clock.mono(), clock.wall());
  }
  return { newest, askSoon, sharedNow, events, stop: turning.cancel };
}

function latestFirst(a: Told, b: Told): number {
  return b.askedAt - a.askedAt;
}
