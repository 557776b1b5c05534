import { err, ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import { faultAt } from '../../protocol/codecs.js';
import type { ConfigFault } from '../../protocol/codecs.js';
import { readServing } from '../../protocol/serving.js';
import type { Belief } from '../../state/belief.js';
import type { Change } from '../../state/entry.js';
import { EMPTY_SERVING } from '../../state/serving.js';
import type { Serving } from '../../state/serving.js';
import { withKeptOrder } from '../../state/serving-order.js';
import { differences } from '../../state/settings-tree.js';
import { pause } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { Ledger } from './ledger.js';

export type NumberedFault =
  | { readonly tag: 'stale'; readonly number: number }
  | { readonly tag: 'invalid'; readonly faults: readonly ConfigFault[] }
  | { readonly tag: 'noMajority' };

export type Taken = { readonly tag: 'taken'; readonly number: number };
export type Edit = (serving: Serving) => Result<unknown, readonly ConfigFault[]>;

export type NumberedDoor = {
  readonly replace: (base: number, draft: unknown, mark: string) => Promise<Result<Taken, NumberedFault>>;
  readonly amend: (base: number, edit: Edit, mark: string) => Promise<Result<Taken, NumberedFault>>;
  readonly read: () => Promise<Result<Serving, NumberedFault>>;
  readonly evacuate: (zone: string, begun: boolean) => Promise<Result<{ readonly tag: 'taken' }, NumberedFault>>;
};

export type NumberedDoorDeps = {
  readonly ledger: Pick<Ledger, 'belief' | 'settle' | 'propose'>;
  readonly clock: Clock;
  readonly settleMs?: number;
  readonly agreeMs?: number;
};

const SETTLE_MS = 900;
const AGREE_MS = 3_000;

const NO_MAJORITY: NumberedFault = { tag: 'noMajority' };

function servingOf(b: Belief): Serving {
  return b.configuration.serving ?? EMPTY_SERVING;
}

function operationPrefix(mark: string): string {
  return `operator:${mark}@`;
}

function numberTaken(b: Belief, mark: string): boolean {
  const prefix = operationPrefix(mark);
  for (let i = b.operations.length - 1; i >= 0; i -= 1) {
    const op = b.operations[i];
    if (op && op.outcome.tag === 'applied' && op.id.startsWith(prefix)) return true;
  }
  return false;
}

function nextEvacuation(b: Belief, zone: string): string {
  const prefix = `evacuation:${zone}@`;
  for (let i = b.operations.length - 1; i >= 0; i -= 1) {
    const op = b.operations[i];
    if (op?.id.startsWith(prefix)) return `${prefix}${op.slot}`;
  }
  return `${prefix}none`;
}

function changesTo(b: Belief, next: Serving): Change[] {
  const before = b.configuration.serving;
  if (!before) return [{ path: ['serving'], value: next }];
  const out: Change[] = [];
  for (const c of differences(before, next)) out.push({ ...c, path: ['serving', ...c.path] });
  return out;
}

export function createNumberedDoor(deps: NumberedDoorDeps): NumberedDoor {
  const { ledger, clock } = deps;
  const settleMs = deps.settleMs ?? SETTLE_MS;
  const agreeMs = deps.agreeMs ?? AGREE_MS;

  async function tooLate(): Promise<boolean> {
    await pause(clock, settleMs);
    return false;
  }
  function settled(): Promise<boolean> {
    return Promise.race([ledger.settle(settleMs), tooLate()]);
  }

  async function amend(base: number, edit: Edit, mark: string): Promise<Result<Taken, NumberedFault>> {
    const until = clock.mono() + agreeMs;
    while (clock.mono() < until) {
      if (!(await settled())) return err(NO_MAJORITY);
      const b = ledger.belief();
      const now = servingOf(b);
      if (numberTaken(b, mark)) return ok({ tag: 'taken', number: now.number });
      if (now.number !== base) return err({ tag: 'stale', number: now.number });
      const made = edit(now);
      if (!made.ok) return err({ tag: 'invalid', faults: made.fault });
      const read = readServing(made.value);
      if (!read.ok) return err({ tag: 'invalid', faults: read.fault });
      const { number } = read.value;
      if (number <= now.number) return err({ tag: 'invalid', faults: [faultAt(['number'], `a number above ${now.number}`, number)] });
      const changes = changesTo(b, withKeptOrder(now, read.value));
      const act = { tag: 'configured' as const, base: b.epoch, changes };
      const got = await ledger.propose({ id: `${operationPrefix(mark)}${b.epoch}`, cause: `The operator put number ${number} on ${base}.`, act }, until - clock.mono());
      if (!got.ok) return err(NO_MAJORITY);
      if (got.value.outcome.tag === 'applied') return ok({ tag: 'taken', number });
    }
    return err(NO_MAJORITY);
  }

  function replace(base: number, draft: unknown, mark: string): Promise<Result<Taken, NumberedFault>> {
    function whole(): Result<unknown, never> {
      return ok(draft);
    }
    return amend(base, whole, mark);
  }

  async function read(): Promise<Result<Serving, NumberedFault>> {
    return (await settled()) ? ok(servingOf(ledger.belief())) : err(NO_MAJORITY);
  }

  // The id is the same for every order since the zone's last one, so that an order which is agreed late, after another took its place, folds to nothing.
  async function evacuate(zone: string, begun: boolean): Promise<Result<{ readonly tag: 'taken' }, NumberedFault>> {
    const cause = begun ? `The operator evacuates ${zone}.` : `The operator hands ${zone} back.`;
    const until = clock.mono() + agreeMs;
    while (clock.mono() < until) {
      if (!(await settled())) return err(NO_MAJORITY);
      const id = nextEvacuation(ledger.belief(), zone);
      const got = await ledger.propose({ id, cause, act: { tag: 'evacuation', zone, begun } }, until - clock.mono());
      if (!got.ok) return err(NO_MAJORITY);
      if ((ledger.belief().evacuated[zone] !== undefined) === begun) return ok({ tag: 'taken' });
    }
    return err(NO_MAJORITY);
  }

  return { replace, amend, read, evacuate };
}
