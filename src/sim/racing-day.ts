/**
 * A simulated day of racing operators, with controllers only. Eight operators send concurrent changes, many of them on
 * the same base, some with the same number for different contents, some under two requests. Answers are lost, and
 * changes are retried at any controller, also while the first attempt is in progress and long after it was confirmed.
 * Meanwhile controllers are partitioned, killed, paused, replaced, or lose power or their disk, and bursts of ordinary
 * log entries are proposed. All calls are recorded at the callers and checked for linearizability.
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
import type { ChangeOutcome } from './operator-calls.js';
import { injectCoreFault } from './racing-troubles.js';
import { runZoneOrders } from './racing-zones.js';
import { sabotageLedger } from './sabotage.js';
import type { LedgerSabotage } from './sabotage.js';
import { createSimCore } from './sim-core.js';
import type { SimCore } from './sim-core.js';
import { createQuietLog } from '../transport/log.js';

/**
 * Options of a day. Faults are injected for `seconds` of simulated time; `sabotage` applies to the ledgers of all
 * controllers.
 */
export type RacingDayOptions = {
  readonly controllers: 3 | 5;
  readonly seconds: number;
  readonly sabotage?: LedgerSabotage;
};

/**
 * Result of a day. The controllers pass if `violation` is null, which covers changes and reads, and `broken` is empty.
 */
export type RacingDayResult = {
  readonly seed: number;
  /** The injected faults, in order. */
  readonly troubles: readonly string[];
  readonly calls: number;
  readonly confirmed: number;
  /** Number of confirmed evacuations and restorations. */
  readonly zoneOrders: number;
  readonly violation: LinearizabilityViolation | null;
  /**
   * Wrong reads of zones, groups that did not become complete, unanswered reads at the end of the day, and violations
   * that the simulated core found.
   */
  readonly broken: readonly string[];
};

const OPERATOR_COUNT = 8;
/** How long a caller waits for an answer before it retries at another controller. */
const RESPONSE_TIMEOUT_MS = 1_000;
/** Share of attempts that are abandoned much sooner, so that their answer is lost. */
const SHORT_TIMEOUT_SHARE = 0.15;
const MAX_ATTEMPTS = 6;
const ZONES = ['zone-a', 'zone-b'];
const ENTRIES_PER_BURST = 1_100;
const REGION_DELAY_MS = 20;

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

/** Returns the operators' interface of a controller, or null if the controller isn't running. */
function serviceOf(day: Day, name: string): ConfigurationService | null {
  const controller = day.core.node(name).controller;
  if (!controller) return null;
  if (!day.sabotaged.has(controller)) sabotageLedger(controller.ledger, day.sabotage);
  day.sabotaged.add(controller);
  return createConfigurationService({ ...controller, clock: day.clock, log: createQuietLog().component('operator') });
}

function drawNode(day: Day): string {
  return day.running[randomInt(day.rng, day.running.length)] as string;
}

async function readNewest(day: Day): Promise<number | null> {
  const name = drawNode(day);
  const service = serviceOf(day, name);
  if (!service) return null;
  const recordRead = day.history.recordRead(name);
  const read = await withTimeout(day.clock, RESPONSE_TIMEOUT_MS, service.read());
  if (!read?.ok) return null;
  recordRead(read.value.number, contentOf(read.value));
  return read.value.number;
}

async function sendOnce(day: Day, change: Change): Promise<ChangeOutcome> {
  const name = drawNode(day);
  const { request, base, number, content } = change;
  const recordAnswer = day.history.recordChange({ node: name, request, base, number, content });
  const service = serviceOf(day, name);
  if (!service) return 'unclear';
  const answer = await withTimeout(
    day.clock,
    drawTimeoutMs(day.rng),
    day.rng.next() < 0.5 ? service.replace(base, servingOf(change), request) : amend(service, change),
  );
  if (!answer || (!answer.ok && (answer.error.tag === 'noMajority' || answer.error.tag === 'outcomeUnknown')))
    return 'unclear';
  const outcome: ChangeOutcome = answer.ok ? 'confirmed' : answer.error.tag === 'stale' ? 'stale' : 'invalid';
  recordAnswer(outcome);
  return outcome;
}

function amend(service: ConfigurationService, change: Change): ReturnType<ConfigurationService['amend']> {
  function edit(): ReturnType<typeof ok<unknown>> {
    return ok(servingOf(change));
  }
  return service.amend(change.base, edit, change.request);
}

function drawTimeoutMs(rng: Rng): number {
  return rng.next() < SHORT_TIMEOUT_SHARE ? 1 + randomInt(rng, 120) : RESPONSE_TIMEOUT_MS;
}

/** Sends a change until its answer is clear, sometimes to two controllers at once. */
async function sendUntilClear(day: Day, change: Change): Promise<void> {
  for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
    if (day.rng.next() < 0.1) void sendOnce(day, change);
    const answer = await sendOnce(day, change);
    if (answer === 'confirmed') day.confirmed.push(change);
    if (answer !== 'unclear') return;
    await delay(day.clock, 50 + randomInt(day.rng, 200 * attempt));
  }
}

/** Creates a change on the given base. Concurrent changes of other operators may have the same base and number. */
function nextChange(day: Day, base: number): Change {
  day.serial += 1;
  const number = base + 1 + randomInt(day.rng, 2);
  return { request: `r-${day.serial}`, base, number, content: `content-${day.serial}` };
}

async function runOperator(day: Day): Promise<void> {
  while (!day.isOver) {
    const base = await readNewest(day);
    if (base !== null) {
      const change = nextChange(day, base);
      const twin = { ...change, request: `${change.request}-twin` };
      if (day.rng.next() < 0.08) void sendUntilClear(day, twin);
      await sendUntilClear(day, change);
    }
    const earlierChange = day.confirmed[day.confirmed.length - 1 - randomInt(day.rng, 30)];
    if (earlierChange && day.rng.next() < 0.3) await sendOnce(day, earlierChange);
    await delay(day.clock, randomInt(day.rng, 1_200));
  }
}

async function proposeEntryBursts(day: Day): Promise<void> {
  while (!day.isOver) {
    await delay(day.clock, 5_000 + randomInt(day.rng, 15_000));
    const ledger = day.core.node(drawNode(day)).controller?.ledger;
    for (let count = 0; count < ENTRIES_PER_BURST; count += 1) {
      void ledger?.propose({ cause: 'A racing day.', act: { tag: 'targetChanged', model: 'm', target: count } }, 1_500);
    }
  }
}

function runZoneOperator(day: Day, zone: string): Promise<void> {
  const { core, clock, rng, running } = day;
  function isOver(): boolean {
    return day.isOver;
  }
  function zoneServiceOf(name: string): ConfigurationService | null {
    return serviceOf(day, name);
  }
  function timeoutMs(): number {
    return drawTimeoutMs(rng);
  }
  function onConfirmed(): void {
    day.zoneOrders += 1;
  }
  function reportViolation(detail: string): void {
    day.broken.push(detail);
  }
  return runZoneOrders({
    core,
    clock,
    rng,
    running,
    zone,
    isOver,
    serviceOf: zoneServiceOf,
    drawTimeoutMs: timeoutMs,
    onConfirmed,
    reportViolation,
  });
}

/** Plays one racing day and checks it. */
export async function runRacingDay(seed: number, options: RacingDayOptions): Promise<RacingDayResult> {
  const core = createSimCore(seed, { controllers: options.controllers, seeds: 3, regionMs: REGION_DELAY_MS });
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
  if (!(await core.until(5_000, isCoreComplete))) broken.push('the controllers did not form a complete group');
  for (let count = 0; count < OPERATOR_COUNT; count += 1) void runOperator(day);
  for (const zone of ZONES) void runZoneOperator(day, zone);
  void proposeEntryBursts(day);
  const endAt = core.world.now() + options.seconds * 1_000;
  while (core.world.now() < endAt) {
    await core.world.advance(randomInt(day.rng, 4_000));
    troubles.push(await injectCoreFault(core, running, day.rng));
    if (!(await core.until(15_000, isCoreComplete)))
      broken.push(`the group is not complete after: ${troubles[troubles.length - 1] ?? ''}`);
  }
  day.isOver = true;
  await core.world.advance(12_000);
  for (const name of running) await checkFinalRead(day, name, broken);
  return {
    seed,
    troubles,
    calls: history.size(),
    confirmed: history.confirmed(),
    zoneOrders: day.zoneOrders,
    violation: history.check(),
    broken: [...broken, ...core.broken],
  };

  function isCoreComplete(): boolean {
    return core.whole(running);
  }
}

async function checkFinalRead(day: Day, name: string, broken: string[]): Promise<void> {
  const recordRead = day.history.recordRead(name);
  const reading = serviceOf(day, name)?.read();
  const read = reading && (await day.core.runUntilSettled(reading, 5_000));
  if (read?.ok) recordRead(read.value.number, contentOf(read.value));
  else broken.push(`${name} does not answer the read at the end`);
}

function nameOf(node: { readonly name: string }): string {
  return node.name;
}
