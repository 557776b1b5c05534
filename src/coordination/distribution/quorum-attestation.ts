/**
 * Attests that this controller holds everything that was confirmed before a point in time, `asOf`: the time when the
 * earliest of the newest responses from a majority was requested. No member of that majority knew a slot that this
 * controller lacks. `change-publisher.ts` puts the attestation into heartbeats to the proxies. Section 1 of
 * docs/consistency.md explains why it holds.
 */
import { createEvents } from '../../base/events.js';
import { majorityOf, memberId } from '../../state/consensus/control-state.js';
import { createSharedTime } from '../../state/distribution/shared-time.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Ledger } from '../consensus/ledger.js';
import type { ReceivedMemberStatus } from '../membership/member-statuses.js';

/**
 * This controller holds everything that was confirmed before `asOf` (monotonic clock); `top` is the newest slot that
 * the majority knew then.
 */
export type Attestation = { readonly asOf: number; readonly top: number };

/** The newest attestation, and the wall time that the controllers agree on. */
export interface QuorumAttestation {
  newest(): Attestation | null;
  /** Requests the statuses of the members after a short delay. */
  scheduleRequest(): void;
  sharedNow(): number;
  readonly events: { readonly on: (name: 'attested', callback: () => void) => void };
  stop(): void;
}

type MemberResponse = { readonly requestedAt: number; readonly top: number };

const TICK_INTERVAL_MS = 500;
/** Batching delay: calls of `scheduleRequest` within this time share one request. */
const REQUEST_DELAY_MS = 5;
/** An attestation of an older point in time is not used. */
const MAX_ATTESTATION_AGE_MS = 1_000;

class PolledQuorumAttestation implements QuorumAttestation {
  readonly events = createEvents<{ readonly attested: null }>();
  private readonly answers = new Map<string, MemberResponse>();
  private readonly time = createSharedTime();
  private isRequestScheduled = false;
  private readonly tickTimer: Timer;

  constructor(
    private readonly ledger: Ledger,
    private readonly clock: Clock,
  ) {
    this.ledger.events.on('heard', (receivedMemberStatus) => this.onMemberStatus(receivedMemberStatus));
    this.tickTimer = every(this.clock, TICK_INTERVAL_MS, () => this.tick());
  }

  private isOwn(id: string): boolean {
    return id === memberId(this.ledger.self);
  }

  private onMemberStatus(receivedMemberStatus: ReceivedMemberStatus): void {
    const { member, requestedAt, memberStatus } = receivedMemberStatus;
    if (memberStatus.wall !== undefined) this.time.record(member.name, memberStatus.wall, this.clock.mono());
    const previous = this.answers.get(memberId(member));
    if (previous && previous.requestedAt >= requestedAt) return;
    this.answers.set(memberId(member), { requestedAt, top: memberStatus.top });
    this.events.emit('attested', null);
  }

  private tick(): void {
    const names = new Set<string>([this.ledger.self.name]);
    const ids = new Set<string>();
    for (const member of this.ledger.controlState().members) {
      names.add(member.name);
      ids.add(memberId(member));
    }
    this.time.retainOnly(names);
    this.time.record(this.ledger.self.name, this.clock.wall(), this.clock.mono());
    for (const id of this.answers.keys()) if (!ids.has(id)) this.answers.delete(id);
    if (ids.size === 1) this.events.emit('attested', null);
  }

  scheduleRequest(): void {
    if (this.isRequestScheduled) return;
    this.isRequestScheduled = true;

    const request = (): void => {
      this.isRequestScheduled = false;
      this.tick();
      this.ledger.requestMemberStatuses();
    };
    this.clock.timer(REQUEST_DELAY_MS, request);
  }

  newest(): Attestation | null {
    const state = this.ledger.controlState();
    if (!this.ledger.isMember() || !this.ledger.writable()) return null;
    const usable: MemberResponse[] = [];
    for (const member of state.members) {
      const response = this.isOwn(memberId(member))
        ? { requestedAt: this.clock.mono(), top: this.ledger.top() }
        : this.answers.get(memberId(member));
      if (response && response.top <= state.slot) usable.push(response);
    }
    const quorumSize = majorityOf(state.members);
    if (usable.length < quorumSize) return null;
    const majority = usable.sort(latestFirst).slice(0, quorumSize);
    const { requestedAt } = majority[quorumSize - 1] as MemberResponse;
    if (this.clock.mono() - requestedAt > MAX_ATTESTATION_AGE_MS) return null;
    let top = -1;
    for (const response of majority) top = Math.max(top, response.top);
    return { asOf: requestedAt, top };
  }

  sharedNow(): number {
    return this.time.now(this.clock.mono(), this.clock.wall());
  }

  stop(): void {
    this.tickTimer.cancel();
  }
}

/** Creates attestations from the statuses that the members send. */
export function createQuorumAttestation(ledger: Ledger, clock: Clock): QuorumAttestation {
  return new PolledQuorumAttestation(ledger, clock);
}

function latestFirst(left: MemberResponse, right: MemberResponse): number {
  return right.requestedAt - left.requestedAt;
}
