import { expect, test } from '@jest/globals';
import { createTally } from './tally.js';

const places = {
  '10.0.0.1:1': { role: 'proxy', zone: 'a-1', region: 'a' },
  '10.0.0.1:2': { role: 'proxy', zone: 'a-1', region: 'a' },
  '10.0.0.1:3': { role: 'controller', zone: 'a-2', region: 'a' },
  '10.0.0.1:4': { role: 'worker', zone: 'b-1', region: 'b' },
};

test('frames are counted by peer role, distance, direction and kind, and only at the end that dialled', () => {
  const tally = createTally(places);
  const meter = tally.meterOf(places['10.0.0.1:1']);
  const probe = { t: 'call', id: 1, m: { kind: 'probe' } };
  meter.connections('10.0.0.1:2', true, 1);
  meter.frame('out', '10.0.0.1:2', true, 100, probe);
  meter.frame('out', '10.0.0.1:2', true, 50, probe);
  meter.frame('in', '10.0.0.1:3', true, 70, { t: 'tell', m: { kind: 'beat' } });
  meter.frame('in', '10.0.0.1:50123', false, 999, probe);
  meter.connections('10.0.0.1:2', true, -1);
  expect(tally.rows()).toEqual({
    'proxy proxy inZone connections open': { n: 0, bytes: 0 },
    'proxy proxy inZone connections dialled': { n: 1, bytes: 0 },
    'proxy proxy inZone out probe': { n: 2, bytes: 150 },
    'proxy controller betweenZones in beat': { n: 1, bytes: 70 },
  });
});

test('calls are counted with the sizes of their bodies, and paths that differ only in an id count as one', async () => {
  const tally = createTally(places);
  const call = async () =>
    ({ ok: true, value: { status: 200, headers: {}, body: { a: 1 }, lines: [], abandon: () => {} } }) as never;
  const httpClient = tally.meteredHttpClient(places['10.0.0.1:1'], { call });
  await httpClient.call({ method: 'GET', address: '10.0.0.1:4', path: '/lab/workers/w1?x=2', timeoutMs: 1 });
  await httpClient.call({ method: 'GET', address: '10.0.0.1:4', path: '/lab/workers/w2', timeoutMs: 1 });
  expect(tally.rows()).toEqual({
    'proxy worker betweenRegions out GET:/lab/workers/:id': { n: 2, bytes: 600 },
    'proxy worker betweenRegions in GET:/lab/workers/:id': { n: 2, bytes: 614 },
  });
});
