/** fast-check arbitraries of random histories; fast-check shrinks a history that violates a rule. */
import fc from 'fast-check';
import type { ModelCommand, ModelHistory, ModelStep } from './history.js';

const MIN_STEPS = 8;
const MAX_STEPS = 40;

const node = fc.nat(5);
const anyBoolean = fc.boolean();

/** Waits are spread over orders of magnitude: races need short waits, joining needs long ones. */
const waitMs = fc.constantFrom(0, 1, 3, 8, 20, 45, 60, 90, 150, 300, 700, 1_500, 3_000);
const afterMs = fc.constantFrom(100, 600, 1_500, 2_500, 4_000);
const share = fc.constantFrom(0, 0.02, 0.1, 0.3);

function constantKind<K extends ModelCommand['kind']>(kind: K): fc.Arbitrary<K> {
  return fc.constant(kind);
}

const callCommands: fc.WeightedArbitrary<ModelCommand>[] = [
  {
    weight: 10,
    arbitrary: fc.record({ kind: constantKind('propose'), node, bytes: fc.constantFrom(1, 40, 400, 900) }),
  },
  {
    weight: 8,
    arbitrary: fc.record({ kind: constantKind('change'), node, onOlder: fc.constantFrom(false, false, true) }),
  },
  { weight: 5, arbitrary: fc.record({ kind: constantKind('resend'), node, change: fc.nat(7) }) },
  { weight: 7, arbitrary: fc.record({ kind: constantKind('read'), node }) },
];

const machineCommands: fc.WeightedArbitrary<ModelCommand>[] = [
  { weight: 2, arbitrary: fc.record({ kind: constantKind('kill'), node }) },
  { weight: 5, arbitrary: fc.record({ kind: constantKind('powerLoss'), node, atWrite: fc.nat(12) }) },
  { weight: 1, arbitrary: fc.record({ kind: constantKind('powerLossOfAll') }) },
  { weight: 3, arbitrary: fc.record({ kind: constantKind('diskLoss'), node }) },
  { weight: 8, arbitrary: fc.record({ kind: constantKind('startAll') }) },
  { weight: 2, arbitrary: fc.record({ kind: constantKind('start'), node }) },
  { weight: 2, arbitrary: fc.record({ kind: constantKind('freeze'), node }) },
  { weight: 2, arbitrary: fc.record({ kind: constantKind('thawAll') }) },
];

const networkCommands: fc.WeightedArbitrary<ModelCommand>[] = [
  { weight: 3, arbitrary: fc.record({ kind: constantKind('cut'), from: node, to: node, bothWays: anyBoolean }) },
  { weight: 4, arbitrary: fc.record({ kind: constantKind('isolate'), node, bothWays: anyBoolean }) },
  { weight: 4, arbitrary: fc.record({ kind: constantKind('heal') }) },
  {
    weight: 3,
    arbitrary: fc.record({ kind: constantKind('disturb'), lost: share, twice: share, slow: share, overtake: share }),
  },
];

const membershipCommands: fc.WeightedArbitrary<ModelCommand>[] = [
  { weight: 2, arbitrary: fc.record({ kind: constantKind('join') }) },
  { weight: 1, arbitrary: fc.record({ kind: constantKind('leave'), node }) },
  { weight: 2, arbitrary: fc.record({ kind: constantKind('replaceLost'), node, afterMs }) },
  { weight: 2, arbitrary: fc.record({ kind: constantKind('replacePlanned'), node, afterMs }) },
];

const command = fc.oneof(...callCommands, ...machineCommands, ...networkCommands, ...membershipCommands);

const step: fc.Arbitrary<ModelStep> = fc.record({ command, waitMs });

/** The random histories that a search draws from. */
export const arbitraryHistory: fc.Arbitrary<ModelHistory> = fc.record({
  worldSeed: fc.noShrink(fc.integer({ min: 1, max: 2 ** 31 - 1 })),
  controllers: fc.constantFrom(3, 3, 4, 5),
  ringFiles: fc.constantFrom(3, 2),
  steps: fc.array(step, { minLength: MIN_STEPS, maxLength: MAX_STEPS, size: 'max' }),
});
