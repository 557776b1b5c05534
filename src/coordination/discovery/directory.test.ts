import { describe, expect, test } from '@jest/globals';
import { createWorld } from '../../sim/world.js';
import type { Report } from '../../state/distribution/report.js';
import { DEFAULT_LIMITS } from '../../state/configuration/serving.js';
import type { RouteSettings, Serving } from '../../state/configuration/serving.js';
import { addressesFor, createDirectory, DIRECTORY_TUNING, homesOf } from './directory.js';
import type { ProxyStatus } from './directory.js';

function proxy(name: string, zone: string, more: Partial<ProxyStatus> = {}): ProxyStatus {
  return {
    name,
    zone,
    region: zone.split('-')[0] as string,
    http: name,
    ready: true,
    draining: false,
    sinceContactMs: 300,
    ...more,
  };
}
const FLEET = [
  proxy('a1', 'north-a'),
  proxy('a2', 'north-a'),
  proxy('b1', 'north-b'),
  proxy('c1', 'south-a'),
  proxy('d1', 'west-a'),
];
function without(names: readonly string[], how: Partial<ProxyStatus>): ProxyStatus[] {
  return FLEET.map((s) => (names.includes(s.name) ? { ...s, ...how } : s));
}
function answer(told: readonly ProxyStatus[], zone = 'north-a', near: readonly string[] = []): string {
  return addressesFor(told, { host: 'h.example', zone, region: zone.split('-')[0] as string }, { homes: [], near })
    .addresses.sort()
    .join(' ');
}

describe('where a caller is sent', () => {
  test('to the ready proxies of its own zone', () => {
    expect(answer(FLEET)).toBe('a1 a2');
    expect(answer(FLEET, 'north-b')).toBe('b1');
  });

  test.each([
    ['not ready', { ready: false }],
    ['unheard', { sinceContactMs: 2_100 }],
  ])(
    'one that is %s is left out; a zone with none is filled by its region, a region with none by the next',
    (_why, how) => {
      expect(answer(without(['a1'], how))).toBe('a2');
      expect(answer(without(['a1', 'a2'], how))).toBe('b1');
      expect(answer(without(['a1', 'a2', 'b1'], how), 'north-a', ['west', 'south'])).toBe('d1');
      expect(answer(without(['a1', 'a2', 'b1', 'd1'], how), 'north-a', ['west', 'south'])).toBe('c1');
      expect(answer(without(['a1', 'a2', 'b1'], how))).toBe('c1 d1');
    },
  );

  test('a zone that lost over half of its proxies shares with its region', () => {
    const more = [...FLEET, proxy('a3', 'north-a')];
    const lost = more.map((s) => (s.name === 'a1' || s.name === 'a2' ? { ...s, ready: false } : s));
    expect(answer(lost)).toBe('a3 b1');
    expect(answer(lost.map((s) => (s.ready ? s : { ...s, sinceContactMs: 31_000 })))).toBe('a3');
  });

  test('an unknown zone is served by its region, an unknown region by all', () => {
    expect(answer(FLEET, 'north-x')).toBe('a1 a2 b1');
    expect(answer(FLEET, 'east-a')).toBe('a1 a2 b1 c1 d1');
  });

  test('when none is heard, those last told as ready; when none ever was, nothing', () => {
    expect(answer(FLEET.map((s) => ({ ...s, sinceContactMs: 9_000 })))).toBe('a1 a2');
    expect(answer(FLEET.map((s) => ({ ...s, ready: false })))).toBe('');
    expect(answer([])).toBe('');
  });

  test('of many each host has its own 64, the same at each asking, and all are used alike', () => {
    const many: ProxyStatus[] = [];
    for (let i = 0; i < 200; i += 1) many.push(proxy(`s${i}`, 'north-a'));
    const uses = new Map<string, number>();
    for (let h = 0; h < 300; h += 1) {
      const caller = { host: `h${h}.example`, zone: 'north-a', region: 'north' };
      const response = addressesFor(many, caller, { homes: [], near: [] }).addresses;
      expect(response.length).toBe(DIRECTORY_TUNING.most);
      expect(new Set(response).size).toBe(response.length);
      expect(addressesFor([...many].reverse(), caller, { homes: [], near: [] }).addresses).toEqual(response);
      for (const a of response) uses.set(a, (uses.get(a) ?? 0) + 1);
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

  async function sentTo(host: string, callerRegion: string, controllerRegion: string): Promise<string> {
    const world = createWorld(3);
    const clock = world.clockOf(world.begin(world.host('core', 'a')));
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
      { reports: () => reports, lastContactAt: () => clock.mono() },
      () => serving,
      controllerRegion,
      clock,
    );
    directory.addressesFor({ host, zone: `${callerRegion}-z`, region: callerRegion });
    await world.advance(800);
    return directory
      .addressesFor({ host, zone: `${callerRegion}-z`, region: callerRegion })
      .addresses.sort()
      .join(' ');
  }

  test('is led to a home of the host that it asks for, whichever controller it asks', async () => {
    expect(await sentTo('bound.example', 'north', 'west')).toBe('south-1 south-2');
    expect(await sentTo('bound.example', 'south', 'west')).toBe('north-1 north-2');
    expect(await sentTo('bound.example', 'north', 'south')).toBe('south-1 south-2');
    expect(HOMES).toContain((await sentTo('bound.example', 'west', 'north')).split('-')[0]);
  });

  test('is led to the region of the controller where the host has no homes', async () => {
    expect(await sentTo('free.example', 'north', 'west')).toBe('west-1 west-2');
    expect(await sentTo('unknown.example', 'north', 'west')).toBe('west-1 west-2');
  });

  test('is led to proxies of its homes that were told to stop, while they take what comes, before any region that is no home', () => {
    const stopping = { ready: false, draining: true };
    const told = FLEET.map((s) => (s.zone === 'west-a' ? s : { ...s, ready: false }));
    const httpClient = { host: 'bound.example', zone: 'north-a', region: 'north' };
    const next = { homes: HOMES, near: ['west'] };
    const with1 = (name: string, how: Partial<ProxyStatus>) =>
      told.map((s) => (s.name === name ? { ...s, ...how } : s));
    expect(addressesFor(with1('b1', stopping), httpClient, next)).toEqual({ addresses: ['b1'], lasting: false });
    expect(addressesFor(with1('c1', stopping), httpClient, next)).toEqual({ addresses: ['c1'], lasting: false });
    expect(
      addressesFor(
        with1('c1', { ready: true }).map((s) => (s.name === 'b1' ? { ...s, ...stopping } : s)),
        httpClient,
        next,
      ),
    ).toEqual({ addresses: ['c1'], lasting: false });
    expect(addressesFor(with1('b1', { ...stopping, sinceContactMs: 2_100 }), httpClient, next)).toEqual({
      addresses: [],
      lasting: false,
    });
    expect(addressesFor(with1('b1', stopping), httpClient, { homes: [], near: ['west'] })).toEqual({
      addresses: ['d1'],
      lasting: false,
    });
  });

  test('is told to ask again soon, and so is nobody who is sent to ready proxies of its own region', () => {
    const httpClient = { host: 'h.example', zone: 'north-a', region: 'north' };
    const next = { homes: [], near: [] };
    expect(addressesFor(FLEET, httpClient, next).lasting).toBe(true);
    expect(addressesFor(without(['a1', 'a2'], { ready: false }), httpClient, next)).toEqual({
      addresses: ['b1'],
      lasting: true,
    });
    expect(addressesFor(without(['a1', 'a2', 'b1'], { ready: false }), httpClient, next).lasting).toBe(false);
  });

  test('finds the home first that most mappings of the host share', () => {
    const shared = servingWith([
      ['h', ['a', 'b']],
      ['h', ['b']],
      ['other', ['a']],
    ]);
    expect(homesOf(shared, 'h')).toEqual(['b', 'a']);
    expect(homesOf(null, 'h')).toEqual([]);
  });
});

describe('while all proxies of the homes of a host restart in order', () => {
  const AT_HOME = ['a1', 'a2', 'b1', 'c1'];
  const stopped = without(AT_HOME, { ready: false });
  function sentTo(told: readonly ProxyStatus[], homes: readonly string[] = ['north', 'south']): string {
    const caller = { host: 'bound.example', zone: 'north-a', region: 'north' };
    return addressesFor(told, caller, { homes, near: ['west'] }).addresses.join(' ');
  }
  function withOne(name: string, how: Partial<ProxyStatus>): ProxyStatus[] {
    return stopped.map((s) => (s.name === name ? { ...s, ...how } : s));
  }

  test('nobody past the homes is named; a host without homes goes on there', () => {
    expect(sentTo(stopped)).toBe('');
    expect(sentTo(stopped, [])).toBe('d1');
  });

  test('the first that is ready again is named', () => {
    expect(sentTo(withOne('c1', { ready: true }))).toBe('c1');
    expect(sentTo(withOne('b1', { ready: true }))).toBe('b1');
  });

  test('one that is gone without having said so lets the caller go on, until it is forgotten', () => {
    expect(sentTo(withOne('a2', { ready: true, sinceContactMs: 2_100 }))).toBe('d1');
    expect(sentTo(withOne('c1', { ready: true, sinceContactMs: 2_100 }))).toBe('d1');
    expect(sentTo(withOne('a2', { ready: true, sinceContactMs: 30_100 }))).toBe('');
  });

  test('those that do not come back in time are not waited for', () => {
    const late = stopped.map((s) => (s.ready ? s : { ...s, sinceContactMs: DIRECTORY_TUNING.restartMs + 100 }));
    expect(sentTo(late)).toBe('d1');
    expect(sentTo(late.map((s) => (s.name === 'b1' ? { ...s, sinceContactMs: 4_900 } : s)))).toBe('');
  });

  test('a caller of a region whose proxies are all gone is not kept waiting', () => {
    expect(sentTo(FLEET.filter((s) => !AT_HOME.includes(s.name)))).toBe('d1');
  });
});
