import { createPeers } from '../coordination/messaging/peers.js';
import type { MessageOf } from '../protocol/messages.js';
import { createQuietLog } from '../transport/log.js';
import type { SimCore } from './sim-core.js';

/**
 * A follower of the test's own that checks the beats of one controller: a beat that names the number `n` attests that its sender
 * holds every slot that was confirmed anywhere before the follower sent `n`. What does not hold goes to `core.broken`.
 */
export type BeatWatch = {
  /** Notes that `slot` was confirmed to an operator just now. */
  readonly confirmed: (slot: number) => void;
  /** Simulated time of sending of the newest number that a beat named; null before the first. */
  readonly attestedAsOf: () => number | null;
  readonly stop: () => void;
};

type Confirmation = { readonly slot: number; readonly at: number };

const NONCE_EVERY_MS = 100;
const HOLD_WAIT_MS = 2_000;

export async function watchBeats(core: SimCore, at: string): Promise<BeatWatch> {
  const name = `follower-of-${at}`;
  const lab = core.lab(name);
  const peers = createPeers(lab.wire, lab.clock, createQuietLog().component(name));
  const confirmations: Confirmation[] = [];
  const sentAt = new Map<number, number>();
  let nonce = 0;
  let newest: number | null = null;
  let stopped = false;

  function onHeartbeat(heartbeat: MessageOf<'beat'>): null {
    const asOf = sentAt.get(heartbeat.echo);
    if (asOf === undefined) return null;
    newest = Math.max(newest ?? 0, asOf);
    for (const confirmation of confirmations) {
      if (confirmation.at < asOf && confirmation.slot > heartbeat.slot)
        core.broken.push(
          `${at} attests the number of ${Math.round(asOf)} with slot ${heartbeat.slot}; slot ${confirmation.slot} was confirmed at ${Math.round(confirmation.at)}`,
        );
    }
    return null;
  }
  peers.on('beat', onHeartbeat);
  const link = await core.finish(peers.connect(core.node(at).wire), HOLD_WAIT_MS);

  function tell(): void {
    if (stopped || !link?.ok) return;
    nonce += 1;
    sentAt.set(nonce, core.world.now());
    if (nonce === 1) link.value.send({ kind: 'follow', name, zone: 'z', region: 'r', ledger: '', from: 0, nonce });
    else link.value.send({ kind: 'attend', name, nonce });
    lab.clock.timer(NONCE_EVERY_MS, tell);
  }
  tell();

  function confirmed(slot: number): void {
    confirmations.push({ slot, at: core.world.now() });
  }
  function attestedAsOf(): number | null {
    return newest;
  }
  function stop(): void {
    stopped = true;
  }
  return { confirmed, attestedAsOf, stop };
}
