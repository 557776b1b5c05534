import { expect, test } from '@jest/globals';
import { createSimFleet } from '../sim/sim-fleet.js';
import { statusText } from './inspect-text.js';

test('the status has one line each for the losses that the ledger and the claims tolerate, with a warning at none', async () => {
  const fleet = createSimFleet(3);
  expect(await fleet.start()).toBe(true);
  await fleet.run(4_000);
  async function statusLines(): Promise<readonly string[]> {
    const response = await fleet.operator(0, 'GET', '/v1/status');
    return response.ok ? statusText(response.value.body).split('\n') : [];
  }
  expect((await statusLines()).slice(1, 3)).toEqual([
    'core: 3 of 3 members in touch, 3 holding all, bears 1 further loss',
    'claims: 3 of 3 members in touch, 3 holding all, bears 1 further loss',
  ]);
  expect((await statusLines()).find((line) => line.includes('controller-2'))).toMatch(
    /^ {2}controller-2 +controller +at-1 +alive /,
  );
  fleet.kill('controller-2');
  await fleet.run(4_000);
  expect((await statusLines())[1]).toBe(
    'core: 2 of 3 members in touch, 2 holding all, bears 0 further losses  WARNING: the next loss may stop it',
  );
  fleet.kill('controller-3');
  await fleet.run(4_000);
  expect((await statusLines())[1]).toBe(
    'core: 1 of 3 members in touch, unknown holding all, bears unknown further losses  WARNING: no majority knows; nothing is told',
  );
});
