import { expect, test } from '@jest/globals';
import { createSimCore } from '../../sim/sim-core.js';

test('three idle controllers exchange little traffic', async () => {
  const core = createSimCore(1);
  core.startAll();
  expect(await core.until(4_000, () => core.whole(['h1', 'h2', 'h3']))).toBe(true);
  await core.world.advance(5_000);
  const before = core.sent();
  await core.world.advance(20_000);
  const { frames, bytes } = core.sent();
  expect((frames - before.frames) / 20).toBeLessThan(40);
  expect((bytes - before.bytes) / 20).toBeLessThan(8_000);
});
