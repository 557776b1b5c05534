import { createPeers } from '../coordination/messaging/peers.js';
import type { MessageOf } from '../protocol/messages.js';
import { createQuietLog } from '../transport/log.js';
import type { SimCore } from './sim-core.js';

/**
 * Checks the heartbeats of one controller from a follower that the test runs. A heartbeat that echoes nonce `n` attests
 * that its sender holds every slot that was confirmed anywhere before the follower sent `n`. Violations go to
 * `core.broken`.
 */
export type HeartbeatChecker = {
  /** Records that `slot` was confirmed to an operator at the current simulated time. */
  readonly confirmed: (slot: number) => void;
  /** Simulated time at which the newest echoed nonce was sent; null before the first echo. */
  readonly attestedAsOf: () => number | null;
  readonly stop: () => void;
};

type Confirmation = { readonly slot: number; readonly at: number };

const NONCE_INTERVAL_MS = 100;
const CONNECT_TIMEOUT_MS = 2_000;

/** Starts a follower of the given controller that sends it a nonce every 100 ms. */
export async function checkHeartbeats(core: SimCore, controllerName: string): Promise<HeartbeatChecker> {
  const name = `follower-of-${controllerName}`;
  const lab = core.lab(name);
  const peers = createPeers(lab.wire, lab.clock, createQuietLog().component(name));
  const confirmations: Confirmation[] = [];
  const sentAt = new Map<number, number>();
  let nonce = 0;
  let newestAsOf: number | null = null;
  let stopped = false;

  function onHeartbeat(heartbeat: MessageOf<'beat'>): null {
    const asOf = sentAt.get(heartbeat.echo);
    if (asOf === undefined) return null;
    newestAsOf = Math.max(newestAsOf ?? 0, asOf);
    for (const confirmation of confirmations) {
      if (confirmation.at < asOf && confirmation.slot > heartbeat.slot)
        core.broken.push(
          `${controllerName} attests the nonce sent at ${Math.round(asOf)} with slot ${heartbeat.slot}, but slot ${confirmation.slot} was confirmed at ${Math.round(confirmation.at)}`,
        );
    }
    return null;
  }
  peers.on('beat', onHeartbeat);
  const link = await core.runUntilSettled(peers.connect(core.node(controllerName).wire), CONNECT_TIMEOUT_MS);

  function sendNonce(): void {
    if (stopped || !link?.ok) return;
    nonce += 1;
    sentAt.set(nonce, core.world.now());
    if (nonce === 1) link.value.send({ kind: 'follow', name, zone: 'z', region: 'r', ledger: '', from: 0, nonce });
    else link.value.send({ kind: 'attend', name, nonce });
    lab.clock.timer(NONCE_INTERVAL_MS, sendNonce);
  }
  sendNonce();

  function confirmed(slot: number): void {
    confirmations.push({ slot, at: core.world.now() });
  }
  function attestedAsOf(): number | null {
    return newestAsOf;
  }
  function stop(): void {
    stopped = true;
  }
  return { confirmed, attestedAsOf, stop };
}
