/**
 * Watches how many further losses the core bears: gathers what each member answers, judges it by
 * `membership/core-health.ts`, and logs one line when no loss is borne any more and one when it is again.
 *
 * `controller.ts` makes one; the status answer, the metrics and the runbooks read it. What it tells is never older
 * than `IN_TOUCH_MS`: a controller that is cut off from the majority tells that it knows nothing.
 */
import type { Message, MessageOf } from '../../protocol/messages.js';
import { majorityOf, memberId } from '../../state/consensus/control-state.js';
import { coreHealth } from '../../state/membership/core-health.js';
import type { CoreHealth, MemberView } from '../../state/membership/core-health.js';
import type { Member } from '../../state/consensus/entry.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import { StandstillDetector } from '../../transport/standstill-detector.js';
import type { Log } from '../../transport/log.js';
import type { Peers } from '../messaging/peers.js';
import type { Claims } from '../idempotency/claims.js';
import { createCoreHealthLog } from './core-health-log.js';
import type { CoreHealthLog } from './core-health-log.js';
import type { Ledger } from '../consensus/ledger.js';
import type { ReceivedMemberStatus } from './member-statuses.js';
import { otherMembers } from '../../state/consensus/fold-members.js';

/** The health of the controllers, as one of them sees it. */
export type CoreHealthReport = {
  /** Health of the members that agree on the ledger. */
  readonly ledger: CoreHealth;
  /** The same of the members that hold run-once claims; null where claims are not in use. */
  readonly claims: CoreHealth | null;
};

/** The newest judgement. */
export interface CoreHealthWatch {
  current(): CoreHealthReport;
  stop(): void;
}

/** What the judgement is made from. */
export type CoreHealthWatchDeps = {
  readonly ledger: Pick<Ledger, 'controlState' | 'self' | 'top' | 'writable' | 'events'>;
  /** Null where claims are not in use. */
  readonly claims: Pick<Claims, 'ready'> | null;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
};

/** A member's answer, or that its claims are whole, by the time at which it was asked. */
type Contact = { readonly requestedAt: number; readonly memberStatus: MessageOf<'memberStatus'> };
type KnownSlot = { readonly at: number; readonly slot: number };

/** How often the health is judged; the members are asked as often. */
const TURN_MS = 500;
/** Three turns and a round trip: older answers don't count as being in touch. */
const IN_TOUCH_MS = 1_600;
/** A member holds everything if it has all that was known this long ago: the oldest answer that counts, and a second to learn. */
const SETTLED_MS = 2_600;
const ASK_MS = 1_000;

class PollingHealthWatch implements CoreHealthWatch {
  private readonly contacts = new Map<string, Contact>();
  private readonly claimsCompleteAt = new Map<string, number>();
  private readonly ledgerLog: CoreHealthLog;
  private readonly claimsLog: CoreHealthLog;
  private known: KnownSlot[] = [];
  /** After a standstill, as without a majority in touch, what was known before is dropped. */
  private readonly standstill: StandstillDetector;
  private readonly turning: Timer;

  constructor(private readonly deps: CoreHealthWatchDeps) {
    this.ledgerLog = createCoreHealthLog('ledger', this.deps.clock, this.deps.log);
    this.claimsLog = createCoreHealthLog('claims', this.deps.clock, this.deps.log);
    this.standstill = new StandstillDetector(this.deps.clock);

    this.deps.ledger.events.on('heard', ({ member, requestedAt, memberStatus }) =>
      this.onMemberStatus({ member, requestedAt, memberStatus }),
    );

    this.deps.peers.on('claimsWholeAsk', () => this.onClaimsStatusRequest());
    this.turning = every(this.deps.clock, TURN_MS, () => this.turn());
  }

  private me(): string {
    return memberId(this.deps.ledger.self);
  }

  private isRecent(at: number | undefined): boolean {
    return at !== undefined && this.deps.clock.mono() - at < IN_TOUCH_MS;
  }

  private onMemberStatus({ member, requestedAt, memberStatus }: ReceivedMemberStatus): void {
    this.contacts.set(memberId(member), { requestedAt, memberStatus });
  }

  private newestKnown(): number {
    let newest = this.deps.ledger.controlState().slot;
    for (const { memberStatus } of this.contacts.values()) newest = Math.max(newest, memberStatus.learned);
    return newest;
  }

  /** The newest slot that was known some time ago; without so long a memory, the newest one of all. */
  private committedSlot(): number {
    if (this.standstill.isOpen()) return this.newestKnown();
    let settled: number | null = null;
    for (const sample of this.known) if (this.deps.clock.mono() - sample.at >= SETTLED_MS) settled = sample.slot;
    return settled ?? this.newestKnown();
  }

  private viewOf(member: Member, settled: number): MemberView {
    const id = memberId(member);
    if (id === this.me()) {
      const learned = this.deps.ledger.controlState().slot;
      return {
        id,
        name: member.name,
        inTouch: true,
        learned,
        top: this.deps.ledger.top(),
        writable: this.deps.ledger.writable(),
        holdsAll: learned >= settled,
        unheard: [],
      };
    }
    const answer = this.contacts.get(id);
    const learned = answer?.memberStatus.learned ?? -1;
    return {
      id,
      name: member.name,
      inTouch: this.isRecent(answer?.requestedAt),
      learned,
      top: answer?.memberStatus.top ?? -1,
      writable: answer?.memberStatus.cannotWrite !== true,
      holdsAll: learned >= settled,
      unheard: answer?.memberStatus.unheard ?? [],
    };
  }

  private holdsClaims(view: MemberView): boolean {
    if (view.id === this.me()) return this.deps.claims?.ready() ?? false;
    return this.isRecent(this.claimsCompleteAt.get(view.id));
  }

  current(): CoreHealthReport {
    const settled = this.committedSlot();
    const views: MemberView[] = [];
    const claimViews: MemberView[] = [];
    for (const member of this.deps.ledger.controlState().members) {
      const view = this.viewOf(member, settled);
      views.push(view);
      claimViews.push({ ...view, holdsAll: this.holdsClaims(view) });
    }
    return {
      ledger: coreHealth(this.me(), views),
      claims: this.deps.claims ? coreHealth(this.me(), claimViews) : null,
    };
  }

  private onClaimsStatusRequest(): Message {
    return { kind: 'claimsWhole', voter: this.me(), whole: this.deps.claims?.ready() ?? false };
  }

  private async requestClaimsStatus(member: Member): Promise<void> {
    const requestedAt = this.deps.clock.mono();
    const answer = await this.deps.peers.call(member.address, { kind: 'claimsWholeAsk' }, ASK_MS);
    if (!answer.ok || answer.value.kind !== 'claimsWhole' || answer.value.voter !== memberId(member)) return;
    if (answer.value.whole) this.claimsCompleteAt.set(memberId(member), requestedAt);
    else this.claimsCompleteAt.delete(memberId(member));
  }

  private forgetFormerMembers(): void {
    const ids = new Set(this.deps.ledger.controlState().members.map(memberId));
    for (const id of this.contacts.keys()) if (!ids.has(id)) this.contacts.delete(id);
    for (const id of this.claimsCompleteAt.keys()) if (!ids.has(id)) this.claimsCompleteAt.delete(id);
  }

  private hasMajorityContact(): boolean {
    const { members } = this.deps.ledger.controlState();
    let inTouch = 0;
    for (const member of members) {
      const id = memberId(member);
      if (id === this.me() || this.isRecent(this.contacts.get(id)?.requestedAt)) inTouch += 1;
    }
    return inTouch >= majorityOf(members);
  }

  private recordKnownSlot(): void {
    const now = this.deps.clock.mono();
    if (this.standstill.tick() !== null || !this.hasMajorityContact()) this.known = [];
    this.known.push({ at: now, slot: this.newestKnown() });
    while (this.known.length > 1 && now - (this.known[1] as KnownSlot).at >= SETTLED_MS) this.known.shift();
  }

  private turn(): void {
    this.forgetFormerMembers();
    this.recordKnownSlot();
    const report = this.current();
    this.ledgerLog.record(report.ledger);
    if (!report.claims) return;
    this.claimsLog.record(report.claims);
    for (const member of otherMembers(this.deps.ledger.controlState().members, this.deps.ledger.self))
      void this.requestClaimsStatus(member);
  }

  stop(): void {
    this.turning.cancel();
  }
}

/** Judges twice a second until stopped. */
export function createCoreHealthWatch(deps: CoreHealthWatchDeps): CoreHealthWatch {
  return new PollingHealthWatch(deps);
}
