/**
 * The operators of zones on a racing day: each evacuates its zone and hands it back in turn, sends an order again until
 * it is confirmed, and reads at any controller that the zone is as the last confirmed order says, until it sends the
 * next one. An order that was given up and acts late shows as a zone that reads otherwise.
 */
import type { Caller, ConfigurationService } from '../coordination/configuration/configuration-service.js';
import { delay, withTimeout } from '../transport/clock.js';
import type { Clock } from '../transport/clock.js';
import { randomInt } from '../transport/rng.js';
import type { Rng } from '../transport/rng.js';
import type { SimCore } from './sim-core.js';

export type ZoneOperator = {
  readonly core: SimCore;
  readonly clock: Clock;
  readonly rng: Rng;
  readonly running: readonly string[];
  readonly zone: string;
  readonly isOver: () => boolean;
  readonly serviceOf: (name: string) => ConfigurationService | null;
  readonly patienceMs: () => number;
  /** Told once for each order that is confirmed. */
  readonly confirmed: () => void;
  readonly broken: (detail: string) => void;
};

/** A caller waits this long for an answer, and so a sending is over well before its zone gets the next order. */
const PATIENCE_MS = 1_000;
const REST_MS = 3_000;
const WAITS: Caller = { gone: () => false };
/** Share of orders that go to two controllers at once. */
const TWICE_SHARE = 0.4;

function anyNode(operator: ZoneOperator): string {
  return operator.running[randomInt(operator.rng, operator.running.length)] as string;
}

async function orderOnce(operator: ZoneOperator, begun: boolean): Promise<boolean> {
  const service = operator.serviceOf(anyNode(operator));
  if (!service) return false;
  const answer = await withTimeout(
    operator.clock,
    operator.patienceMs(),
    service.evacuate(operator.zone, begun, WAITS),
  );
  return answer?.ok === true;
}

async function orderUntilConfirmed(operator: ZoneOperator, begun: boolean): Promise<boolean> {
  while (!operator.isOver()) {
    if (operator.rng.next() < TWICE_SHARE) void orderOnce(operator, begun);
    if (await orderOnce(operator, begun)) return true;
    await delay(operator.clock, 100 + randomInt(operator.rng, 400));
  }
  return false;
}

async function check(operator: ZoneOperator, begun: boolean): Promise<void> {
  const name = anyNode(operator);
  const ledger = operator.core.node(name).controller?.ledger;
  const isCommitted = ledger && (await withTimeout(operator.clock, PATIENCE_MS, ledger.linearizableRead(PATIENCE_MS)));
  if (!ledger || !isCommitted) return;
  const isEvacuated = ledger.controlState().evacuated[operator.zone] !== undefined;
  if (isEvacuated === begun) return;
  const now = operator.core.world.now().toFixed(0);
  operator.broken(`${name} reads ${operator.zone} as ${begun ? 'not ' : ''}evacuated at ${now}`);
}

/** Goes on until the day is over. */
export async function operateZone(operator: ZoneOperator): Promise<void> {
  for (let begun = true; await orderUntilConfirmed(operator, begun); begun = !begun) {
    operator.confirmed();
    const restUntil = operator.clock.mono() + PATIENCE_MS + randomInt(operator.rng, REST_MS);
    while (operator.clock.mono() < restUntil) {
      await check(operator, begun);
      await delay(operator.clock, 50 + randomInt(operator.rng, 400));
    }
  }
}
