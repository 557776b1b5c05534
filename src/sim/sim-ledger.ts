/** A replicated log without replicas, for tests of the services that use a log. */
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import type { Ledger } from '../coordination/consensus/ledger.js';
import type { CommittedEntry, EntryDraft, ProposeError } from '../coordination/consensus/proposal.js';
import { emptyControlState, foldBatch } from '../state/consensus/control-state.js';
import type { ControlState, Outcome } from '../state/consensus/control-state.js';
import type { Command, Entry } from '../state/consensus/entry.js';
import { delay } from '../transport/clock.js';
import type { Clock } from '../transport/clock.js';
import { createWorld } from './world.js';
import type { World } from './world.js';

/** What the operators' calls use of a ledger. */
type SharedLedger = Pick<Ledger, 'controlState' | 'linearizableRead' | 'propose' | 'removeSilentMembers'>;

/** The shared log and its faults. */
export type SimLedger = {
  readonly world: World;
  readonly clock: Clock;
  readonly controlState: ControlState;
  readonly entryBytes: readonly number[];
  readonly fold: (id: string, command: Command) => CommittedEntry;
  /** The log as a server sees it that is this many milliseconds away. */
  readonly ledgerWithDelay: (ms: number) => SharedLedger;
  /** Makes linearizable reads fail after 60 s. */
  readonly cut: (on: boolean) => void;
  /** Drops the acknowledgements of proposals, which are still applied. */
  readonly dropReplies: (on: boolean) => void;
  /** Runs the simulation until a promise is settled; null after the time limit. */
  readonly run: <T>(work: Promise<T>, limitMs?: number) => Promise<T | null>;
};

/**
 * Creates a log that several servers share: a proposal is applied after a delay, and acknowledged after the same delay
 * again.
 */
export function createSimLedger(seed: number): SimLedger {
  const world = createWorld(seed);
  const clock = world.clockOf(world.startProcess(world.host('core', 'a')));
  const controlState = emptyControlState();
  const entryBytes: number[] = [];
  let isCut = false;
  let dropsReplies = false;
  let proposals = 0;

  function fold(id: string, command: Command): CommittedEntry {
    const entry: Entry = { id, author: 'sim', wall: 0, cause: 'A test proposed it.', act: command };
    entryBytes.push(JSON.stringify(entry).length);
    const outcomes = foldBatch(controlState, controlState.slot + 1, {
      id: `batch-${controlState.slot}`,
      entries: [entry],
    });
    return { slot: controlState.slot, outcome: outcomes[0] as Outcome };
  }
  function currentControlState(): ControlState {
    return controlState;
  }
  async function linearizableRead(): Promise<boolean> {
    await delay(clock, isCut ? 60_000 : 10);
    return !isCut;
  }
  function noneIsSilent(): Promise<boolean> {
    return Promise.resolve(true);
  }
  function ledgerWithDelay(ms: number): SharedLedger {
    async function propose(draft: EntryDraft, waitMs: number): Promise<Result<CommittedEntry, ProposeError>> {
      await delay(clock, ms);
      proposals += 1;
      const committed = fold(draft.id ?? `op-${proposals}`, draft.act);
      await delay(clock, dropsReplies ? waitMs : ms);
      return dropsReplies ? err({ tag: 'noMajority' }) : ok(committed);
    }
    return { controlState: currentControlState, linearizableRead, propose, removeSilentMembers: noneIsSilent };
  }
  function cut(on: boolean): void {
    isCut = on;
  }
  function dropReplies(on: boolean): void {
    dropsReplies = on;
  }
  async function run<T>(work: Promise<T>, limitMs = 10_000): Promise<T | null> {
    const results: T[] = [];
    function onSettled(value: T): void {
      results.push(value);
    }
    function isDone(): boolean {
      return results.length > 0;
    }
    void work.then(onSettled);
    await world.until(limitMs, isDone);
    return results[0] ?? null;
  }
  return {
    world,
    clock,
    controlState,
    entryBytes,
    fold,
    ledgerWithDelay,
    cut,
    dropReplies,
    run,
  };
}
