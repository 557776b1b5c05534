/**
 * Simulated operators of a chaos run. They read the configuration, change it based on the version they read, race with
 * each other, time out and retry at another controller, and evacuate and restore zones. All of their calls are recorded
 * in a history that is checked for linearizability, and the watchers are notified of the answers they need.
 */
import type { HttpAnswer, HttpError } from '../transport/http.js';
import type { Result } from '../base/result.js';
import { randomInt, createRng } from '../transport/rng.js';
import type { Rng } from '../transport/rng.js';
import { createCallHistory } from './call-history.js';
import type { CallHistory } from './call-history.js';
import type { ChangeOutcome } from './operator-calls.js';
import type { SimFleet } from './sim-fleet.js';
import type { InvariantChecker } from './invariant-checker.js';

/**
 * The operators of a chaos run. `raceChanges`, `evacuate` and `trackFirstConfirmed` return at once and send their calls
 * in the background.
 */
export type Operators = {
  /**
   * Sends one change, based on the version that it reads first, with at most `MAX_ATTEMPTS` attempts until its answer
   * is clear. Sends none if the read fails.
   */
  readonly amend: () => Promise<void>;
  /**
   * Sends six changes at once, based on the version that it reads first. Three have a negative value, and one of these
   * is based on the version before.
   */
  readonly raceChanges: () => void;
  /** Evacuates a zone, and restores it `ms` later. */
  readonly evacuate: (zone: string, ms: number) => void;
  /**
   * Sends changes until one is confirmed or the simulated time is `until`. The returned function returns the time of
   * the confirmation, or null.
   */
  readonly trackFirstConfirmed: (until: number) => () => number | null;
  /**
   * Restores all zones that the first controller reads as evacuated; false if the read or an order is not confirmed.
   */
  readonly restoreAllZones: () => Promise<boolean>;
  /**
   * Whether each zone is evacuated according to its last order. A zone is left out if this order was refused, or if the
   * outcome of an order is unknown.
   */
  readonly confirmedEvacuations: () => Readonly<Record<string, boolean>>;
  readonly history: CallHistory;
};

/** Maximum number of times a change is sent until it has a clear answer. */
const MAX_ATTEMPTS = 4;
const RETRY_DELAY_MS = 300;
/** Share of attempts with a short timeout, which usually lose their answer, and the maximum of that timeout. */
const SHORT_TIMEOUT_SHARE = 0.15;
const MAX_SHORT_TIMEOUT_MS = 60;
/** Share of confirmed changes that are sent a second time. */
const DUPLICATE_SHARE = 0.15;

/** Returns the configuration version in the body of a response, or -1 if it has none. */
export function versionOf(response: HttpAnswer): number {
  const body = response.body as { readonly version?: unknown } | null;
  return typeof body?.version === 'number' ? body.version : -1;
}
/** Returns the configuration in the body of a response, without checking its form, or null if it has none. */
export function configurationOf(response: HttpAnswer): unknown {
  return (response.body as { readonly configuration?: unknown } | null)?.configuration ?? null;
}
/** Returns the setting that operators change (`lineLimit`) as text. It represents the content in the call history. */
export function contentOf(response: HttpAnswer): string {
  const configuration = configurationOf(response) as { readonly deployment?: { readonly lineLimit?: number } } | null;
  return String(configuration?.deployment?.lineLimit ?? 'none');
}

function answerOf(result: Result<HttpAnswer, HttpError>): ChangeOutcome {
  if (!result.ok) return 'unclear';
  const { status } = result.value;
  if (status === 200 || status === 202) return 'confirmed';
  if (status === 409) return 'stale';
  return status === 400 || status === 422 ? 'invalid' : 'unclear';
}

type Change = { readonly request: string; readonly base: number; readonly value: number };

type ChangeSender = {
  /** Sends a change once to a random controller and returns its answer. */
  readonly sendOnce: (change: Change) => Promise<ChangeOutcome>;
  /** Sends a change until its answer is clear, and sometimes once more after it is confirmed. */
  readonly sendWithRetries: (change: Change) => Promise<void>;
};

function createChangeSender(
  fleet: SimFleet,
  watchers: InvariantChecker,
  history: CallHistory,
  anyController: () => number,
  rng: Rng,
): ChangeSender {
  function notifyWatchers({ base, value }: Change, answer: ChangeOutcome, response: HttpAnswer): void {
    if (answer === 'stale' || answer === 'invalid') watchers.refused(value);
    if (answer !== 'confirmed') return;
    const version = versionOf(response);
    watchers.won(base, version);
    if (response.status === 200) watchers.acknowledged(version, value);
    else watchers.agreed(version, value);
  }
  async function sendOnce(change: Change): Promise<ChangeOutcome> {
    const { request, base, value } = change;
    const controllerIndex = anyController();
    const body = { base, changes: [{ path: ['deployment', 'lineLimit'], value }], operation: request };
    const timeoutMs = rng.next() < SHORT_TIMEOUT_SHARE ? 1 + randomInt(rng, MAX_SHORT_TIMEOUT_MS) : undefined;
    const recordAnswer = history.recordChange({
      node: `controller ${controllerIndex + 1}`,
      request,
      base,
      number: null,
      content: String(value),
    });
    const response = await fleet.operator(controllerIndex, 'POST', '/v1/configuration/amend', body, timeoutMs);
    const answer = answerOf(response);
    if (answer === 'unclear' || !response.ok) return answer;
    recordAnswer(answer, answer === 'confirmed' ? versionOf(response.value) : undefined);
    notifyWatchers(change, answer, response.value);
    return answer;
  }
  function delay(ms: number): Promise<void> {
    function schedule(resolve: () => void): void {
      fleet.world.at(ms, resolve);
    }
    return new Promise(schedule);
  }
  async function sendWithRetries(change: Change): Promise<void> {
    let answer: ChangeOutcome = 'unclear';
    for (let attempt = 1; attempt <= MAX_ATTEMPTS && answer === 'unclear'; attempt += 1) {
      answer = await sendOnce(change);
      if (answer === 'unclear') await delay(RETRY_DELAY_MS * attempt * (0.5 + rng.next()));
    }
    if (answer !== 'confirmed' || rng.next() >= DUPLICATE_SHARE) return;
    await delay(randomInt(rng, 5_000));
    await sendOnce(change);
  }
  return { sendOnce, sendWithRetries };
}

/** Creates the operators. To be called once the fleet has its first configuration. */
export async function createOperators(fleet: SimFleet, watchers: InvariantChecker, seed: number): Promise<Operators> {
  const { world } = fleet;
  const rng = createRng(seed * 17 + 3);
  const isEvacuatedByZone: Record<string, boolean> = {};
  const unansweredOrders = new Map<string, number>();
  let serial = 100;
  const initialRead = await fleet.operator(0, 'GET', '/v1/configuration');
  const initial = initialRead.ok
    ? { number: versionOf(initialRead.value), content: contentOf(initialRead.value) }
    : { number: -1, content: 'none' };
  const history = createCallHistory(world.now, initial);
  const sender = createChangeSender(fleet, watchers, history, anyController, createRng(seed * 13 + 5));

  function anyController(): number {
    return randomInt(rng, fleet.controllers.length);
  }
  function createChange(base: number, value: number): Change {
    return { request: `change-${value}`, base, value };
  }
  async function readNewestVersion(): Promise<number | null> {
    const minVersion = watchers.newestAcknowledged();
    const controllerIndex = anyController();
    const recordRead = history.recordRead(`controller ${controllerIndex + 1}`);
    const read = await fleet.operator(controllerIndex, 'GET', '/v1/configuration');
    if (!read.ok || read.value.status !== 200) return null;
    const base = versionOf(read.value);
    recordRead(base, contentOf(read.value));
    watchers.read(`controller ${controllerIndex + 1}`, minVersion, base, configurationOf(read.value));
    return base;
  }
  async function amend(): Promise<void> {
    const base = await readNewestVersion();
    serial += 1;
    const value = serial;
    if (base !== null) await sender.sendWithRetries(createChange(base, value));
  }
  async function sendRacingChanges(): Promise<void> {
    const base = await readNewestVersion();
    if (base === null) return;
    for (let i = 0; i < 6; i += 1) {
      serial += 1;
      void sender.sendWithRetries(createChange(i === 5 ? base - 1 : base, i % 2 === 1 ? -serial : serial));
    }
  }
  function raceChanges(): void {
    void sendRacingChanges();
  }
  function evacuate(zone: string, ms: number): void {
    void sendZoneOrder(zone, 'evacuate');
    function restore(): void {
      watchers.restored(zone);
      void sendZoneOrder(zone, 'restore');
    }
    world.at(ms, restore);
  }
  async function sendZoneOrder(zone: string, action: 'evacuate' | 'restore'): Promise<void> {
    delete isEvacuatedByZone[zone];
    unansweredOrders.set(zone, (unansweredOrders.get(zone) ?? 0) + 1);
    const result = await fleet.operator(anyController(), 'POST', `/v1/zones/${zone}/${action}`, {});
    if (!result.ok || result.value.status === 503) return;
    unansweredOrders.set(zone, (unansweredOrders.get(zone) ?? 1) - 1);
    if ((unansweredOrders.get(zone) ?? 0) > 0) return;
    const { status } = result.value;
    if (status === 200 && action === 'evacuate') watchers.evacuated(zone);
    if (status === 200 || status === 202) isEvacuatedByZone[zone] = action === 'evacuate';
  }
  function trackFirstConfirmed(until: number): () => number | null {
    let confirmedAt: number | null = null;
    async function sendUntilConfirmed(): Promise<void> {
      while (confirmedAt === null && world.now() < until) {
        const base = await readNewestVersion();
        serial += 1;
        if (base !== null && (await sender.sendOnce(createChange(base, serial))) === 'confirmed')
          confirmedAt = world.now();
        else await new Promise<void>(scheduleRetry);
      }
    }
    function scheduleRetry(resolve: () => void): void {
      world.at(200, resolve);
    }
    function firstConfirmedAt(): number | null {
      return confirmedAt;
    }
    void sendUntilConfirmed();
    return firstConfirmedAt;
  }
  function confirmedEvacuations(): Readonly<Record<string, boolean>> {
    return isEvacuatedByZone;
  }
  async function restoreAllZones(): Promise<boolean> {
    const read = await fleet.operator(0, 'GET', '/v1/configuration');
    const zones = read.ok ? (read.value.body as { readonly evacuated?: readonly string[] }).evacuated : undefined;
    for (const zone of zones ?? []) {
      watchers.restored(zone);
      unansweredOrders.delete(zone);
      await sendZoneOrder(zone, 'restore');
      if (isEvacuatedByZone[zone] !== false) return false;
    }
    return zones !== undefined;
  }
  return {
    amend,
    raceChanges,
    evacuate,
    trackFirstConfirmed,
    restoreAllZones,
    confirmedEvacuations,
    history,
  };
}
