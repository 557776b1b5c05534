import { describe, expect, jest, test } from '@jest/globals';
import { createRelay } from '../coordination/forwarding/relay.js';
import { runEdgeDay } from './edge-day.js';
import type { EdgeDayOptions } from './edge-day.js';

const BLOCKS = 20;
const DAYS_A_BLOCK = 100;

test.each(Array.from({ length: BLOCKS }, (_, i) => i))(
  'days of one proxy with troubled workers keep all rules, block %i',
  async (block) => {
    for (let seed = block * DAYS_A_BLOCK; seed < (block + 1) * DAYS_A_BLOCK; seed += 1) {
      const { broken, open, held } = await runEdgeDay(seed, { createRelay });
      expect({ seed, broken, open, held }).toEqual({ seed, broken: [], open: 0, held: 0 });
    }
  },
);

test('without trouble every caller that stays is served', async () => {
  for (let seed = 0; seed < 30; seed += 1) {
    const { broken, journal } = await runEdgeDay(seed, { createRelay, trouble: 0, freezes: false });
    const unserved = journal.asked.filter(
      (asked) => asked.leftAt === null && (asked.status !== 200 || asked.end !== 'whole'),
    );
    expect({ seed, broken, unserved }).toEqual({ seed, broken: [], unserved: [] });
  }
});

describe('a deliberate break is seen', () => {
  async function rulesBroken(options: EdgeDayOptions): Promise<string[]> {
    const rules = new Set<string>();
    for (let seed = 0; seed < 200; seed += 1)
      for (const { rule } of (await runEdgeDay(seed, options)).broken) rules.add(rule);
    return [...rules];
  }

  test.each([
    ['a reset that is told as no connection', 'resetToldAsNotConnected', ['twice', 'refused']],
    ["answers whose id isn't looked at", 'idsIgnored', ['mixed', 'twice', 'refused']],
    ['a cut that is told as an end', 'cutToldAsEnd', ['mixed', 'order']],
  ] as const)('%s', async (_what, sabotage, rules) => {
    expect(await rulesBroken({ createRelay, sabotage })).toEqual(expect.arrayContaining([...rules]));
  });

  test.each([
    ['a send after a reset', 'resetWritten', { tag: 'repeat', resume: false }, ['twice']],
    ['a refusal after a reset', 'resetWritten', { tag: 'refuse', retryAfterS: null }, ['refused']],
    ['an answer that is begun and ended though it was cut', 'answerCut', { tag: 'passOn' }, ['order']],
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

  test('a proxy that goes on at once after a standstill', async () => {
    jest.resetModules();
    jest.unstable_mockModule('../state/forwarding/resume-delay.js', () => ({
      createResumeDelay: () => ({ observe: () => null }),
    }));
    const broken = await import('../coordination/forwarding/relay.js');
    expect(await rulesBroken({ createRelay: broken.createRelay })).toContain('gone');
    jest.unstable_unmockModule('../state/forwarding/resume-delay.js');
  });
});
