import { describe, expect, test } from '@jest/globals';
import { createWorld } from '../../sim/world.js';
import type { Report } from '../../state/distribution/report.js';
import { DEFAULT_LIMITS } from '../../state/configuration/serving.js';
import type { RouteSettings, Serving } from '../../state/configuration/serving.js';
import { addressesFor, createDirectory, DIRECTORY_TUNING, homesOf } from './directory.js';
import type { ProxyStatus } from './directory.js';

function proxy(name: string, zone: string, overrides: Partial<ProxyStatus> = {}): ProxyStatus {
  return {
    name,
    zone,
    region: zone.split('-')[0] as string,
    http: name,
    ready: true,
    draining: false,
    sinceContactMs: 300,
    ...overrides,
  };
}
const FLEET = [
  proxy('a1', 'north-a'),
  proxy('a2', 'north-a'),
  proxy('b1', 'north-b'),
  proxy('c1', 'south-a'),
  proxy('d1', 'west-a'),
];
function fleetWith(names: readonly string[], overrides: Partial<ProxyStatus>): ProxyStatus[] {
  return FLEET.map((s) => (names.includes(s.name) ? { ...s, ...overrides } : s));
}
function addressesIn(reported: readonly ProxyStatus[], zone = 'north-a', others: readonly string[] = []): string {
  return addressesFor(
    reported,
    { host: 'h.example', zone, region: zone.split('-')[0] as string },
    { homes: [], others },
  )
    .addresses.sort()
    .join(' ');
}

describe('proxies returned to a caller', () => {
  test('are the ready proxies of its own zone', () => {
    expect(addressesIn(FLEET)).toBe('a1 a2');
    expect(addressesIn(FLEET, 'north-b')).toBe('b1');
  });

  test.each([
    ['not ready', { ready: false }],
    ['out of contact', { sinceContactMs: 2_100 }],
  ])(
    'a proxy that is %s is left out; an empty zone falls back to its region, an empty region to the next one',
    (_why, overrides) => {
      expect(addressesIn(fleetWith(['a1'], overrides))).toBe('a2');
      expect(addressesIn(fleetWith(['a1', 'a2'], overrides))).toBe('b1');
      expect(addressesIn(fleetWith(['a1', 'a2', 'b1'], overrides), 'north-a', ['west', 'south'])).toBe('d1');
      expect(addressesIn(fleetWith(['a1', 'a2', 'b1', 'd1'], overrides), 'north-a', ['west', 'south'])).toBe('c1');
      expect(addressesIn(fleetWith(['a1', 'a2', 'b1'], overrides))).toBe('c1 d1');
    },
  );

  test('a zone that lost more than half of its proxies falls back to its whole region', () => {
    const more = [...FLEET, proxy('a3', 'north-a')];
    const lost = more.map((s) => (s.name === 'a1' || s.name === 'a2' ? { ...s, ready: false } : s));
    expect(addressesIn(lost)).toBe('a3 b1');
    expect(addressesIn(lost.map((s) => (s.ready ? s : { ...s, sinceContactMs: 31_000 })))).toBe('a3');
  });

  test('an unknown zone is served by its region, an unknown region by all proxies', () => {
    expect(addressesIn(FLEET, 'north-x')).toBe('a1 a2 b1');
    expect(addressesIn(FLEET, 'east-a')).toBe('a1 a2 b1 c1 d1');
  });

  test('if none is in contact, those last reported ready are returned; if none was ever ready, none', () => {
    expect(addressesIn(FLEET.map((s) => ({ ...s, sinceContactMs: 9_000 })))).toBe('a1 a2');
    expect(addressesIn(FLEET.map((s) => ({ ...s, ready: false })))).toBe('');
    expect(addressesIn([])).toBe('');
  });

  test('of many proxies each host gets its own 64, the same on every lookup, and all proxies are used evenly', () => {
    const many: ProxyStatus[] = [];
    for (let i = 0; i < 200; i += 1) many.push(proxy(`s${i}`, 'north-a'));
    const uses = new Map<string, number>();
    for (let h = 0; h < 300; h += 1) {
      const caller = { host: `h${h}.example`, zone: 'north-a', region: 'north' };
      const response = addressesFor(many, caller, { homes: [], others: [] }).addresses;
      expect(response.length).toBe(DIRECTORY_TUNING.maxAddresses);
      expect(new Set(response).size).toBe(response.length);
      expect(addressesFor([...many].reverse(), caller, { homes: [], others: [] }).addresses).toEqual(response);
      for (const address of response) uses.set(address, (uses.get(address) ?? 0) + 1);
    }
    const counts = [...uses.values()];
    expect(uses.size).toBe(200);
    expect(Math.max(...counts)).toBeLessThan(2 * Math.min(...counts));
  });
});

function servingWith(homesByHost: readonly (readonly [string, readonly string[]])[]): Serving {
  const mappings: Record<string, RouteSettings> = {};
  homesByHost.forEach(([host, homes], i) => {
    mappings[`m${i}`] = {
      at: i,
      host,
      prefix: `/${i}/`,
      kind: 'once',
      resumable: false,
      pinned: false,
      rank: 0,
      deadlineMs: 1_000,
      aimMs: null,
      pauseMs: null,
      attempts: 1,
      shares: [{ model: 'm', share: 1 }],
      split: false,
      homes,
    };
  });
  return { number: 1, mappings, models: {}, limits: DEFAULT_LIMITS };
}

describe('a caller whose own region has no proxy left', () => {
  const HOMES = ['north', 'south'];
  const serving = servingWith([
    ['bound.example', HOMES],
    ['bound.example', []],
    ['free.example', []],
  ]);

  async function addressesFrom(host: string, callerRegion: string, controllerRegion: string): Promise<string> {
    const world = createWorld(3);
    const clock = world.clockOf(world.startProcess(world.host('core', 'a')));
    const startedAt = clock.mono();
    const reports = new Map<string, Report>();
    for (const region of ['north', 'south', 'west']) {
      for (const n of [1, 2]) {
        const reporter = `${region}-${n}`;
        reports.set(reporter, {
          reporter,
          http: reporter,
          zone: `${region}-z`,
          region,
          ready: region !== callerRegion,
        } as Report);
      }
    }
    const directory = createDirectory(
      { reports: () => reports, lastContactAt: () => clock.mono(), firstContactAt: () => startedAt },
      () => serving,
      controllerRegion,
      clock,
    );
    expect(directory.addressesFor({ host, zone: `${callerRegion}-z`, region: callerRegion }).addresses).toEqual([]);
    await world.advance(800);
    return directory
      .addressesFor({ host, zone: `${callerRegion}-z`, region: callerRegion })
      .addresses.sort()
      .join(' ');
  }

  test('is sent to a home of the requested host, whichever controller it asks', async () => {
    expect(await addressesFrom('bound.example', 'north', 'west')).toBe('south-1 south-2');
    expect(await addressesFrom('bound.example', 'south', 'west')).toBe('north-1 north-2');
    expect(await addressesFrom('bound.example', 'north', 'south')).toBe('south-1 south-2');
    expect(HOMES).toContain((await addressesFrom('bound.example', 'west', 'north')).split('-')[0]);
  });

  // Guards against a wait for first reports that begins with the first look-up: it was refused long after the start.
  test('is answered at its first look-up if the proxies have reported for long enough', async () => {
    const world = createWorld(3);
    const clock = world.clockOf(world.startProcess(world.host('core', 'a')));
    const startedAt = clock.mono();
    const report = { reporter: 'p', http: 'p', zone: 'z', region: 'north', ready: true } as Report;
    const reported = {
      reports: () => new Map([['p', report]]),
      lastContactAt: () => clock.mono(),
      firstContactAt: () => startedAt,
    };
    const directory = createDirectory(reported, () => null, 'north', clock);
    await world.advance(12_000);
    const answer = directory.addressesFor({ host: 'h.example', zone: 'z', region: 'north' });
    expect(answer.addresses).toEqual(['p']);
  });

  test('is sent to the region of the controller if the host has no homes', async () => {
    expect(await addressesFrom('free.example', 'north', 'west')).toBe('west-1 west-2');
    expect(await addressesFrom('unknown.example', 'north', 'west')).toBe('west-1 west-2');
  });

  test('is sent to draining proxies of its homes, which still accept requests, before any region that is no home', () => {
    const stopping = { ready: false, draining: true };
    const reported = FLEET.map((s) => (s.zone === 'west-a' ? s : { ...s, ready: false }));
    const caller = { host: 'bound.example', zone: 'north-a', region: 'north' };
    const fallback = { homes: HOMES, others: ['west'] };
    const withOne = (name: string, overrides: Partial<ProxyStatus>) =>
      reported.map((s) => (s.name === name ? { ...s, ...overrides } : s));
    expect(addressesFor(withOne('b1', stopping), caller, fallback)).toEqual({ addresses: ['b1'], lasting: false });
    expect(addressesFor(withOne('c1', stopping), caller, fallback)).toEqual({ addresses: ['c1'], lasting: false });
    expect(
      addressesFor(
        withOne('c1', { ready: true }).map((s) => (s.name === 'b1' ? { ...s, ...stopping } : s)),
        caller,
        fallback,
      ),
    ).toEqual({ addresses: ['c1'], lasting: false });
    expect(addressesFor(withOne('b1', { ...stopping, sinceContactMs: 2_100 }), caller, fallback)).toEqual({
      addresses: [],
      lasting: false,
    });
    expect(addressesFor(withOne('b1', stopping), caller, { homes: [], others: ['west'] })).toEqual({
      addresses: ['d1'],
      lasting: false,
    });
  });

  test('is told to ask again soon, unlike a caller that is sent to ready proxies of its own region', () => {
    const caller = { host: 'h.example', zone: 'north-a', region: 'north' };
    const fallback = { homes: [], others: [] };
    expect(addressesFor(FLEET, caller, fallback).lasting).toBe(true);
    expect(addressesFor(fleetWith(['a1', 'a2'], { ready: false }), caller, fallback)).toEqual({
      addresses: ['b1'],
      lasting: true,
    });
    expect(addressesFor(fleetWith(['a1', 'a2', 'b1'], { ready: false }), caller, fallback).lasting).toBe(false);
  });

  test('gets the home first that most routes of the host share', () => {
    const shared = servingWith([
      ['h', ['a', 'b']],
      ['h', ['b']],
      ['other', ['a']],
    ]);
    expect(homesOf(shared, 'h')).toEqual(['b', 'a']);
    expect(homesOf(null, 'h')).toEqual([]);
  });
});

describe('while all proxies of the homes of a host restart in an orderly way', () => {
  const AT_HOME = ['a1', 'a2', 'b1', 'c1'];
  const stopped = fleetWith(AT_HOME, { ready: false });
  function addressesIn(reported: readonly ProxyStatus[], homes: readonly string[] = ['north', 'south']): string {
    const caller = { host: 'bound.example', zone: 'north-a', region: 'north' };
    return addressesFor(reported, caller, { homes, others: ['west'] }).addresses.join(' ');
  }
  function withOne(name: string, overrides: Partial<ProxyStatus>): ProxyStatus[] {
    return stopped.map((s) => (s.name === name ? { ...s, ...overrides } : s));
  }

  test('no proxy outside the homes is returned; a host without homes falls back to other regions', () => {
    expect(addressesIn(stopped)).toBe('');
    expect(addressesIn(stopped, [])).toBe('d1');
  });

  test('the first proxy that is ready again is returned', () => {
    expect(addressesIn(withOne('c1', { ready: true }))).toBe('c1');
    expect(addressesIn(withOne('b1', { ready: true }))).toBe('b1');
  });

  test('a proxy lost without announcing it lets the caller fall back to other regions until it is forgotten', () => {
    expect(addressesIn(withOne('a2', { ready: true, sinceContactMs: 2_100 }))).toBe('d1');
    expect(addressesIn(withOne('c1', { ready: true, sinceContactMs: 2_100 }))).toBe('d1');
    expect(addressesIn(withOne('a2', { ready: true, sinceContactMs: 30_100 }))).toBe('');
  });

  test('proxies that are not back in time are not waited for', () => {
    const late = stopped.map((s) => (s.ready ? s : { ...s, sinceContactMs: DIRECTORY_TUNING.restartTimeoutMs + 100 }));
    expect(addressesIn(late)).toBe('d1');
    expect(addressesIn(late.map((s) => (s.name === 'b1' ? { ...s, sinceContactMs: 4_900 } : s)))).toBe('');
  });

  test('a caller whose homes have no known proxies left does not wait', () => {
    expect(addressesIn(FLEET.filter((s) => !AT_HOME.includes(s.name)))).toBe('d1');
  });
});
