/**
 * This controller's copy of the ledger: its store, its identity, and whether its disk takes writes. The parts of the
 * ledger (voter, proposer, reader, membership changes) share one replica, which `ledger.ts` makes.
 *
 * Invariant: what `put` answers with anything but `cannotWrite` is on the disk.
 */
import { memberId } from '../../state/consensus/control-state.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import type { Batch, Member } from '../../state/consensus/entry.js';
import { delay } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { RingError } from '../../transport/ring.js';
import type { Store, StoreAnswer, StoreCommand } from './store.js';

/** The store of one controller under its present identity. */
export interface Replica {
  readonly store: Store;
  readonly self: Member;
  controlState(): ControlState;
  /** The identity under which this controller votes now; it changes when the controller joins anew. */
  id(): string;
  isMember(): boolean;
  put(command: StoreCommand): Promise<StoreAnswer>;
  /** Folds a chosen batch into its slot, if that is the next one. */
  learn(slot: number, batch: Batch): Promise<void>;
  /** Resolves once `slot` is folded, or after `waitMs`. */
  slotDone(slot: number, waitMs: number): Promise<void>;
  /** Resolves true once the ledger is known: a blank controller learns it from the others in its first second. */
  knowsLedger(waitMs: number): Promise<boolean>;
  /** After a failed write: tries to write the whole state anew, so that this member votes again once its disk takes it. */
  repair(): Promise<void>;
  /** Why the last vote or fold could not be written; null once something was written again. */
  blockedBy(): RingError | null;
}

const POLL_MS = 15;

class StoreReplica implements Replica {
  private blocked: RingError | null = null;

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

  async put(command: StoreCommand): Promise<StoreAnswer> {
    const answer = await this.store.put(command);
    if (answer.tag === 'cannotWrite') {
      if (!this.blocked) this.log.error('log write failed', { error: answer.error.tag });
      this.blocked = answer.error;
    } else if (this.blocked && this.store.writable()) {
      this.log.info('log writable again');
      this.blocked = null;
    }
    return answer;
  }

  async repair(): Promise<void> {
    if (!this.store.writable()) await this.put({ tag: 'rewrite' });
  }

  async learn(slot: number, batch: Batch): Promise<void> {
    await this.put({ tag: 'chosen', slot, batch });
  }

  private async waitUntil(test: () => boolean, waitMs: number): Promise<boolean> {
    const until = this.clock.mono() + waitMs;
    while (!test() && this.clock.mono() < until) await delay(this.clock, Math.min(POLL_MS, until - this.clock.mono()));
    return test();
  }

  async slotDone(slot: number, waitMs: number): Promise<void> {
    const isDone = (): boolean => {
      return this.store.controlState().slot >= slot;
    };
    await this.waitUntil(isDone, waitMs);
  }

  knowsLedger(waitMs: number): Promise<boolean> {
    const isKnown = (): boolean => {
      return this.store.controlState().ledger !== '';
    };
    return this.waitUntil(isKnown, waitMs);
  }

  blockedBy(): RingError | null {
    return this.blocked;
  }

  controlState(): ControlState {
    return this.store.controlState();
  }
}

/** A replica over a store; `self` may change its incarnation while it runs. */
export function createReplica(store: Store, self: Member, clock: Clock, log: Log): Replica {
  return new StoreReplica(store, self, clock, log);
}
