/**
 * Watches how many further losses the core bears: gathers what each member answers, judges it by
 * `state/core-health.ts`, and logs one line when no loss is borne any more and one when it is again.
 *
 * `controller.ts` makes one; the status answer, the metrics and the runbooks read it. What it tells is never older
 * than `IN_TOUCH_MS`: a controller that is cut off from the majority tells that it knows nothing.
 */
import type { Message, MessageOf } from '../../protocol/messages.js';
import { majorityOf, memberId } from '../../state/control-state.js';
import { coreHealth } from '../../state/core-health.js';
import type { CoreHealth, MemberView } from '../../state/core-health.js';
import type { Member } from '../../state/entry.js';
import { every } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { Peers } from '../members/peers.js';
import type { Claims } from './claims.js';
import { createCoreHealthLog } from './core-health-log.js';
import type { Ledger } from './ledger.js';
import type { HeardMemberStatus } from './member-statuses.js';

export type CoreHealthReport = {
  /** Health of the members that agree on the ledger. */
  readonly ledger: CoreHealth;
  /** The same of the members that hold run-once claims; null where claims are not in use. */
  readonly claims: CoreHealth | null;
};

export type CoreHealthWatch = { readonly current: () => CoreHealthReport; readonly stop: () => void };

export type CoreHealthWatchDeps = {
  readonly ledger: Pick<Ledger, 'controlState' | 'self' | 'top' | 'writable' | 'events'>;
  /** Null where claims are not in use. */
  readonly claims: Pick<Claims, 'ready'> | null;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
};

/** A member's answer, or that its claims are whole, by the time at which it was asked. */
type Heard = { readonly askedAt: number; readonly memberStatus: MessageOf<'memberStatus'> };
type KnownSlot = { readonly at: number; readonly slot: number };

/** How often the health is judged; the members are asked as often. */
const TURN_MS = 500;
/** Three turns and a round trip: older answers don't count as being in touch. */
const IN_TOUCH_MS = 1_600;
/** A member holds everything if it has all that was known this long ago: the oldest answer that counts, and a second to learn. */
const SETTLED_MS = 2_600;
/** After a longer standstill, as without a majority in touch, what was known before is dropped. */
const STOOD_STILL_MS = 1_500;
const ASK_MS = 1_000;

export function createCoreHealthWatch(deps: CoreHealthWatchDeps): CoreHealthWatch {
  const { ledger, claims, peers, clock } = deps;
  const heard = new Map<string, Heard>();
  const claimsWhole = new Map<string, number>();
  const ledgerLog = createCoreHealthLog('ledger', clock, deps.log);
  const claimsLog = createCoreHealthLog('claims', clock, deps.log);
  let known: KnownSlot[] = [];
  let lastTurn = clock.mono();

  function me(): string {
    return memberId(ledger.self);
  }
  function isRecent(at: number | undefined): boolean {
    return at !== undefined && clock.mono() - at < IN_TOUCH_MS;
  }

  function onHeard({ member, askedAt, memberStatus }: HeardMemberStatus): void {
    heard.set(memberId(member), { askedAt, memberStatus });
  }
  ledger.events.on('heard', onHeard);

  function newestKnown(): number {
    let newest = ledger.controlState().slot;
    for (const { memberStatus } of heard.values()) newest = Math.max(newest, memberStatus.learned);
    return newest;
  }
  function stoodStill(): boolean {
    return clock.mono() - lastTurn > STOOD_STILL_MS;
  }
  /** The newest slot that was known some time ago; without so long a memory, the newest one of all. */
  function settledSlot(): number {
    if (stoodStill()) return newestKnown();
    let settled: number | null = null;
    for (const sample of known) if (clock.mono() - sample.at >= SETTLED_MS) settled = sample.slot;
    return settled ?? newestKnown();
  }

  function viewOf(member: Member, settled: number): MemberView {
    const id = memberId(member);
    if (id === me()) {
      const learned = ledger.controlState().slot;
      return {
        id,
        name: member.name,
        inTouch: true,
        learned,
        top: ledger.top(),
        writable: ledger.writable(),
        holdsAll: learned >= settled,
        unheard: [],
      };
    }
    const answer = heard.get(id);
    const learned = answer?.memberStatus.learned ?? -1;
    return {
      id,
      name: member.name,
      inTouch: isRecent(answer?.askedAt),
      learned,
      top: answer?.memberStatus.top ?? -1,
      writable: answer?.memberStatus.cannotWrite !== true,
      holdsAll: learned >= settled,
      unheard: answer?.memberStatus.unheard ?? [],
    };
  }
  function holdsClaims(view: MemberView): boolean {
    if (view.id === me()) return claims?.ready() ?? false;
    return isRecent(claimsWhole.get(view.id));
  }

  function current(): CoreHealthReport {
    const settled = settledSlot();
    const views: MemberView[] = [];
    const claimViews: MemberView[] = [];
    for (const member of ledger.controlState().members) {
      const view = viewOf(member, settled);
      views.push(view);
      claimViews.push({ ...view, holdsAll: holdsClaims(view) });
    }
    return { ledger: coreHealth(me(), views), claims: claims ? coreHealth(me(), claimViews) : null };
  }

  function onClaimsWholeAsk(): Message {
    return { kind: 'claimsWhole', voter: me(), whole: claims?.ready() ?? false };
  }
  peers.on('claimsWholeAsk', onClaimsWholeAsk);

  async function askClaims(member: Member): Promise<void> {
    const askedAt = clock.mono();
    const answer = await peers.call(member.address, { kind: 'claimsWholeAsk' }, ASK_MS);
    if (!answer.ok || answer.value.kind !== 'claimsWhole' || answer.value.voter !== memberId(member)) return;
    if (answer.value.whole) claimsWhole.set(memberId(member), askedAt);
    else claimsWhole.delete(memberId(member));
  }

  function forgetFormerMembers(): void {
    const ids = new Set(ledger.controlState().members.map(memberId));
    for (const id of heard.keys()) if (!ids.has(id)) heard.delete(id);
    for (const id of claimsWhole.keys()) if (!ids.has(id)) claimsWhole.delete(id);
  }
  function hearsMajority(): boolean {
    const { members } = ledger.controlState();
    let inTouch = 0;
    for (const member of members) {
      const id = memberId(member);
      if (id === me() || isRecent(heard.get(id)?.askedAt)) inTouch += 1;
    }
    return inTouch >= majorityOf(members);
  }
  function noteKnownSlot(): void {
    const now = clock.mono();
    if (stoodStill() || !hearsMajority()) known = [];
    lastTurn = now;
    known.push({ at: now, slot: newestKnown() });
    while (known.length > 1 && now - (known[1] as KnownSlot).at >= SETTLED_MS) known.shift();
  }

  function turn(): void {
    forgetFormerMembers();
    noteKnownSlot();
    const report = current();
    ledgerLog.note(report.ledger);
    if (!report.claims) return;
    claimsLog.note(report.claims);
    for (const member of ledger.controlState().members) if (memberId(member) !== me()) void askClaims(member);
  }
  const turning = every(clock, TURN_MS, turn);

  return { current, stop: turning.cancel };
}
