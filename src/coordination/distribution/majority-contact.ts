/** When a proxy last had contact with a majority of controllers. */
import type { Clock } from '../../transport/clock.js';
import { StandstillDetector } from '../../transport/standstill-detector.js';

/**
 * When a proxy last had contact with a majority of the core. It sends numbers (nonces) to controllers, and one that
 * comes back attested proves contact as of the moment it was sent. After a standstill of the process what was
 * sent before counts no more.
 */
export interface MajorityContact {
  nextNonce(): number;
  /** When an attested number was sent; null if it is unknown, or from before the newest standstill. */
  sentAt(nonce: number): number | null;
  /** Notes contact as of then; false if none newer than what is known. */
  recordContact(sentAt: number): boolean;
  /** To be called whenever the process runs: it notices a standstill, and tells `onStandstill`. */
  detectStandstill(): void;
  /** Whether there was contact since the process began, or since it last stood still. */
  isKnown(): boolean;
  /** Whether the newest contact is too long ago. */
  isLost(): boolean;
  wokeAt(): number;
}

const NONCES_KEPT = 16;
/** Two beats and the way of the next one. */
const LOST_MS = 2_500;

class NonceMajorityContact implements MajorityContact {
  private readonly nonces = new Map<number, number>();
  private nonce = 0;
  private firstCounted = 1;
  private contactAt: number | null = null;
  private readonly standstill: StandstillDetector;
  private currentWokeAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly onStandstill: (gapMs: number) => void,
  ) {
    this.standstill = new StandstillDetector(clock);
    this.currentWokeAt = clock.mono();
  }

  nextNonce(): number {
    this.nonce += 1;
    this.nonces.set(this.nonce, this.clock.mono());
    for (const old of this.nonces.keys()) if (this.nonces.size > NONCES_KEPT) this.nonces.delete(old);
    return this.nonce;
  }

  sentAt(attested: number): number | null {
    return attested >= this.firstCounted ? (this.nonces.get(attested) ?? null) : null;
  }

  recordContact(at: number): boolean {
    if (this.contactAt !== null && at <= this.contactAt) return false;
    this.contactAt = at;
    return true;
  }

  detectStandstill(): void {
    const gap = this.standstill.tick();
    if (gap === null) return;
    this.contactAt = null;
    this.firstCounted = this.nonce + 1;
    this.currentWokeAt = this.clock.mono();
    this.onStandstill(gap);
  }

  isKnown(): boolean {
    return this.contactAt !== null;
  }

  isLost(): boolean {
    return this.contactAt !== null && this.clock.mono() - this.contactAt > LOST_MS;
  }

  wokeAt(): number {
    return this.currentWokeAt;
  }
}

/** No contact yet; `onStandstill` is told of each standstill of the process, with its length in milliseconds. */
export function createMajorityContact(clock: Clock, onStandstill: (gapMs: number) => void): MajorityContact {
  return new NonceMajorityContact(clock, onStandstill);
}
