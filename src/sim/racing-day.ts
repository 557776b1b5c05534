/**
 * A day of racing operators at a core alone: up to eight changes under way at once, many of them on one base, some with
 * one number for different contents, some sent by two operators; answers are lost, orders are sent again to any
 * controller, also while the first sending is under way and long after it was confirmed. Meanwhile controllers are cut
 * off, killed, frozen, replaced, lose power or their disk, and bursts of ordinary entries come between. All calls are
 * noted at the callers and judged for linearizability.
 */
import { ok } from '../base/result.js';
import { createConfigurationService } from '../coordination/configuration/configuration-service.js';
import type { ConfigurationService } from '../coordination/configuration/configuration-service.js';
import type { Serving } from '../state/configuration/serving.js';
import { DEFAULT_LIMITS } from '../state/configuration/serving.js';
import { delay, withTimeout } from '../transport/clock.js';
import { randomInt, createRng } from '../transport/rng.js';
import type { Rng } from '../transport/rng.js';
import { createCallHistory } from './call-history.js';
import type { CallHistory } from './call-history.js';
import type { LinearizabilityViolation } from './linearizability.js';
import type { ChangeAnswer } from './operator-calls.js';
import { strikeCore } from './racing-troubles.js';
import { operateZone } from './racing-zones.js';
import { sabotageLedger } from './sabotage.js';
import type { LedgerSabotage } from './sabotage.js';
import { createSimCore } from './sim-core.js';
import type { SimCore } from './sim-core.js';
import { createQuietLog } from '../transport/log.js';

export type RacingDayOptions = {
  readonly controllers: 3 | 5;
  readonly seconds: number;
  readonly sabotage?: LedgerSabotage;
};

export type RacingDayEnd = {
  readonly seed: number;
  readonly troubles: readonly string[];
  readonly calls: number;
  readonly confirmed: number;
  readonly zoneOrders: number;
  readonly violation: LinearizabilityViolation | null;
  readonly broken: readonly string[];
};

const OPERATORS = 8;
/** What a caller waits for an answer before it sends again elsewhere. */
const PATIENCE_MS = 1_000;
/** Share of sendings that are given up much sooner: their answer is lost. */
const LOST_SHARE = 0.15;
const MAX_SENDINGS = 6;
const ZONES = ['zone-a', 'zone-b'];
const ENTRIES_OF_A_BURST = 1_100;
const REGION_MS = 20;

type Change = { readonly request: string; readonly base: number; readonly number: number; readonly content: string };

type Day = {
  readonly core: SimCore;
  readonly rng: Rng;
  readonly history: CallHistory;
  readonly running: string[];
  readonly sabotage: LedgerSabotage;
  readonly confirmed: Change[];
  readonly sabotaged: WeakSet<object>;
  readonly clock: ReturnType<SimCore['lab']>['clock'];
  readonly broken: string[];
  isOver: boolean;
  serial: number;
  zoneOrders: number;
};

function servingOf(change: Change): Serving {
  const model = { at: 0, probePath: '/h', maxConns: 9, coldS: 0, coldRateS: 0, engine: null };
  return { number: change.number, mappings: {}, models: { [change.content]: model }, limits: DEFAULT_LIMITS };
}

function contentOf(serving: Serving): string {
  return Object.keys(serving.models).join() || 'none';
}

/** The operators' interface of a controller, or null while it doesn't run. */
function serviceOf(day: Day, name: string): ConfigurationService | null {
  const controller = day.core.node(name).controller;
  if (!controller) return null;
  if (!day.sabotaged.has(controller)) sabotageLedger(controller.ledger, day.sabotage);
  day.sabotaged.add(controller);
  return createConfigurationService({ ...controller, clock: day.clock, log: createQuietLog().component('operator') });
}

function anyNode(day: Day): string {
  return day.running[randomInt(day.rng, day.running.length)] as string;
}

async function readNewest(day: Day): Promise<number | null> {
  const name = anyNode(day);
  const service = serviceOf(day, name);
  if (!service) return null;
  const noteRead = day.history.readSent(name);
  const read = await withTimeout(day.clock, PATIENCE_MS, service.read());
  if (!read?.ok) return null;
  noteRead(read.value.number, contentOf(read.value));
  return read.value.number;
}

async function sendOnce(day: Day, change: Change): Promise<ChangeAnswer> {
  const name = anyNode(day);
  const { request, base, number, content } = change;
  const noteAnswer = day.history.changeSent({ node: name, request, base, number, content });
  const service = serviceOf(day, name);
  if (!service) return 'unclear';
  const answer = await withTimeout(
    day.clock,
    patienceMs(day.rng),
    day.rng.next() < 0.5 ? service.replace(base, servingOf(change), request) : amended(service, change),
  );
  if (!answer || (!answer.ok && (answer.error.tag === 'noMajority' || answer.error.tag === 'outcomeUnknown')))
    return 'unclear';
  const told: ChangeAnswer = answer.ok ? 'confirmed' : answer.error.tag === 'stale' ? 'stale' : 'invalid';
  noteAnswer(told);
  return told;
}

function amended(service: ConfigurationService, change: Change): ReturnType<ConfigurationService['amend']> {
  function edit(): ReturnType<typeof ok<unknown>> {
    return ok(servingOf(change));
  }
  return service.amend(change.base, edit, change.request);
}

function patienceMs(rng: Rng): number {
  return rng.next() < LOST_SHARE ? 1 + randomInt(rng, 120) : PATIENCE_MS;
}

/** Sends until the answer is clear, at times to a second controller while the first sending is still under way. */
async function sendUntilClear(day: Day, change: Change): Promise<void> {
  for (let sending = 1; sending <= MAX_SENDINGS; sending += 1) {
    if (day.rng.next() < 0.1) void sendOnce(day, change);
    const answer = await sendOnce(day, change);
    if (answer === 'confirmed') day.confirmed.push(change);
    if (answer !== 'unclear') return;
    await delay(day.clock, 50 + randomInt(day.rng, 200 * sending));
  }
}

/** A change on the newest configuration; at times with the result of one that another operator sends under its own request. */
function nextChange(day: Day, base: number): Change {
  day.serial += 1;
  const number = base + 1 + randomInt(day.rng, 2);
  return { request: `r-${day.serial}`, base, number, content: `content-${day.serial}` };
}

async function operate(day: Day): Promise<void> {
  while (!day.isOver) {
    const base = await readNewest(day);
    if (base !== null) {
      const change = nextChange(day, base);
      const twin = { ...change, request: `${change.request}-twin` };
      if (day.rng.next() < 0.08) void sendUntilClear(day, twin);
      await sendUntilClear(day, change);
    }
    const again = day.confirmed[day.confirmed.length - 1 - randomInt(day.rng, 30)];
    if (again && day.rng.next() < 0.3) await sendOnce(day, again);
    await delay(day.clock, randomInt(day.rng, 1_200));
  }
}

async function ordinaryEntries(day: Day): Promise<void> {
  while (!day.isOver) {
    await delay(day.clock, 5_000 + randomInt(day.rng, 15_000));
    const ledger = day.core.node(anyNode(day)).controller?.ledger;
    for (let count = 0; count < ENTRIES_OF_A_BURST; count += 1) {
      void ledger?.propose({ cause: 'A racing day.', act: { tag: 'targetChanged', model: 'm', target: count } }, 1_500);
    }
  }
}

function zoneOrders(day: Day, zone: string): Promise<void> {
  const { core, clock, rng, running } = day;
  function isOver(): boolean {
    return day.isOver;
  }
  function service(name: string): ConfigurationService | null {
    return serviceOf(day, name);
  }
  function patience(): number {
    return patienceMs(rng);
  }
  function confirmed(): void {
    day.zoneOrders += 1;
  }
  function broken(detail: string): void {
    day.broken.push(detail);
  }
  return operateZone({
    core,
    clock,
    rng,
    running,
    zone,
    isOver,
    serviceOf: service,
    patienceMs: patience,
    confirmed,
    broken,
  });
}

export async function runRacingDay(seed: number, options: RacingDayOptions): Promise<RacingDayEnd> {
  const core = createSimCore(seed, { controllers: options.controllers, seeds: 3, regionMs: REGION_MS });
  const { clock } = core.lab('operators');
  const history = createCallHistory(core.world.now, { number: 0, content: 'none' });
  const running = core.nodes.map(nameOf);
  const day: Day = {
    core,
    rng: createRng(seed * 37 + 11),
    history,
    running,
    sabotage: options.sabotage ?? {},
    confirmed: [],
    sabotaged: new WeakSet(),
    clock,
    broken: [],
    isOver: false,
    serial: 0,
    zoneOrders: 0,
  };
  const { broken } = day;
  const troubles: string[] = [];
  core.startAll();
  if (!(await core.until(5_000, isWhole))) broken.push('the core did not come together');
  for (let count = 0; count < OPERATORS; count += 1) void operate(day);
  for (const zone of ZONES) void zoneOrders(day, zone);
  void ordinaryEntries(day);
  const endAt = core.world.now() + options.seconds * 1_000;
  while (core.world.now() < endAt) {
    await core.world.advance(randomInt(day.rng, 4_000));
    troubles.push(await strikeCore(core, running, day.rng));
    if (!(await core.until(15_000, isWhole))) broken.push(`not whole after: ${troubles[troubles.length - 1] ?? ''}`);
  }
  day.isOver = true;
  await core.world.advance(12_000);
  for (const name of running) await readAtEnd(day, name, broken);
  return {
    seed,
    troubles,
    calls: history.size(),
    confirmed: history.confirmed(),
    zoneOrders: day.zoneOrders,
    violation: history.check(),
    broken: [...broken, ...core.broken],
  };

  function isWhole(): boolean {
    return core.whole(running);
  }
}

async function readAtEnd(day: Day, name: string, broken: string[]): Promise<void> {
  const noteRead = day.history.readSent(name);
  const reading = serviceOf(day, name)?.read();
  const read = reading && (await day.core.finish(reading, 5_000));
  if (read?.ok) noteRead(read.value.number, contentOf(read.value));
  else broken.push(`${name} answers no read at the end`);
}

function nameOf(node: { readonly name: string }): string {
  return node.name;
}
