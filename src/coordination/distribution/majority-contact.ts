/** Tracks when a proxy last had contact with a majority of the controllers. */
import type { Clock } from '../../transport/clock.js';
import { ProcessPauseDetector } from '../../transport/process-pause-detector.js';

/**
 * The last contact of a proxy with a majority of the controllers. The proxy sends nonces to controllers, and a nonce
 * that comes back attested proves contact as of the time it was sent. Nonces sent before a process pause do not count.
 */
export interface MajorityContact {
  nextNonce(): number;
  /** Returns when an attested nonce was sent; null if it is unknown or was sent before the last process pause. */
  sentAt(nonce: number): number | null;
  /** Records contact as of `sentAt`; returns false if that is not newer than the last contact. */
  recordContact(sentAt: number): boolean;
  /** To be called whenever the process runs: detects a process pause and calls `onPause`. */
  detectPause(): void;
  /** Whether there has been contact since the process started or last resumed from a pause. */
  hasHadContact(): boolean;
  /** Whether the last contact is too long ago. */
  isLost(): boolean;
  /** When the process started or last resumed from a pause, on the monotonic clock. */
  resumedAt(): number;
}

const NONCES_KEPT = 16;
/** Covers two heartbeat intervals and the transit time of the next heartbeat. */
const CONTACT_TIMEOUT_MS = 2_500;

class NonceMajorityContact implements MajorityContact {
  private readonly nonces = new Map<number, number>();
  private nonce = 0;
  private firstValidNonce = 1;
  private contactAt: number | null = null;
  private readonly pauseDetector: ProcessPauseDetector;
  private currentResumedAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly onPause: (gapMs: number) => void,
  ) {
    this.pauseDetector = new ProcessPauseDetector(clock);
    this.currentResumedAt = clock.mono();
  }

  nextNonce(): number {
    this.nonce += 1;
    this.nonces.set(this.nonce, this.clock.mono());
    for (const oldest of this.nonces.keys()) if (this.nonces.size > NONCES_KEPT) this.nonces.delete(oldest);
    return this.nonce;
  }

  sentAt(nonce: number): number | null {
    return nonce >= this.firstValidNonce ? (this.nonces.get(nonce) ?? null) : null;
  }

  recordContact(sentAt: number): boolean {
    if (this.contactAt !== null && sentAt <= this.contactAt) return false;
    this.contactAt = sentAt;
    return true;
  }

  detectPause(): void {
    const gap = this.pauseDetector.tick();
    if (gap === null) return;
    this.contactAt = null;
    this.firstValidNonce = this.nonce + 1;
    this.currentResumedAt = this.clock.mono();
    this.onPause(gap);
  }

  hasHadContact(): boolean {
    return this.contactAt !== null;
  }

  isLost(): boolean {
    return this.contactAt !== null && this.clock.mono() - this.contactAt > CONTACT_TIMEOUT_MS;
  }

  resumedAt(): number {
    return this.currentResumedAt;
  }
}

/** Starts without contact; `onPause` is called after each process pause with its length in milliseconds. */
export function createMajorityContact(clock: Clock, onPause: (gapMs: number) => void): MajorityContact {
  return new NonceMajorityContact(clock, onPause);
}
