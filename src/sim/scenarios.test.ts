import { expect, test } from '@jest/globals';
import { playScenario, SCENARIO_NAMES } from './scenarios.js';

test.each(SCENARIO_NAMES.flatMap((name, i) => [[name, 300 + i] as const, [name, 400 + i] as const]))(
  '%s (seed %i)',
  async (name, seed) => {
    expect((await playScenario(name, seed)).broken).toEqual([]);
  },
);
