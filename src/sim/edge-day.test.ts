import { describe, expect, jest, test } from '@jest/globals';
import { createRelay } from '../coordination/forwarding/relay.js';
import { runEdgeDay } from './edge-day.js';
import type { EdgeDayOptions } from './edge-day.js';

const BLOCK_COUNT = 20;
const DAYS_PER_BLOCK = 100;

test.each(Array.from({ length: BLOCK_COUNT }, (_, i) => i))(
  'days of one proxy with faulty workers break no rule, block %i',
  async (block) => {
    for (let seed = block * DAYS_PER_BLOCK; seed < (block + 1) * DAYS_PER_BLOCK; seed += 1) {
      const { broken, open, held } = await runEdgeDay(seed, { createRelay });
      expect({ seed, broken, open, held }).toEqual({ seed, broken: [], open: 0, held: 0 });
    }
  },
);

test('without faults every caller that stays connected is served', async () => {
  for (let seed = 0; seed < 30; seed += 1) {
    const { broken, journal } = await runEdgeDay(seed, { createRelay, faultShare: 0, mayFreeze: false });
    const unserved = journal.asked.filter(
      (request) => request.disconnectedAt === null && (request.status !== 200 || request.end !== 'whole'),
    );
    expect({ seed, broken, unserved }).toEqual({ seed, broken: [], unserved: [] });
  }
});

describe('a deliberate fault is detected', () => {
  async function rulesBroken(options: EdgeDayOptions): Promise<string[]> {
    const rules = new Set<string>();
    for (let seed = 0; seed < 200; seed += 1)
      for (const { rule } of (await runEdgeDay(seed, options)).broken) rules.add(rule);
    return [...rules];
  }

  test.each([
    ['a reset that is reported as a failed connection', 'resetToldAsNotConnected', ['twice', 'refused']],
    ["responses whose id isn't checked", 'idsIgnored', ['mixed', 'twice', 'refused']],
    ['a truncated response that is reported as complete', 'cutToldAsEnd', ['mixed', 'order']],
  ] as const)('%s', async (_what, sabotage, rules) => {
    expect(await rulesBroken({ createRelay, sabotage })).toEqual(expect.arrayContaining([...rules]));
  });

  test.each([
    ['a retry after a reset', 'resetWritten', { tag: 'repeat', resume: false }, ['twice']],
    ['a rejection after a reset', 'resetWritten', { tag: 'refuse', retryAfterS: null }, ['refused']],
    ['a truncated response that is passed on and ended as complete', 'answerCut', { tag: 'passOn' }, ['order']],
  ] as const)('%s', async (_what, outcome, decision, rules) => {
    jest.resetModules();
    const real = await import('../state/forwarding/attempt-outcome.js');
    jest.unstable_mockModule('../state/forwarding/attempt-outcome.js', () => ({
      ...real,
      decideAfterAttempt: (...given: Parameters<typeof real.decideAfterAttempt>) =>
        given[0].tag === outcome ? decision : real.decideAfterAttempt(...given),
    }));
    const broken = await import('../coordination/forwarding/relay.js');
    expect(await rulesBroken({ createRelay: broken.createRelay })).toEqual(expect.arrayContaining([...rules]));
    jest.unstable_unmockModule('../state/forwarding/attempt-outcome.js');
  });

  test('a proxy that continues at once after a process pause', async () => {
    jest.resetModules();
    jest.unstable_mockModule('../state/forwarding/resume-delay.js', () => ({
      createResumeDelay: () => ({ observe: () => null }),
    }));
    const broken = await import('../coordination/forwarding/relay.js');
    expect(await rulesBroken({ createRelay: broken.createRelay })).toContain('gone');
    jest.unstable_unmockModule('../state/forwarding/resume-delay.js');
  });
});
