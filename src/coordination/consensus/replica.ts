/**
 * This controller's replica of the log: its store, its identity, and whether its disk accepts writes. The components of
 * the ledger (voter, proposer, linearizable reads, membership changes) share one replica, which `ledger.ts` creates.
 *
 * Invariant: a command that `put` answers with anything but `cannotWrite` is on disk.
 */
import { memberId } from '../../state/consensus/control-state.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import type { Batch, Member } from '../../state/consensus/entry.js';
import { delay } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { RingError } from '../../transport/ring.js';
import type { Store, StoreResult, StoreCommand } from './store.js';

/** The store of one controller under its current identity. */
export interface Replica {
  readonly store: Store;
  readonly self: Member;
  controlState(): ControlState;
  /** The identity under which this controller currently votes; it changes when the controller rejoins. */
  id(): string;
  isMember(): boolean;
  put(command: StoreCommand): Promise<StoreResult>;
  /** Applies a chosen batch if its slot is the next one; otherwise does nothing. */
  learn(slot: number, batch: Batch): Promise<void>;
  /** Resolves once `slot` is applied, or after `timeoutMs`. */
  waitForSlot(slot: number, timeoutMs: number): Promise<void>;
  /**
   * Resolves to true once the name of the ledger is known, or to false after `timeoutMs`. A blank controller learns it
   * from the other controllers within its first second.
   */
  waitForLedger(timeoutMs: number): Promise<boolean>;
  /** After a failed write, tries to rewrite the whole state, so that this member votes again once its disk recovers. */
  repair(): Promise<void>;
  /** Why the last vote or applied slot could not be written; null once a write has succeeded again. */
  writeError(): RingError | null;
}

const POLL_INTERVAL_MS = 15;

class StoreReplica implements Replica {
  private lastWriteError: RingError | null = null;

  constructor(
    readonly store: Store,
    readonly self: Member,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  id(): string {
    return memberId(this.self);
  }

  isMember(): boolean {
    for (const member of this.store.controlState().members) if (memberId(member) === this.id()) return true;
    return false;
  }

  async put(command: StoreCommand): Promise<StoreResult> {
    const result = await this.store.put(command);
    if (result.tag === 'cannotWrite') {
      if (!this.lastWriteError) this.log.error('log write failed', { error: result.error.tag });
      this.lastWriteError = result.error;
    } else if (this.lastWriteError && this.store.writable()) {
      this.log.info('log writable again');
      this.lastWriteError = null;
    }
    return result;
  }

  async repair(): Promise<void> {
    if (!this.store.writable()) await this.put({ tag: 'rewrite' });
  }

  async learn(slot: number, batch: Batch): Promise<void> {
    await this.put({ tag: 'chosen', slot, batch });
  }

  private async waitUntil(condition: () => boolean, timeoutMs: number): Promise<boolean> {
    const deadline = this.clock.mono() + timeoutMs;
    while (!condition() && this.clock.mono() < deadline)
      await delay(this.clock, Math.min(POLL_INTERVAL_MS, deadline - this.clock.mono()));
    return condition();
  }

  async waitForSlot(slot: number, timeoutMs: number): Promise<void> {
    const isApplied = (): boolean => {
      return this.store.controlState().slot >= slot;
    };
    await this.waitUntil(isApplied, timeoutMs);
  }

  waitForLedger(timeoutMs: number): Promise<boolean> {
    const isKnown = (): boolean => {
      return this.store.controlState().ledger !== '';
    };
    return this.waitUntil(isKnown, timeoutMs);
  }

  writeError(): RingError | null {
    return this.lastWriteError;
  }

  controlState(): ControlState {
    return this.store.controlState();
  }
}

/** Creates a replica on top of a store. The incarnation of `self` may change while the replica is in use. */
export function createReplica(store: Store, self: Member, clock: Clock, log: Log): Replica {
  return new StoreReplica(store, self, clock, log);
}
