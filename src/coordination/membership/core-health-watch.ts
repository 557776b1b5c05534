/**
 * Monitors how many further losses the core tolerates: collects the status of each member, evaluates it with
 * `state/membership/core-health.ts`, and logs one line when the core stops tolerating a loss and one when it does
 * again.
 *
 * Created by `controller.ts`; read by the status response, the metrics and the runbooks. The reported health is based
 * on no response older than `MAX_CONTACT_AGE_MS`: a controller that is partitioned from the majority reports that the
 * health is unknown.
 */
import type { Message, MessageOf } from '../../protocol/messages.js';
import { majorityOf, memberId } from '../../state/consensus/control-state.js';
import { coreHealth } from '../../state/membership/core-health.js';
import type { CoreHealth, MemberView } from '../../state/membership/core-health.js';
import type { Member } from '../../state/consensus/entry.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import { ProcessPauseDetector } from '../../transport/process-pause-detector.js';
import type { Log } from '../../transport/log.js';
import type { Peers } from '../messaging/peers.js';
import type { Claims } from '../idempotency/claims.js';
import { createCoreHealthLog } from './core-health-log.js';
import type { CoreHealthLog } from './core-health-log.js';
import type { Ledger } from '../consensus/ledger.js';
import type { ReceivedMemberStatus } from './member-statuses.js';
import { otherMembers } from '../../state/consensus/fold-members.js';

/** The health of the core from the view of one controller. */
export type CoreHealthReport = {
  /** Health of the group that maintains the ledger. */
  readonly ledger: CoreHealth;
  /** Health of the group that holds run-once claims; null if claims are not in use. */
  readonly claims: CoreHealth | null;
};

/** Reports the current health of the core. */
export interface CoreHealthWatch {
  current(): CoreHealthReport;
  stop(): void;
}

/** Dependencies of the health watch. */
export type CoreHealthWatchDeps = {
  readonly ledger: Pick<Ledger, 'controlState' | 'self' | 'top' | 'writable' | 'events'>;
  /** Null if claims are not in use. */
  readonly claims: Pick<Claims, 'ready'> | null;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
};

/** The last status of a member, and when it was requested (monotonic clock). */
type Contact = { readonly requestedAt: number; readonly memberStatus: MessageOf<'memberStatus'> };
type SlotSample = { readonly at: number; readonly slot: number };

/** How often the health is evaluated; claim status is requested from the members at the same interval. */
const CHECK_INTERVAL_MS = 500;
/** Three check intervals and a round trip; a member whose last response is older is not in contact. */
const MAX_CONTACT_AGE_MS = 1_600;
/**
 * A member is complete if it has learned every slot that was known this long ago: the age of the oldest response that
 * counts, plus one second to catch up.
 */
const CATCH_UP_WINDOW_MS = 2_600;
const REQUEST_TIMEOUT_MS = 1_000;

class PollingHealthWatch implements CoreHealthWatch {
  private readonly contacts = new Map<string, Contact>();
  private readonly claimsCompleteAt = new Map<string, number>();
  private readonly ledgerLog: CoreHealthLog;
  private readonly claimsLog: CoreHealthLog;
  private slotSamples: SlotSample[] = [];
  /** Earlier slot samples are discarded after a process pause, and without contact to a majority. */
  private readonly pauseDetector: ProcessPauseDetector;
  private readonly checkTimer: Timer;

  constructor(private readonly deps: CoreHealthWatchDeps) {
    this.ledgerLog = createCoreHealthLog('ledger', this.deps.clock, this.deps.log);
    this.claimsLog = createCoreHealthLog('claims', this.deps.clock, this.deps.log);
    this.pauseDetector = new ProcessPauseDetector(this.deps.clock);

    this.deps.ledger.events.on('heard', ({ member, requestedAt, memberStatus }) =>
      this.onMemberStatus({ member, requestedAt, memberStatus }),
    );

    this.deps.peers.on('claimsWholeAsk', () => this.onClaimsStatusRequest());
    this.checkTimer = every(this.deps.clock, CHECK_INTERVAL_MS, () => this.tick());
  }

  private ownId(): string {
    return memberId(this.deps.ledger.self);
  }

  private isRecent(at: number | undefined): boolean {
    return at !== undefined && this.deps.clock.mono() - at < MAX_CONTACT_AGE_MS;
  }

  private onMemberStatus({ member, requestedAt, memberStatus }: ReceivedMemberStatus): void {
    this.contacts.set(memberId(member), { requestedAt, memberStatus });
  }

  private newestKnownSlot(): number {
    let newest = this.deps.ledger.controlState().slot;
    for (const { memberStatus } of this.contacts.values()) newest = Math.max(newest, memberStatus.learned);
    return newest;
  }

  /**
   * The slot that a complete member has learned: the newest one known `CATCH_UP_WINDOW_MS` ago, or the newest known one
   * if the samples don't reach back that far or the process was paused since the last sample.
   */
  private requiredSlot(): number {
    if (this.pauseDetector.isOpen()) return this.newestKnownSlot();
    let newestOldEnough: number | null = null;
    for (const sample of this.slotSamples)
      if (this.deps.clock.mono() - sample.at >= CATCH_UP_WINDOW_MS) newestOldEnough = sample.slot;
    return newestOldEnough ?? this.newestKnownSlot();
  }

  private viewOf(member: Member, requiredSlot: number): MemberView {
    const id = memberId(member);
    if (id === this.ownId()) {
      const learned = this.deps.ledger.controlState().slot;
      return {
        id,
        name: member.name,
        inTouch: true,
        learned,
        top: this.deps.ledger.top(),
        writable: this.deps.ledger.writable(),
        isComplete: learned >= requiredSlot,
        unheard: [],
      };
    }
    const contact = this.contacts.get(id);
    const learned = contact?.memberStatus.learned ?? -1;
    return {
      id,
      name: member.name,
      inTouch: this.isRecent(contact?.requestedAt),
      learned,
      top: contact?.memberStatus.top ?? -1,
      writable: contact?.memberStatus.cannotWrite !== true,
      isComplete: learned >= requiredSlot,
      unheard: contact?.memberStatus.unheard ?? [],
    };
  }

  private holdsAllClaims(view: MemberView): boolean {
    if (view.id === this.ownId()) return this.deps.claims?.ready() ?? false;
    return this.isRecent(this.claimsCompleteAt.get(view.id));
  }

  current(): CoreHealthReport {
    const requiredSlot = this.requiredSlot();
    const views: MemberView[] = [];
    const claimViews: MemberView[] = [];
    for (const member of this.deps.ledger.controlState().members) {
      const view = this.viewOf(member, requiredSlot);
      views.push(view);
      claimViews.push({ ...view, isComplete: this.holdsAllClaims(view) });
    }
    return {
      ledger: coreHealth(this.ownId(), views),
      claims: this.deps.claims ? coreHealth(this.ownId(), claimViews) : null,
    };
  }

  private onClaimsStatusRequest(): Message {
    return { kind: 'claimsWhole', voter: this.ownId(), whole: this.deps.claims?.ready() ?? false };
  }

  private async requestClaimsStatus(member: Member): Promise<void> {
    const requestedAt = this.deps.clock.mono();
    const response = await this.deps.peers.call(member.address, { kind: 'claimsWholeAsk' }, REQUEST_TIMEOUT_MS);
    if (!response.ok || response.value.kind !== 'claimsWhole' || response.value.voter !== memberId(member)) return;
    if (response.value.whole) this.claimsCompleteAt.set(memberId(member), requestedAt);
    else this.claimsCompleteAt.delete(memberId(member));
  }

  private removeFormerMembers(): void {
    const ids = new Set(this.deps.ledger.controlState().members.map(memberId));
    for (const id of this.contacts.keys()) if (!ids.has(id)) this.contacts.delete(id);
    for (const id of this.claimsCompleteAt.keys()) if (!ids.has(id)) this.claimsCompleteAt.delete(id);
  }

  private hasMajorityContact(): boolean {
    const { members } = this.deps.ledger.controlState();
    let inContactCount = 0;
    for (const member of members) {
      const id = memberId(member);
      if (id === this.ownId() || this.isRecent(this.contacts.get(id)?.requestedAt)) inContactCount += 1;
    }
    return inContactCount >= majorityOf(members);
  }

  private sampleNewestSlot(): void {
    const now = this.deps.clock.mono();
    if (this.pauseDetector.tick() !== null || !this.hasMajorityContact()) this.slotSamples = [];
    this.slotSamples.push({ at: now, slot: this.newestKnownSlot() });
    while (this.slotSamples.length > 1 && now - (this.slotSamples[1] as SlotSample).at >= CATCH_UP_WINDOW_MS)
      this.slotSamples.shift();
  }

  private tick(): void {
    this.removeFormerMembers();
    this.sampleNewestSlot();
    const report = this.current();
    this.ledgerLog.record(report.ledger);
    if (!report.claims) return;
    this.claimsLog.record(report.claims);
    for (const member of otherMembers(this.deps.ledger.controlState().members, this.deps.ledger.self))
      void this.requestClaimsStatus(member);
  }

  stop(): void {
    this.checkTimer.cancel();
  }
}

/** Creates a watch that evaluates the health twice a second until stopped. */
export function createCoreHealthWatch(deps: CoreHealthWatchDeps): CoreHealthWatch {
  return new PollingHealthWatch(deps);
}
