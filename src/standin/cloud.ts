/**
 * Stand-in of the cloud: rents idle workers as machines on order, reclaims spot machines after a notice, and tells
 * prices. `/lab/` paths take capacity away, lose replies, and change or fail the prices.
 */
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

/**
 * Addresses and prices. With `ignoresIdempotencyKeys` an order that is sent again rents a second machine; a machine is
 * listed `listLagMs` after its order.
 */
export type CloudSettings = {
  readonly address: Address;
  readonly platform: Address;
  readonly prices: Readonly<Record<string, Price>>;
  readonly ignoresIdempotencyKeys?: boolean;
  readonly listLagMs?: number;
};

/** A running cloud. */
export type StandinCloud = {
  readonly address: Address;
  readonly machines: () => readonly Machine[];
  readonly stop: () => Promise<void>;
};

/** Dependencies of a cloud. */
export type CloudDeps = {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly httpServer: HttpServer;
  readonly httpClient: HttpClient;
  readonly journal: Journal;
};

type WorkerSlot = { readonly id: string; readonly address: Address; readonly zone: string; readonly at: number };
type Rental = { machine: Machine; readonly order: CloudOrder; readonly slot: WorkerSlot; readonly since: number };

const readIdle = readerOf(Type.Object({ id: Type.String(), address: Type.String(), zone: Type.String() }));
const readReclaim = readerOf(Type.Object({ machine: Type.String(), remainingMs: Type.Number() }));
const readZoneFault = readerOf(
  Type.Object({ zone: Type.String(), spot: Type.Optional(Type.Boolean()), onDemand: Type.Optional(Type.Boolean()) }),
);
const readLose = readerOf(Type.Object({ replies: Type.Integer({ minimum: 0 }) }));
const readDown = readerOf(Type.Object({ down: Type.Boolean() }));
const readPrice = readerOf(Type.Object({ zone: Type.String(), spot: Type.Number(), onDemand: Type.Number() }));

// A worker that has not reported idle for so long is not rented.
const IDLE_EXPIRY_MS = 3_000;

/** Starts a cloud without machines. */
export async function startStandinCloud(
  settings: CloudSettings,
  deps: CloudDeps,
): Promise<Result<StandinCloud, WireError>> {
  const { clock, rng, httpClient, journal } = deps;
  const idleSlots = new Map<string, WorkerSlot>();
  const rentals = new Map<string, Rental>();
  const machineIdByKey = new Map<string, string>();
  const withoutCapacity = new Set<string>();
  const prices = new Map<string, Price>(Object.entries(settings.prices));
  let repliesToLose = 0;
  let arePricesDown = false;

  function writeRecord(event: string, extra: Readonly<Record<string, unknown>>): void {
    journal.record({ who: 'cloud', at: clock.wall(), event, ...extra });
  }

  async function onIdle(req: HttpRequest): Promise<HttpReply> {
    const read = readIdle(req.body);
    if (!read.ok) return { status: 400, body: {} };
    for (const rental of rentals.values()) {
      if (rental.slot.id !== read.value.id || rental.machine.state === 'gone') continue;
      if (rental.machine.state === 'starting') return { status: 200, body: {} };
      rental.machine = { ...rental.machine, state: 'gone' };
      writeRecord('gone', { machine: rental.machine.id, key: rental.machine.key });
    }
    idleSlots.set(read.value.id, { ...read.value, at: clock.mono() });
    return { status: 200, body: {} };
  }

  function findIdleSlot(zone: string): WorkerSlot | null {
    for (const slot of idleSlots.values()) {
      if (slot.zone === zone && clock.mono() - slot.at < IDLE_EXPIRY_MS) return slot;
    }
    return null;
  }

  async function onOrder(req: HttpRequest): Promise<HttpReply> {
    const read = readOrder(req.body);
    if (!read.ok) return { status: 400, body: { error: read.error } };
    const order = read.value;
    const existingId = settings.ignoresIdempotencyKeys === true ? undefined : machineIdByKey.get(order.key);
    const reply = existingId ? machineReply(existingId) : await placeOrder(order);
    if (repliesToLose > 0) {
      repliesToLose -= 1;
      writeRecord('replyLost', { key: order.key });
      await delay(clock, 60_000);
    }
    return reply;
  }
  function machineReply(id: string): HttpReply {
    return { status: 200, body: { machine: rentals.get(id)?.machine } };
  }
  async function placeOrder(order: CloudOrder): Promise<HttpReply> {
    const slot = withoutCapacity.has(`${order.kind} ${order.zone}`) ? null : findIdleSlot(order.zone);
    if (!slot) {
      writeRecord('noCapacity', { key: order.key, zone: order.zone, kind: order.kind });
      return { status: 409, body: { error: 'noCapacity' } };
    }
    idleSlots.delete(slot.id);
    const id = newId(rng, 'm');
    const machine: Machine = {
      id,
      key: order.key,
      zone: order.zone,
      kind: order.kind,
      model: order.model,
      state: 'starting',
    };
    const rental: Rental = { machine, order, slot, since: clock.mono() };
    rentals.set(id, rental);
    machineIdByKey.set(order.key, id);
    writeRecord('machine', {
      machine: id,
      key: order.key,
      zone: order.zone,
      kind: order.kind,
      model: order.model,
      worker: slot.id,
    });
    void bootMachine(rental);
    return machineReply(id);
  }

  async function bootMachine(rental: Rental): Promise<void> {
    const response = await httpClient.call({
      method: 'POST',
      address: rental.slot.address,
      path: '/lab/boot',
      body: { machine: rental.machine.id, model: rental.order.model, kind: rental.order.kind },
      timeoutMs: 3_000,
    });
    if (rental.machine.state !== 'starting') return;
    const isBooted = response.ok && response.value.status === 200;
    rental.machine = { ...rental.machine, state: isBooted ? 'running' : 'gone' };
    if (!isBooted) writeRecord('gone', { machine: rental.machine.id, key: rental.machine.key });
  }

  async function onList(req: HttpRequest): Promise<HttpReply> {
    const machines: Machine[] = [];
    for (const rental of rentals.values())
      if (
        rental.order.owner === req.query['owner'] &&
        rental.machine.state !== 'gone' &&
        clock.mono() - rental.since >= (settings.listLagMs ?? 0)
      )
        machines.push(rental.machine);
    return { status: 200, body: { machines } };
  }

  async function endRental(rental: Rental): Promise<void> {
    if (rental.machine.state === 'gone') return;
    rental.machine = { ...rental.machine, state: 'gone' };
    writeRecord('gone', { machine: rental.machine.id, key: rental.machine.key });
    await httpClient.call({
      method: 'POST',
      address: rental.slot.address,
      path: '/lab/halt',
      body: {},
      timeoutMs: 3_000,
    });
  }

  async function onRelease(req: HttpRequest): Promise<HttpReply> {
    const rental = rentals.get(req.params['id'] ?? '');
    if (!rental) return { status: 404, body: {} };
    await endRental(rental);
    return { status: 200, body: {} };
  }

  async function onReclaim(req: HttpRequest): Promise<HttpReply> {
    const read = readReclaim(req.body);
    const rental = read.ok ? rentals.get(read.value.machine) : undefined;
    if (!read.ok || !rental || rental.machine.state !== 'running') return { status: 404, body: {} };
    const noticeMs = read.value.remainingMs;
    rental.machine = { ...rental.machine, state: 'reclaiming' };
    writeRecord('reclaiming', { machine: rental.machine.id, key: rental.machine.key, remainingMs: noticeMs });
    await httpClient.call({
      method: 'POST',
      address: settings.platform,
      path: `/lab/workers/${rental.slot.id}/drain`,
      body: { remainingMs: noticeMs },
      timeoutMs: 2_000,
    });
    function onNoticeExpired(): void {
      void endRental(rental as Rental);
    }
    clock.timer(noticeMs, onNoticeExpired);
    return { status: 200, body: {} };
  }

  async function onZoneFault(req: HttpRequest): Promise<HttpReply> {
    const read = readZoneFault(req.body);
    if (!read.ok) return { status: 400, body: { error: read.error } };
    const { zone, spot, onDemand } = read.value;
    if (spot !== undefined) setCapacity(`spot ${zone}`, spot);
    if (onDemand !== undefined) setCapacity(`onDemand ${zone}`, onDemand);
    writeRecord('capacity', { zone, spot: spot ?? null, onDemand: onDemand ?? null });
    return { status: 200, body: {} };
  }
  function setCapacity(kindAndZone: string, hasCapacity: boolean): void {
    if (hasCapacity) withoutCapacity.delete(kindAndZone);
    else withoutCapacity.add(kindAndZone);
  }
  async function onLose(req: HttpRequest): Promise<HttpReply> {
    const read = readLose(req.body);
    if (!read.ok) return { status: 400, body: { error: read.error } };
    repliesToLose = read.value.replies;
    return { status: 200, body: {} };
  }
  async function onPrice(req: HttpRequest): Promise<HttpReply> {
    const read = readPrice(req.body);
    if (!read.ok) return { status: 400, body: { error: read.error } };
    prices.set(read.value.zone, { spot: read.value.spot, onDemand: read.value.onDemand });
    return { status: 200, body: {} };
  }
  async function onPricesDown(req: HttpRequest): Promise<HttpReply> {
    const read = readDown(req.body);
    if (!read.ok) return { status: 400, body: { error: read.error } };
    arePricesDown = read.value.down;
    return { status: 200, body: {} };
  }
  async function onListPrices(): Promise<HttpReply> {
    if (arePricesDown) return { status: 500, text: 'down' };
    const out = [];
    for (const [zone, price] of prices) out.push({ zone, ...price });
    return { status: 200, body: { prices: out } };
  }
  async function onListMachines(): Promise<HttpReply> {
    return { status: 200, body: { machines: machines() } };
  }
  function machines(): readonly Machine[] {
    const out: Machine[] = [];
    for (const rental of rentals.values()) out.push(rental.machine);
    return out;
  }

  const opened = await deps.httpServer.open(settings.address, [
    { method: 'POST', path: '/lab/idle', handle: onIdle },
    { method: 'POST', path: MACHINES_PATH, handle: onOrder },
    { method: 'GET', path: MACHINES_PATH, handle: onList },
    { method: 'DELETE', path: `${MACHINES_PATH}/:id`, handle: onRelease },
    { method: 'GET', path: PRICES_PATH, handle: onListPrices },
    { method: 'POST', path: '/lab/reclaim', handle: onReclaim },
    { method: 'POST', path: '/lab/zone', handle: onZoneFault },
    { method: 'POST', path: '/lab/lose', handle: onLose },
    { method: 'POST', path: '/lab/price', handle: onPrice },
    { method: 'POST', path: '/lab/prices-down', handle: onPricesDown },
    { method: 'GET', path: '/lab/machines', handle: onListMachines },
  ]);
  if (!opened.ok) return opened;
  return ok({ address: opened.value.address, machines, stop: opened.value.close });
}
