import { describe, expect, test } from '@jest/globals';
import { BUYERS, makeTrace, replay, TRACES } from './replay.js';

const settings = { target: 4, nExtra: 2, holdS: 600, hours: 48 };

describe('replay of preemption traces', () => {
  test.each(TRACES)(
    'over a %s trace the scaler keeps the target and costs less than on-demand machines only',
    (name) => {
      const trace = makeTrace(name, 11, settings.hours);
      const end = Object.fromEntries(BUYERS.map((b) => [b, replay(trace, b, settings)]));
      const scaler = end['skyserve'];
      expect(scaler?.availability).toBeGreaterThan(0.95);
      expect(scaler?.cost).toBeLessThan(0.8);
      expect(end['onDemandOnly']?.cost).toBeCloseTo(1, 2);
      expect(scaler?.availability).toBeGreaterThan((end['staticSpread']?.availability ?? 1) - 0.01);
    },
  );

  test('the same seed gives the same trace, and another seed a different one', () => {
    function traceText(seed: number): string {
      const t = makeTrace('volatile', seed, 12);
      return t.zones.map((z) => Array.from({ length: t.steps }, (_, i) => t.room(z, i)).join('')).join();
    }
    expect(traceText(1)).toBe(traceText(1));
    expect(traceText(1)).not.toBe(traceText(2));
    expect(traceText(1)).toContain('0');
  });
});
