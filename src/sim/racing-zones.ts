/**
 * The zone operators of a racing day. Each alternately evacuates and restores its zone, retries an order until it is
 * confirmed, and then checks by reads at random controllers that the zone is in the state of the confirmed order, until
 * it sends the next one. An abandoned order that takes effect late shows as a read of the other state.
 */
import type { Caller, ConfigurationService } from '../coordination/configuration/configuration-service.js';
import { delay, withTimeout } from '../transport/clock.js';
import type { Clock } from '../transport/clock.js';
import { randomInt } from '../transport/rng.js';
import type { Rng } from '../transport/rng.js';
import type { SimCore } from './sim-core.js';

/** What the orders for one zone need; `runZoneOrders` is called once for each zone of a racing day. */
export type ZoneOperator = {
  readonly core: SimCore;
  readonly clock: Clock;
  readonly rng: Rng;
  /** Names of the controllers to choose from; it changes during the day as controllers are replaced. */
  readonly running: readonly string[];
  readonly zone: string;
  readonly isOver: () => boolean;
  /** Returns null if the controller isn't running. */
  readonly serviceOf: (name: string) => ConfigurationService | null;
  /** Draws how long the operator waits for the answer to an order, in milliseconds; a short wait loses the answer. */
  readonly drawTimeoutMs: () => number;
  /** Called once for each confirmed order. */
  readonly onConfirmed: () => void;
  readonly reportViolation: (detail: string) => void;
};

/** How long a caller waits for an answer. An attempt is thus over well before the next order for its zone is sent. */
const RESPONSE_TIMEOUT_MS = 1_000;
const MAX_EXTRA_CHECK_MS = 3_000;
const WAITING_CALLER: Caller = { gone: () => false };
/** Share of attempts that are sent twice at once, each to a random controller. */
const DUPLICATE_SHARE = 0.4;

function drawNode(operator: ZoneOperator): string {
  return operator.running[randomInt(operator.rng, operator.running.length)] as string;
}

async function sendOrder(operator: ZoneOperator, isEvacuation: boolean): Promise<boolean> {
  const service = operator.serviceOf(drawNode(operator));
  if (!service) return false;
  const answer = await withTimeout(
    operator.clock,
    operator.drawTimeoutMs(),
    service.evacuate(operator.zone, isEvacuation, WAITING_CALLER),
  );
  return answer?.ok === true;
}

async function sendUntilConfirmed(operator: ZoneOperator, isEvacuation: boolean): Promise<boolean> {
  while (!operator.isOver()) {
    if (operator.rng.next() < DUPLICATE_SHARE) void sendOrder(operator, isEvacuation);
    if (await sendOrder(operator, isEvacuation)) return true;
    await delay(operator.clock, 100 + randomInt(operator.rng, 400));
  }
  return false;
}

async function checkZone(operator: ZoneOperator, isEvacuation: boolean): Promise<void> {
  const name = drawNode(operator);
  const ledger = operator.core.node(name).controller?.ledger;
  const isCommitted =
    ledger && (await withTimeout(operator.clock, RESPONSE_TIMEOUT_MS, ledger.linearizableRead(RESPONSE_TIMEOUT_MS)));
  if (!ledger || !isCommitted) return;
  const isEvacuated = ledger.controlState().evacuated[operator.zone] !== undefined;
  if (isEvacuated === isEvacuation) return;
  const now = operator.core.world.now().toFixed(0);
  operator.reportViolation(`${name} reads ${operator.zone} as ${isEvacuation ? 'not ' : ''}evacuated at ${now}`);
}

/** Sends and checks orders for a zone until the day is over. */
export async function runZoneOrders(operator: ZoneOperator): Promise<void> {
  for (let isEvacuation = true; await sendUntilConfirmed(operator, isEvacuation); isEvacuation = !isEvacuation) {
    operator.onConfirmed();
    const checkUntil = operator.clock.mono() + RESPONSE_TIMEOUT_MS + randomInt(operator.rng, MAX_EXTRA_CHECK_MS);
    while (operator.clock.mono() < checkUntil) {
      await checkZone(operator, isEvacuation);
      await delay(operator.clock, 50 + randomInt(operator.rng, 400));
    }
  }
}
