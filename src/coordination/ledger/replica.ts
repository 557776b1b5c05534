/**
 * This controller's copy of the ledger: its store, its identity, and whether its disk takes writes. The parts of the
 * ledger (voter, proposer, reader, membership changes) share one replica, which `ledger.ts` makes.
 *
 * Invariant: what `put` answers with anything but `cannotWrite` is on the disk.
 */
import { memberId } from '../../state/control-state.js';
import type { ControlState } from '../../state/control-state.js';
import type { Batch, Member } from '../../state/entry.js';
import { pause } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { RingFault } from '../../transport/ring.js';
import type { Store, StoreAnswer, StoreCommand } from './store.js';

export type Replica = {
  readonly store: Store;
  readonly self: Member;
  readonly controlState: () => ControlState;
  /** The identity under which this controller votes now; it changes when the controller joins anew. */
  readonly id: () => string;
  readonly isMember: () => boolean;
  readonly put: (command: StoreCommand) => Promise<StoreAnswer>;
  /** Folds a chosen batch into its slot, if that is the next one. */
  readonly learn: (slot: number, batch: Batch) => Promise<void>;
  /** Resolves once `slot` is folded, or after `waitMs`. */
  readonly slotDone: (slot: number, waitMs: number) => Promise<void>;
  /** Resolves true once the ledger is known: a blank controller learns it from the others in its first second. */
  readonly knowsLedger: (waitMs: number) => Promise<boolean>;
  /** After a failed write: tries to write the whole state anew, so that this member votes again once its disk takes it. */
  readonly mend: () => Promise<void>;
  /** Why the last vote or fold could not be written; null once something was written again. */
  readonly blockedBy: () => RingFault | null;
};

const POLL_MS = 15;

export function createReplica(store: Store, self: Member, clock: Clock, log: Log): Replica {
  let blocked: RingFault | null = null;

  function id(): string {
    return memberId(self);
  }
  function isMember(): boolean {
    for (const m of store.controlState().members) if (memberId(m) === id()) return true;
    return false;
  }

  async function put(command: StoreCommand): Promise<StoreAnswer> {
    const answer = await store.put(command);
    if (answer.tag === 'cannotWrite') {
      if (!blocked) log.error(`Cannot write the ring (${answer.fault.tag}); nothing is acknowledged until it can.`);
      blocked = answer.fault;
    } else if (blocked && store.writable()) {
      log.info('The ring can be written again.');
      blocked = null;
    }
    return answer;
  }
  async function mend(): Promise<void> {
    if (!store.writable()) await put({ tag: 'rewrite' });
  }
  async function learn(slot: number, batch: Batch): Promise<void> {
    await put({ tag: 'chosen', slot, batch });
  }
  async function when(test: () => boolean, waitMs: number): Promise<boolean> {
    const until = clock.mono() + waitMs;
    while (!test() && clock.mono() < until) await pause(clock, Math.min(POLL_MS, until - clock.mono()));
    return test();
  }
  async function slotDone(slot: number, waitMs: number): Promise<void> {
    function isDone(): boolean {
      return store.controlState().slot >= slot;
    }
    await when(isDone, waitMs);
  }
  function knowsLedger(waitMs: number): Promise<boolean> {
    function isKnown(): boolean {
      return store.controlState().ledger !== '';
    }
    return when(isKnown, waitMs);
  }
  function blockedBy(): RingFault | null {
    return blocked;
  }
  return {
    store,
    self,
    controlState: store.controlState,
    id,
    isMember,
    put,
    mend,
    learn,
    slotDone,
    knowsLedger,
    blockedBy,
  };
}
