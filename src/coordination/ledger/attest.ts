import { createEvents } from '../../base/events.js';
import { majorityOf, memberId } from '../../state/belief.js';
import type { Member } from '../../state/entry.js';
import { createSharedTime } from '../../state/shared-time.js';
import { every } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { Peers } from '../members/peers.js';
import type { Ledger } from './ledger.js';

export type Attestation = { readonly asOf: number; readonly top: number };

export type Attest = {
  readonly newest: () => Attestation | null;
  readonly askSoon: () => void;
  readonly sharedNow: () => number;
  readonly events: { readonly on: (name: 'told', fn: () => void) => void };
  readonly stop: () => void;
};

type Told = { readonly askedAt: number; readonly top: number };

const ASK_MS = 500;
const ASK_WAIT_MS = 1_000;
const TOGETHER_MS = 5;
const OLDEST_MS = 1_000;

export function createAttest(ledger: Ledger, peers: Peers, clock: Clock): Attest {
  const events = createEvents<{ readonly told: null }>();
  const told = new Map<string, Told>();
  const time = createSharedTime();
  let soon = false;

  function others(): Member[] {
    const out: Member[] = [];
    for (const m of ledger.belief().members) if (memberId(m) !== memberId(ledger.self)) out.push(m);
    return out;
  }

  async function askOne(m: Member): Promise<void> {
    const askedAt = clock.mono();
    const got = await peers.call(m.address, { kind: 'standingAsk' }, ASK_WAIT_MS);
    if (!got.ok || got.value.kind !== 'standing' || got.value.voter !== memberId(m) || got.value.ledger !== ledger.belief().ledger) return;
    if (got.value.wall !== undefined) time.hear(m.name, got.value.wall, clock.mono());
    const have = told.get(memberId(m));
    if (have && have.askedAt >= askedAt) return;
    told.set(memberId(m), { askedAt, top: got.value.top });
    events.emit('told', null);
  }

  function ask(): void {
    const names = new Set<string>([ledger.self.name]);
    const ids = new Set<string>([memberId(ledger.self)]);
    for (const m of others()) {
      names.add(m.name);
      ids.add(memberId(m));
      void askOne(m);
    }
    time.keepOnly(names);
    time.hear(ledger.self.name, clock.wall(), clock.mono());
    for (const id of told.keys()) if (!ids.has(id)) told.delete(id);
    told.set(memberId(ledger.self), { askedAt: clock.mono(), top: ledger.top() });
    if (ids.size === 1) events.emit('told', null);
  }
  const asking = every(clock, ASK_MS, ask);

  function askSoon(): void {
    if (soon) return;
    soon = true;
    clock.wakeup(TOGETHER_MS, now);
    function now(): void {
      soon = false;
      ask();
    }
  }

  function newest(): Attestation | null {
    const b = ledger.belief();
    if (!ledger.isMember() || !ledger.writable()) return null;
    const known: Told[] = [];
    for (const m of b.members) {
      const t = told.get(memberId(m));
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
  return { newest, askSoon, sharedNow, events, stop: asking.cancel };
}

function latestFirst(a: Told, b: Told): number {
  return b.askedAt - a.askedAt;
}
