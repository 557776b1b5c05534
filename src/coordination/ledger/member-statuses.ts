/**
 * How far each member stands and whom it does not hear: asks all members each half second, and answers for this one. What
 * is told may be ahead of what is on the disk, never behind what this controller accepted.
 */
import type { MessageOf } from '../../protocol/messages.js';
import { majorityOf, memberId } from '../../state/control-state.js';
import type { ControlState } from '../../state/control-state.js';
import type { Member } from '../../state/entry.js';
import type { Clock } from '../../transport/clock.js';
import type { Peers } from '../members/peers.js';

export type MemberStatuses = {
  readonly own: () => MessageOf<'memberStatus'>;
  readonly ask: () => void;
  readonly heardAt: (id: string) => number | null;
  readonly hears: (id: string) => boolean;
  readonly unheardMs: (id: string) => number;
  readonly mostUnheard: (id: string) => boolean;
};

export type MemberStatusesDeps = {
  readonly clock: Clock;
  readonly peers: Peers;
  readonly self: Member;
  readonly controlState: () => ControlState;
  readonly top: () => number;
  readonly writable: () => boolean;
  readonly onHeard: (heard: HeardMemberStatus) => void;
};

export type HeardMemberStatus = {
  readonly member: Member;
  readonly askedAt: number;
  readonly memberStatus: MessageOf<'memberStatus'>;
};

type Heard = { readonly at: number; readonly unheard: readonly string[] };

export const MEMBER_STATUS_MS = 500;
const ASK_MS = 1_000;
const UNHEARD_MS = 2_500;
const FRESH_MS = 1_600;
const STOOD_STILL_MS = 1_500;

export function createMemberStatuses(deps: MemberStatusesDeps): MemberStatuses {
  const { clock, peers, self } = deps;
  const heard = new Map<string, Heard>();
  let lastTurn = clock.mono();
  let since = lastTurn;

  function noteTurn(): void {
    const now = clock.mono();
    if (now - lastTurn > STOOD_STILL_MS) {
      since = now;
      heard.clear();
    }
    lastTurn = now;
  }

  function others(): Member[] {
    const out: Member[] = [];
    for (const m of deps.controlState().members) if (memberId(m) !== memberId(self)) out.push(m);
    return out;
  }

  function heardAt(id: string): number | null {
    return heard.get(id)?.at ?? null;
  }
  function unheardMs(id: string): number {
    return clock.mono() - (heardAt(id) ?? since);
  }
  function hears(id: string): boolean {
    const at = heardAt(id);
    return at !== null && clock.mono() - at < FRESH_MS;
  }

  function own(): MessageOf<'memberStatus'> {
    const b = deps.controlState();
    const unheard: string[] = [];
    for (const m of others()) if (unheardMs(memberId(m)) > UNHEARD_MS) unheard.push(memberId(m));
    return {
      kind: 'memberStatus',
      ledger: b.ledger,
      voter: memberId(self),
      address: self.address,
      learned: b.slot,
      top: deps.top(),
      wall: clock.wall(),
      ...(unheard.length > 0 ? { unheard } : {}),
      ...(deps.writable() ? {} : { cannotWrite: true }),
    };
  }

  function mostUnheard(id: string): boolean {
    let n = unheardMs(id) > UNHEARD_MS ? 1 : 0;
    for (const m of others()) {
      const other = memberId(m);
      if (other !== id && hears(other) && heard.get(other)?.unheard.includes(id)) n += 1;
    }
    return n >= majorityOf(deps.controlState().members);
  }

  async function askOne(m: Member): Promise<void> {
    const askedAt = clock.mono();
    const got = await peers.call(m.address, { kind: 'memberStatusAsk' }, ASK_MS);
    if (!got.ok || got.value.kind !== 'memberStatus' || got.value.voter !== memberId(m)) return;
    if (askedAt < since) return;
    heard.set(memberId(m), { at: askedAt, unheard: got.value.unheard ?? [] });
    if (got.value.ledger === deps.controlState().ledger) deps.onHeard({ member: m, askedAt, memberStatus: got.value });
  }

  function ask(): void {
    noteTurn();
    const asked = new Set<string>();
    for (const m of others()) {
      asked.add(memberId(m));
      void askOne(m);
    }
    for (const id of heard.keys()) if (!asked.has(id)) heard.delete(id);
  }

  return { own, ask, heardAt, hears, unheardMs, mostUnheard };
}
