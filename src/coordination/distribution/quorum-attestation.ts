/**
 * Attests that this controller holds everything that was confirmed before a moment: `asOf` is when the earliest of the
 * newest majority of answers was asked for, and nobody of that majority knew of a slot that this one lacks. `change-distribution.ts` puts
 * it into beats to proxies. Why it holds: docs/consistency.md, section 1.
 */
import { createEvents } from '../../base/events.js';
import { majorityOf, memberId } from '../../state/consensus/control-state.js';
import { createSharedTime } from '../../state/distribution/shared-time.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Ledger } from '../consensus/ledger.js';
import type { ReceivedMemberStatus } from '../membership/member-statuses.js';

/**
 * This controller held everything confirmed before `asOf` (monotonic clock); `top` is the newest slot that was known
 * then.
 */
export type Attestation = { readonly asOf: number; readonly top: number };

/** The newest attestation, and time as the controllers agree on it. */
export interface QuorumAttestation {
  newest(): Attestation | null;
  requestSoon(): void;
  sharedNow(): number;
  readonly events: { readonly on: (name: 'attested', callback: () => void) => void };
  stop(): void;
}

type Answer = { readonly requestedAt: number; readonly top: number };

const TURN_MS = 500;
const TOGETHER_MS = 5;
const OLDEST_MS = 1_000;

class PolledQuorumAttestation implements QuorumAttestation {
  readonly events = createEvents<{ readonly attested: null }>();
  private readonly answers = new Map<string, Answer>();
  private readonly time = createSharedTime();
  private soon = false;
  private readonly turning: Timer;

  constructor(
    private readonly ledger: Ledger,
    private readonly clock: Clock,
  ) {
    this.ledger.events.on('heard', (receivedMemberStatus) => this.onMemberStatus(receivedMemberStatus));
    this.turning = every(this.clock, TURN_MS, () => this.turn());
  }

  private isOwn(id: string): boolean {
    return id === memberId(this.ledger.self);
  }

  private onMemberStatus(receivedMemberStatus: ReceivedMemberStatus): void {
    const { member, requestedAt, memberStatus } = receivedMemberStatus;
    if (memberStatus.wall !== undefined) this.time.record(member.name, memberStatus.wall, this.clock.mono());
    const have = this.answers.get(memberId(member));
    if (have && have.requestedAt >= requestedAt) return;
    this.answers.set(memberId(member), { requestedAt, top: memberStatus.top });
    this.events.emit('attested', null);
  }

  private turn(): void {
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

  requestSoon(): void {
    if (this.soon) return;
    this.soon = true;

    const now = (): void => {
      this.soon = false;
      this.turn();
      this.ledger.requestMemberStatuses();
    };
    this.clock.timer(TOGETHER_MS, now);
  }

  newest(): Attestation | null {
    const state = this.ledger.controlState();
    if (!this.ledger.isMember() || !this.ledger.writable()) return null;
    const known: Answer[] = [];
    for (const member of state.members) {
      const answer = this.isOwn(memberId(member))
        ? { requestedAt: this.clock.mono(), top: this.ledger.top() }
        : this.answers.get(memberId(member));
      if (answer && answer.top <= state.slot) known.push(answer);
    }
    const quorumSize = majorityOf(state.members);
    if (known.length < quorumSize) return null;
    const most = known.sort(latestFirst).slice(0, quorumSize);
    const { requestedAt } = most[quorumSize - 1] as Answer;
    if (this.clock.mono() - requestedAt > OLDEST_MS) return null;
    let top = -1;
    for (const answer of most) top = Math.max(top, answer.top);
    return { asOf: requestedAt, top };
  }

  sharedNow(): number {
    return this.time.now(this.clock.mono(), this.clock.wall());
  }

  stop(): void {
    this.turning.cancel();
  }
}

/** Attests from the statuses that members send. */
export function createQuorumAttestation(ledger: Ledger, clock: Clock): QuorumAttestation {
  return new PolledQuorumAttestation(ledger, clock);
}

function latestFirst(left: Answer, right: Answer): number {
  return right.requestedAt - left.requestedAt;
}
