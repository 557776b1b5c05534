import { Type } from '@sinclair/typebox';
import { ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import { readerOf } from '../protocol/read-shape.js';
import { MACHINES_PATH, PRICES_PATH, readOrder } from '../protocol/cloud-wire.js';
import type { CloudOrder, Machine } from '../protocol/cloud-wire.js';
import type { Price } from '../state/scaling/scaler-observation.js';
import { delay } from '../transport/clock.js';
import type { Clock } from '../transport/clock.js';
import type { HttpClient, HttpServer, HttpReply, HttpRequest } from '../transport/http.js';
import type { Journal } from '../transport/journal.js';
import { newId } from '../transport/rng.js';
import type { Rng } from '../transport/rng.js';
import type { Address, WireError } from '../transport/wire.js';

export type CloudSettings = {
  readonly address: Address;
  readonly platform: Address;
  readonly prices: Readonly<Record<string, Price>>;
  readonly forgetsKeys?: boolean;
  readonly listLagMs?: number;
};

export type StandinCloud = {
  readonly address: Address;
  readonly machines: () => readonly Machine[];
  readonly stop: () => Promise<void>;
};

export type CloudDeps = {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly httpServer: HttpServer;
  readonly httpClient: HttpClient;
  readonly journal: Journal;
};

type Slot = { readonly id: string; readonly address: Address; readonly zone: string; readonly at: number };
type Held = { machine: Machine; readonly order: CloudOrder; readonly slot: Slot; readonly since: number };

const readIdle = readerOf(Type.Object({ id: Type.String(), address: Type.String(), zone: Type.String() }));
const readReclaim = readerOf(Type.Object({ machine: Type.String(), remainingMs: Type.Number() }));
const readZoneFault = readerOf(
  Type.Object({ zone: Type.String(), spot: Type.Optional(Type.Boolean()), onDemand: Type.Optional(Type.Boolean()) }),
);
const readLose = readerOf(Type.Object({ replies: Type.Integer({ minimum: 0 }) }));
const readDown = readerOf(Type.Object({ down: Type.Boolean() }));
const readPrice = readerOf(Type.Object({ zone: Type.String(), spot: Type.Number(), onDemand: Type.Number() }));

const IDLE_FRESH_MS = 3_000;

export async function startStandinCloud(
  settings: CloudSettings,
  deps: CloudDeps,
): Promise<Result<StandinCloud, WireError>> {
  const { clock, rng, httpClient, journal } = deps;
  const idle = new Map<string, Slot>();
  const held = new Map<string, Held>();
  const byKey = new Map<string, string>();
  const dry = new Set<string>();
  const prices = new Map<string, Price>(Object.entries(settings.prices));
  let loseReplies = 0;
  let pricesDown = false;

  function note(event: string, extra: Readonly<Record<string, unknown>>): void {
    journal.record({ who: 'cloud', at: clock.wall(), event, ...extra });
  }

  async function onIdle(req: HttpRequest): Promise<HttpReply> {
    const read = readIdle(req.body);
    if (!read.ok) return { status: 400, body: {} };
    for (const rental of held.values()) {
      if (rental.slot.id !== read.value.id || rental.machine.state === 'gone') continue;
      if (rental.machine.state === 'starting') return { status: 200, body: {} };
      rental.machine = { ...rental.machine, state: 'gone' };
      note('gone', { machine: rental.machine.id, key: rental.machine.key });
    }
    idle.set(read.value.id, { ...read.value, at: clock.mono() });
    return { status: 200, body: {} };
  }

  function freeIn(zone: string): Slot | null {
    for (const slot of idle.values()) {
      if (slot.zone === zone && clock.mono() - slot.at < IDLE_FRESH_MS) return slot;
    }
    return null;
  }

  async function place(req: HttpRequest): Promise<HttpReply> {
    const read = readOrder(req.body);
    if (!read.ok) return { status: 400, body: { error: read.error } };
    const order = read.value;
    const already = settings.forgetsKeys === true ? undefined : byKey.get(order.key);
    const reply = already ? shown(already) : await fresh(order);
    if (loseReplies > 0) {
      loseReplies -= 1;
      note('replyLost', { key: order.key });
      await delay(clock, 60_000);
    }
    return reply;
  }
  function shown(id: string): HttpReply {
    return { status: 200, body: { machine: held.get(id)?.machine } };
  }
  async function fresh(order: CloudOrder): Promise<HttpReply> {
    const slot = dry.has(`${order.kind} ${order.zone}`) ? null : freeIn(order.zone);
    if (!slot) {
      note('noCapacity', { key: order.key, zone: order.zone, kind: order.kind });
      return { status: 409, body: { error: 'noCapacity' } };
    }
    idle.delete(slot.id);
    const id = newId(rng, 'm');
    const machine: Machine = {
      id,
      key: order.key,
      zone: order.zone,
      kind: order.kind,
      model: order.model,
      state: 'starting',
    };
    const rental: Held = { machine, order, slot, since: clock.mono() };
    held.set(id, rental);
    byKey.set(order.key, id);
    note('machine', {
      machine: id,
      key: order.key,
      zone: order.zone,
      kind: order.kind,
      model: order.model,
      worker: slot.id,
    });
    void start(rental);
    return shown(id);
  }

  async function start(held: Held): Promise<void> {
    const got = await httpClient.call({
      method: 'POST',
      address: held.slot.address,
      path: '/lab/boot',
      body: { machine: held.machine.id, model: held.order.model, kind: held.order.kind },
      timeoutMs: 3_000,
    });
    if (held.machine.state !== 'starting') return;
    const booted = got.ok && got.value.status === 200;
    held.machine = { ...held.machine, state: booted ? 'running' : 'gone' };
    if (!booted) note('gone', { machine: held.machine.id, key: held.machine.key });
  }

  async function list(req: HttpRequest): Promise<HttpReply> {
    const machines: Machine[] = [];
    for (const rental of held.values())
      if (
        rental.order.owner === req.query['owner'] &&
        rental.machine.state !== 'gone' &&
        clock.mono() - rental.since >= (settings.listLagMs ?? 0)
      )
        machines.push(rental.machine);
    return { status: 200, body: { machines } };
  }

  async function end(held: Held): Promise<void> {
    if (held.machine.state === 'gone') return;
    held.machine = { ...held.machine, state: 'gone' };
    note('gone', { machine: held.machine.id, key: held.machine.key });
    await httpClient.call({
      method: 'POST',
      address: held.slot.address,
      path: '/lab/halt',
      body: {},
      timeoutMs: 3_000,
    });
  }

  async function release(req: HttpRequest): Promise<HttpReply> {
    const h = held.get(req.params['id'] ?? '');
    if (!h) return { status: 404, body: {} };
    await end(h);
    return { status: 200, body: {} };
  }

  async function reclaim(req: HttpRequest): Promise<HttpReply> {
    const read = readReclaim(req.body);
    const h = read.ok ? held.get(read.value.machine) : undefined;
    if (!read.ok || !h || h.machine.state !== 'running') return { status: 404, body: {} };
    const ms = read.value.remainingMs;
    h.machine = { ...h.machine, state: 'reclaiming' };
    note('reclaiming', { machine: h.machine.id, key: h.machine.key, remainingMs: ms });
    await httpClient.call({
      method: 'POST',
      address: settings.platform,
      path: `/lab/workers/${h.slot.id}/drain`,
      body: { remainingMs: ms },
      timeoutMs: 2_000,
    });
    function done(): void {
      void end(h as Held);
    }
    clock.timer(ms, done);
    return { status: 200, body: {} };
  }

  async function zoneFault(req: HttpRequest): Promise<HttpReply> {
    const read = readZoneFault(req.body);
    if (!read.ok) return { status: 400, body: { error: read.error } };
    const { zone, spot, onDemand } = read.value;
    if (spot !== undefined) mark(`spot ${zone}`, spot);
    if (onDemand !== undefined) mark(`onDemand ${zone}`, onDemand);
    note('capacity', { zone, spot: spot ?? null, onDemand: onDemand ?? null });
    return { status: 200, body: {} };
  }
  function mark(what: string, has: boolean): void {
    if (has) dry.delete(what);
    else dry.add(what);
  }
  async function lose(req: HttpRequest): Promise<HttpReply> {
    const read = readLose(req.body);
    if (!read.ok) return { status: 400, body: { error: read.error } };
    loseReplies = read.value.replies;
    return { status: 200, body: {} };
  }
  async function reprice(req: HttpRequest): Promise<HttpReply> {
    const read = readPrice(req.body);
    if (!read.ok) return { status: 400, body: { error: read.error } };
    prices.set(read.value.zone, { spot: read.value.spot, onDemand: read.value.onDemand });
    return { status: 200, body: {} };
  }
  async function failPrices(req: HttpRequest): Promise<HttpReply> {
    const read = readDown(req.body);
    if (!read.ok) return { status: 400, body: { error: read.error } };
    pricesDown = read.value.down;
    return { status: 200, body: {} };
  }
  async function tellPrices(): Promise<HttpReply> {
    if (pricesDown) return { status: 500, text: 'down' };
    const out = [];
    for (const [zone, price] of prices) out.push({ zone, ...price });
    return { status: 200, body: { prices: out } };
  }
  async function all(): Promise<HttpReply> {
    return { status: 200, body: { machines: machines() } };
  }
  function machines(): readonly Machine[] {
    const out: Machine[] = [];
    for (const rental of held.values()) out.push(rental.machine);
    return out;
  }

  const opened = await deps.httpServer.open(settings.address, [
    { method: 'POST', path: '/lab/idle', handle: onIdle },
    { method: 'POST', path: MACHINES_PATH, handle: place },
    { method: 'GET', path: MACHINES_PATH, handle: list },
    { method: 'DELETE', path: `${MACHINES_PATH}/:id`, handle: release },
    { method: 'GET', path: PRICES_PATH, handle: tellPrices },
    { method: 'POST', path: '/lab/reclaim', handle: reclaim },
    { method: 'POST', path: '/lab/zone', handle: zoneFault },
    { method: 'POST', path: '/lab/lose', handle: lose },
    { method: 'POST', path: '/lab/price', handle: reprice },
    { method: 'POST', path: '/lab/prices-down', handle: failPrices },
    { method: 'GET', path: '/lab/machines', handle: all },
  ]);
  if (!opened.ok) return opened;
  return ok({ address: opened.value.address, machines, stop: opened.value.close });
}
