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

export type SimLedger = {
  readonly world: World;
  readonly clock: Clock;
  readonly controlState: ControlState;
  readonly entryBytes: readonly number[];
  readonly fold: (id: string, command: Command) => CommittedEntry;
  readonly ledgerAfter: (ms: number) => Pick<Ledger, 'controlState' | 'linearizableRead' | 'propose'>;
  readonly cut: (on: boolean) => void;
  readonly deaf: (on: boolean) => void;
  readonly run: <T>(work: Promise<T>, limitMs?: number) => Promise<T | null>;
};

// One agreed ledger that several servers share: a proposal takes its way there, is folded, and is answered after the way back.
export function createSimLedger(seed: number): SimLedger {
  const world = createWorld(seed);
  const clock = world.clockOf(world.begin(world.host('core', 'a')));
  const controlState = emptyControlState();
  const entryBytes: number[] = [];
  let isCut = false;
  let isDeaf = false;
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
  function ledgerAfter(ms: number): Pick<Ledger, 'controlState' | 'linearizableRead' | 'propose'> {
    async function propose(draft: EntryDraft, waitMs: number): Promise<Result<CommittedEntry, ProposeError>> {
      await delay(clock, ms);
      proposals += 1;
      const done = fold(draft.id ?? `op-${proposals}`, draft.act);
      await delay(clock, isDeaf ? waitMs : ms);
      return isDeaf ? err({ tag: 'noMajority' }) : ok(done);
    }
    return { controlState: currentControlState, linearizableRead, propose };
  }
  function cut(on: boolean): void {
    isCut = on;
  }
  function deaf(on: boolean): void {
    isDeaf = on;
  }
  async function run<T>(work: Promise<T>, limitMs = 10_000): Promise<T | null> {
    const got: T[] = [];
    function settled(value: T): void {
      got.push(value);
    }
    function isDone(): boolean {
      return got.length > 0;
    }
    void work.then(settled);
    await world.until(limitMs, isDone);
    return got[0] ?? null;
  }
  return { world, clock, controlState, entryBytes, fold, ledgerAfter, cut, deaf, run };
}
