import { describe, expect, test } from '@jest/globals';
import { err, ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import { workerEntry } from '../../sim/builders.js';
import { createSimNet } from '../../sim/sim-wire.js';
import type { SimNet } from '../../sim/sim-wire.js';
import { createWorld } from '../../sim/world.js';
import type { Host, Proc, World } from '../../sim/world.js';
import type { WorkerEntry } from '../../state/discovery/worker-entry.js';
import type { Clock } from '../../transport/clock.js';
import { createQuietLog } from '../../transport/log.js';
import { createRng } from '../../transport/rng.js';
import type { WorkerListError, WorkerListFeed, WorkerListReader } from '../discovery/worker-list-feed.js';
import { createPushedListFeed } from '../discovery/pushed-list-feed.js';
import { createPeers } from '../messaging/peers.js';
import type { Peers } from '../messaging/peers.js';
import { createWorkerListRole } from './worker-list-role.js';
import type { WorkerListRole } from './worker-list-role.js';

const LAG_MS = 800;
const READ_WAIT_MS = 900;

type Head = { readonly host: Host; readonly address: string; duty: WorkerListRole | null };
type Edge = { readonly host: Host; readonly address: string; feed: WorkerListFeed | null; seen: number };
type Listing = { readonly at: number; readonly entries: readonly WorkerEntry[] };
type Room = {
  readonly world: World;
  readonly net: SimNet;
  readonly controllers: Head[];
  readonly edges: Edge[];
  readonly calls: { readonly at: number; readonly by: string; readonly good: boolean }[];
  readonly platform: { down: boolean; listings: Listing[]; readonly host: Host };
  readonly startHead: (h: Head) => void;
  readonly startEdge: (e: Edge) => void;
};

function worker(n: number, more: Partial<WorkerEntry> = {}): WorkerEntry {
  return workerEntry(`w${n}`, `z${n % 3}`, { address: `10.9.0.${n}:80`, region: `r${n % 3}`, ...more });
}

function createRoom(seed: number, controllers: number, edges: number): Room {
  const world = createWorld(seed);
  const net = createSimNet(world);
  for (const [a, b] of [
    ['z0', 'z1'],
    ['z0', 'z2'],
    ['z1', 'z2'],
  ] as const)
    world.setDelay(a, b, 35);
  const platform: Room['platform'] = {
    down: false,
    listings: [{ at: -10_000, entries: [1, 2, 3, 4, 5, 6].map((n) => worker(n)) }],
    host: world.host('platform', 'z0'),
  };
  world.begin(platform.host);
  const calls: { at: number; by: string; good: boolean }[] = [];
  const room: Room = { world, net, controllers: [], edges: [], calls, platform, startHead, startEdge };
  for (let i = 0; i < controllers; i += 1)
    room.controllers.push({ host: world.host(`head-${i}`, `z${i % 3}`), address: `10.0.0.${i + 1}:1`, duty: null });
  for (let i = 0; i < edges; i += 1)
    room.edges.push({ host: world.host(`edge-${i}`, `z${i % 3}`), address: `10.1.0.${i}:1`, feed: null, seen: 0 });

  function readerOf(proc: Proc): WorkerListReader {
    const clock = world.clockOf(proc);
    function read(): Promise<Result<readonly WorkerEntry[], WorkerListError>> {
      return new Promise((resolve) => {
        const shut = platform.down || world.isCut(proc.host, platform.host) || world.isCut(platform.host, proc.host);
        calls.push({ at: world.now(), by: proc.host.name, good: !shut });
        const shown = platform.listings.filter((l) => l.at <= world.now() - LAG_MS);
        const last = shown[shown.length - 1] as Listing;
        const entries = last.entries.map((e) =>
          e.remainingMs === null ? e : { ...e, remainingMs: Math.max(0, e.remainingMs - (world.now() - last.at)) },
        );
        clock.timer(shut ? READ_WAIT_MS : 2 * world.delay(proc.host, platform.host), () =>
          resolve(shut ? err({ tag: 'listSilent' }) : ok(entries)),
        );
      });
    }
    return { read };
  }
  function peersOf(proc: Proc, address: string): Peers {
    const peers = createPeers(net.wireOf(proc), world.clockOf(proc), createQuietLog().component('peers'));
    void peers.open(address);
    return peers;
  }
  function startHead(h: Head): void {
    const proc = world.begin(h.host);
    const begun = world.now();
    const ofWorld = world.clockOf(proc);
    const clock: Clock = { ...ofWorld, mono: () => ofWorld.mono() - begun };
    h.duty = createWorkerListRole({
      self: h.address,
      reader: readerOf(proc),
      controllers: () => room.controllers.map((x) => x.address),
      peers: peersOf(proc, h.address),
      clock,
      rng: createRng(seed * 31 + h.host.life * 7 + Number(h.host.name.slice(5))),
      log: createQuietLog().component('list'),
    });
  }
  function startEdge(e: Edge): void {
    const proc = world.begin(e.host);
    const near = [...room.controllers].sort(
      (a, b) => Number(a.host.zone !== e.host.zone) - Number(b.host.zone !== e.host.zone),
    );
    const feed = createPushedListFeed({
      reader: readerOf(proc),
      controllers: () => near.map((x) => x.address),
      peers: peersOf(proc, e.address),
      clock: world.clockOf(proc),
      rng: createRng(seed * 17 + e.host.life * 5 + Number(e.host.name.slice(5)) * 3),
      log: createQuietLog().component('list'),
    });
    feed.events.on('changed', () => (e.seen += 1));
    e.feed = feed;
  }
  return room;
}
async function started(seed: number, controllers = 3, edges = 6): Promise<Room> {
  const room = createRoom(seed, controllers, edges);
  for (const h of room.controllers) room.startHead(h);
  for (const e of room.edges) room.startEdge(e);
  await room.world.advance(6_000);
  return room;
}
function list(room: Room, entries: readonly WorkerEntry[]): number {
  const at = room.world.now();
  room.platform.listings.push({ at, entries });
  return at + LAG_MS;
}
function reader(room: Room): Head {
  const all = room.controllers.filter((h) => h.duty?.reading() === true && h.host.running && !h.host.frozen);
  expect(all.map((h) => h.host.name)).toHaveLength(1);
  return all[0] as Head;
}
function callsSince(room: Room, at: number): { controllers: number; edges: number; readers: number } {
  const since = room.calls.filter((c) => c.at >= at);
  return {
    controllers: since.filter((c) => c.by.startsWith('head')).length,
    edges: since.filter((c) => c.by.startsWith('edge')).length,
    readers: new Set(since.map((c) => c.by)).size,
  };
}
function seesLeaving(e: Edge, id: string): boolean {
  return e.feed?.entries().some((w) => w.id === id && w.leaving) ?? false;
}
async function msUntilAllSee(room: Room, id: string, shownAt: number, edges = room.edges): Promise<number> {
  expect(await room.world.until(20_000, () => edges.every((e) => seesLeaving(e, id)))).toBe(true);
  return room.world.now() - shownAt;
}
const DRAINED = [1, 2, 3, 4, 5, 6].map((n) => worker(n, n === 2 ? { leaving: true, remainingMs: 5_000 } : {}));

describe('the list by duty', () => {
  test('on a calm day one controller reads, once a second, and no proxy does', async () => {
    const room = await started(1);
    const from = room.world.now();
    const sent = room.net.sent().bytes;
    await room.world.advance(20_000);
    reader(room);
    expect(callsSince(room, from)).toEqual({ controllers: 20, edges: 0, readers: 1 });
    expect(room.edges.every((e) => e.feed?.entries().length === 6)).toBe(true);
    expect(room.edges.map((e) => e.seen)).toEqual([1, 1, 1, 1, 1, 1]);
    expect((room.net.sent().bytes - sent) / 20).toBeLessThan(9 * 200);
  });

  test('350 proxies do not poll, neither on a calm day nor when the reader is killed', async () => {
    const room = await started(2, 5, 350);
    const from = room.world.now();
    await room.world.advance(5_000);
    expect(callsSince(room, from).edges).toBe(0);
    const killed = reader(room);
    const at = room.world.now();
    room.world.kill(killed.host);
    await room.world.advance(10_000);
    reader(room);
    expect(callsSince(room, at).edges).toBe(0);
    expect(callsSince(room, at).controllers).toBeLessThan(16);
  });

  test.each([
    ['killed', 3, (room: Room) => room.world.kill(reader(room).host)],
    [
      'without power',
      4,
      (room: Room) => {
        const { host } = reader(room);
        host.powered = false;
        room.world.kill(host);
      },
    ],
    ['frozen', 5, (room: Room) => room.world.freeze(reader(room).host)],
    ['cut off', 6, (room: Room) => cutOff(room, reader(room), true, true)],
    ['unheard', 7, (room: Room) => cutOff(room, reader(room), true, false)],
    ['deaf', 8, (room: Room) => cutOff(room, reader(room), false, true)],
  ] as const)(
    'with the reader %s, every proxy in touch sees a drain within 2 s of its being listed',
    async (_, seed, strike) => {
      for (let s = 0; s < 5; s += 1) {
        const room = await started(seed + 100 * s);
        await room.world.advance(170 * s);
        strike(room);
        const shownAt = list(room, DRAINED);
        const before = room.calls.length;
        expect(await msUntilAllSee(room, 'w2', shownAt)).toBeLessThan(2_000);
        await room.world.advance(3_000);
        const since = room.world.now();
        await room.world.advance(5_000);
        expect(callsSince(room, since).edges).toBe(0);
        expect(room.calls.slice(before).filter((c) => c.by.startsWith('edge')).length).toBeLessThanOrEqual(
          room.edges.length,
        );
      }
    },
  );

  test('a reader that was frozen finds that another reads, and stops at once', async () => {
    const room = await started(9);
    const old = reader(room);
    room.world.freeze(old.host);
    await room.world.advance(7_000);
    const now = reader(room);
    const thawed = room.world.now();
    room.world.thaw(old.host);
    await room.world.advance(500);
    const from = room.world.now();
    await room.world.advance(5_000);
    expect(reader(room)).toBe(now);
    expect(room.calls.filter((c) => c.at > thawed && c.by === old.host.name)).toEqual([]);
    expect(callsSince(room, from)).toEqual({ controllers: 5, edges: 0, readers: 1 });
  });

  test.each([30, 31, 32, 33])(
    'a reader that is back soon after its death does not hold up the next one (seed %i)',
    async (seed) => {
      const room = await started(seed);
      const old = reader(room);
      const before = room.calls.length;
      await room.world.until(2_000, () => room.calls.length > before);
      const last = room.world.now();
      await room.world.advance(100);
      room.world.kill(old.host);
      await room.world.advance(500);
      room.startHead(old);
      expect(await room.world.until(5_000, () => room.calls.some((c) => c.at > last))).toBe(true);
      expect(room.world.now() - last).toBeLessThan(1_700);
    },
  );

  test('a reader that wakes and reaches no other at first, yet hears one, lets it read on', async () => {
    const room = await started(15);
    const old = reader(room);
    room.world.freeze(old.host);
    await room.world.advance(4_000);
    const now = reader(room);
    for (const h of room.controllers) if (h !== old) room.world.cut(old.host.name, h.host.name);
    const thawed = room.world.now();
    room.world.thaw(old.host);
    await room.world.advance(800);
    room.world.healAll();
    await room.world.advance(4_000);
    expect(reader(room)).toBe(now);
    expect(room.calls.filter((c) => c.at > thawed && c.by === old.host.name)).toEqual([]);
  });

  test('what a frozen proxy finds waiting at waking does not pass for fresh', async () => {
    const room = await started(10);
    const edge = room.edges[0] as Edge;
    room.world.freeze(edge.host);
    await room.world.advance(2_000);
    list(room, DRAINED);
    await room.world.advance(200);
    for (const h of room.controllers) cutBoth(room, h.host, edge.host);
    await room.world.advance(3_000);
    const wokeAt = room.world.now();
    room.world.thaw(edge.host);
    await room.world.advance(1);
    expect(edge.feed?.asOf()).toBeLessThan(wokeAt);
    expect(await room.world.until(1_000, () => seesLeaving(edge, 'w2'))).toBe(true);
    expect(edge.feed?.asOf()).toBeGreaterThanOrEqual(wokeAt);
  });

  test('a proxy that hears no controller reads the platform itself, at most once a second, until it hears one again', async () => {
    const room = await started(11);
    const edge = room.edges[1] as Edge;
    for (const h of room.controllers) cutBoth(room, h.host, edge.host);
    const from = room.world.now();
    await room.world.advance(10_000);
    const own = callsSince(room, from).edges;
    expect(own).toBeGreaterThanOrEqual(6);
    expect(own).toBeLessThanOrEqual(9);
    const shownAt = list(room, DRAINED);
    expect(await msUntilAllSee(room, 'w2', shownAt, [edge])).toBeLessThan(2_000);
    room.world.healAll();
    await room.world.advance(1_000);
    const healed = room.world.now();
    await room.world.advance(6_000);
    expect(callsSince(room, healed).edges).toBe(0);
    expect(seesLeaving(edge, 'w2')).toBe(true);
  });

  test('while the platform is down the proxies wait, and see the list soon after it is back', async () => {
    const room = await started(12, 3, 40);
    room.platform.down = true;
    const from = room.world.now();
    await room.world.advance(20_000);
    const seen = callsSince(room, from);
    expect(seen.controllers / 20).toBeLessThan(2.5);
    expect(seen.edges / 20).toBeLessThan(12);
    const perSecond = new Map<number, number>();
    for (const c of room.calls)
      if (c.at >= from && c.by.startsWith('edge'))
        perSecond.set(Math.floor(c.at / 1_000), (perSecond.get(Math.floor(c.at / 1_000)) ?? 0) + 1);
    expect(Math.max(...perSecond.values())).toBeLessThanOrEqual(20);
    expect(room.edges.every((e) => e.feed?.entries().length === 6)).toBe(true);
    room.platform.down = false;
    const shownAt = list(room, DRAINED);
    expect(await msUntilAllSee(room, 'w2', shownAt)).toBeLessThan(2_000);
    await room.world.advance(3_000);
    const back = room.world.now();
    await room.world.advance(3_000);
    expect(callsSince(room, back)).toEqual({ controllers: 3, edges: 0, readers: 1 });
  });

  test('when only the reader cannot reach the platform, another controller takes over', async () => {
    const room = await started(13);
    const blind = reader(room);
    cutBoth(room, blind.host, room.platform.host);
    const shownAt = list(room, DRAINED);
    expect(await msUntilAllSee(room, 'w2', shownAt)).toBeLessThan(3_000);
    expect(reader(room)).not.toBe(blind);
  });

  test('all controllers killed at once: the proxies read by themselves, and follow again what starts from nothing', async () => {
    const room = await started(14);
    for (let i = 0; i < 3; i += 1) {
      const killed = reader(room);
      room.world.kill(killed.host);
      await room.world.advance(3_000);
      room.startHead(killed);
      await room.world.advance(3_000);
    }
    for (const h of room.controllers) room.world.kill(h.host);
    await room.world.advance(900);
    for (const h of room.controllers) room.startHead(h);
    const shownAt = list(room, DRAINED);
    expect(await msUntilAllSee(room, 'w2', shownAt)).toBeLessThan(2_000);
    await room.world.advance(3_000);
    const from = room.world.now();
    await room.world.advance(5_000);
    expect(callsSince(room, from)).toEqual({ controllers: 5, edges: 0, readers: 1 });
  });

  test('messages that come twice, late and out of order neither bring back an older list nor stop the news', async () => {
    for (let seed = 20; seed < 24; seed += 1) {
      const room = await started(seed);
      room.net.disturb({ slow: 0.3, twice: 0.3, overtake: 0.3 });
      const releases = [1, 1, 1];
      const back: string[] = [];
      for (const e of room.edges) {
        let seen = 0;
        e.feed?.events.on('changed', (c) => {
          const at = c.entries.reduce((n, w) => n + Number(w.release.slice(1)), 0);
          if (at < seen) back.push(`${e.host.name} from ${seen} back to ${at}`);
          seen = at;
        });
      }
      for (let i = 2; i < 40; i += 1) {
        releases[i % 3] = i;
        list(
          room,
          [1, 2, 3].map((n) => worker(n, { release: `v${releases[n - 1]}` })),
        );
        await room.world.advance(900);
      }
      await room.world.advance(2_500);
      expect(back).toEqual([]);
      for (const e of room.edges) expect(e.feed?.entries().map((w) => w.release)).toEqual(releases.map((n) => `v${n}`));
    }
  });

  test('what is left of a worker counts down between readings', async () => {
    const room = await started(25);
    list(room, DRAINED);
    await room.world.advance(3_000);
    const feed = room.edges[0]?.feed as WorkerListFeed;
    const left = feed.entries().find((w) => w.id === 'w2')?.remainingMs ?? 0;
    const dueIn = left - (room.world.now() - (feed.asOf() ?? 0));
    expect(dueIn).toBeGreaterThan(1_500);
    expect(dueIn).toBeLessThan(2_200);
    expect(room.edges[0]?.seen).toBe(2);
  });
});

function cutBoth(room: Room, a: Host, b: Host): void {
  room.world.cut(a.name, b.name);
  room.world.cut(b.name, a.name);
}
function cutOff(room: Room, head: Head, outwards: boolean, inwards: boolean): void {
  for (const h of room.world.hosts()) {
    if (h === head.host) continue;
    if (outwards) room.world.cut(head.host.name, h.name);
    if (inwards) room.world.cut(h.name, head.host.name);
  }
}
