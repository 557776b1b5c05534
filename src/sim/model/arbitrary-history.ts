/** Random histories for fast-check, which shrinks those that fail. */
import fc from 'fast-check';
import type { ModelCommand, ModelHistory, ModelStep } from './history.js';

const FEWEST_STEPS = 8;
const MOST_STEPS = 40;

const node = fc.nat(5);
const flag = fc.boolean();

/** Waits are drawn evenly over orders of magnitude: races need short ones, joining long ones. */
const waitMs = fc.constantFrom(0, 1, 3, 8, 20, 45, 60, 90, 150, 300, 700, 1_500, 3_000);
const afterMs = fc.constantFrom(100, 600, 1_500, 2_500, 4_000);
const share = fc.constantFrom(0, 0.02, 0.1, 0.3);

function indexOf<K extends ModelCommand['kind']>(kind: K): fc.Arbitrary<K> {
  return fc.constant(kind);
}

const calls: fc.WeightedArbitrary<ModelCommand>[] = [
  { weight: 10, arbitrary: fc.record({ kind: indexOf('propose'), node, bytes: fc.constantFrom(1, 40, 400, 900) }) },
  { weight: 8, arbitrary: fc.record({ kind: indexOf('change'), node, onOlder: fc.constantFrom(false, false, true) }) },
  { weight: 5, arbitrary: fc.record({ kind: indexOf('resend'), node, change: fc.nat(7) }) },
  { weight: 7, arbitrary: fc.record({ kind: indexOf('read'), node }) },
];

const machines: fc.WeightedArbitrary<ModelCommand>[] = [
  { weight: 2, arbitrary: fc.record({ kind: indexOf('kill'), node }) },
  { weight: 5, arbitrary: fc.record({ kind: indexOf('powerLoss'), node, atWrite: fc.nat(12) }) },
  { weight: 1, arbitrary: fc.record({ kind: indexOf('powerLossOfAll') }) },
  { weight: 3, arbitrary: fc.record({ kind: indexOf('diskLoss'), node }) },
  { weight: 8, arbitrary: fc.record({ kind: indexOf('startAll') }) },
  { weight: 2, arbitrary: fc.record({ kind: indexOf('start'), node }) },
  { weight: 2, arbitrary: fc.record({ kind: indexOf('freeze'), node }) },
  { weight: 2, arbitrary: fc.record({ kind: indexOf('thawAll') }) },
];

const network: fc.WeightedArbitrary<ModelCommand>[] = [
  { weight: 3, arbitrary: fc.record({ kind: indexOf('cut'), from: node, to: node, bothWays: flag }) },
  { weight: 4, arbitrary: fc.record({ kind: indexOf('isolate'), node, bothWays: flag }) },
  { weight: 4, arbitrary: fc.record({ kind: indexOf('heal') }) },
  {
    weight: 3,
    arbitrary: fc.record({ kind: indexOf('disturb'), lost: share, twice: share, slow: share, overtake: share }),
  },
];

const membership: fc.WeightedArbitrary<ModelCommand>[] = [
  { weight: 2, arbitrary: fc.record({ kind: indexOf('join') }) },
  { weight: 1, arbitrary: fc.record({ kind: indexOf('leave'), node }) },
  { weight: 2, arbitrary: fc.record({ kind: indexOf('replaceLost'), node, afterMs }) },
  { weight: 2, arbitrary: fc.record({ kind: indexOf('replacePlanned'), node, afterMs }) },
];

const command = fc.oneof(...calls, ...machines, ...network, ...membership);

const step: fc.Arbitrary<ModelStep> = fc.record({ command, waitMs });

export const arbitraryHistory: fc.Arbitrary<ModelHistory> = fc.record({
  worldSeed: fc.noShrink(fc.integer({ min: 1, max: 2 ** 31 - 1 })),
  controllers: fc.constantFrom(3, 3, 4, 5),
  ringFiles: fc.constantFrom(3, 2),
  steps: fc.array(step, { minLength: FEWEST_STEPS, maxLength: MOST_STEPS, size: 'max' }),
});
