import { createEvents } from '../../base/events.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import type { Spot } from '../../state/candidates.js';
import { foldBatch } from '../../state/control-state.js';
import type { ControlState } from '../../state/control-state.js';
import type { SnapshotOffer } from '../../state/snapshot-parts.js';
import { createSharedTime } from '../../state/shared-time.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Disk } from '../../transport/disk.js';
import type { Log } from '../../transport/log.js';
import type { Address } from '../../transport/wire.js';
import type { Peer, Peers } from '../members/peers.js';
import { createControllerChoice } from './controller-choice.js';
import { createControllerLinks } from './controller-links.js';
import { createControlStateKeeper, loadControlState } from './kept-control-state.js';
import { createMajorityContact } from './majority-contact.js';
import { createSnapshotTaker } from './snapshot-taker.js';

export type FollowerEvents = { readonly moved: { readonly slot: number } };

/**
 * A proxy's copy of the control state. It folds the slots that the followed controller tells, never back, and says
 * whether a majority stands behind what it holds: `fresh` once it holds all that a majority attested since the
 * process began or last stood still, `partitioned` when the newest contact is too long ago.
 */
export type Follower = {
  readonly controlState: () => ControlState;
  readonly fresh: () => boolean;
  readonly partitioned: () => boolean;
  readonly wokeAt: () => number;
  readonly sharedNow: () => number;
  readonly events: {
    readonly on: <K extends keyof FollowerEvents>(name: K, fn: (e: FollowerEvents[K]) => void) => void;
  };
  readonly controllers: () => readonly Address[];
  readonly followed: () => Address | null;
  readonly knowSpots: (spotOf: (name: string) => Spot | null) => void;
  /** Tells the followed controller; reports go as differences to what it was told before. */
  readonly tellAll: (m: Message) => void;
  readonly stop: () => void;
};

export type FollowerSelf = { readonly name: string; readonly zone: string; readonly region: string };

const TICK_MS = 100;

export async function createFollower(
  self: FollowerSelf,
  seeds: readonly Address[],
  peers: Peers,
  clock: Clock,
  disk: Disk | null,
  log: Log,
): Promise<Follower> {
  const events = createEvents<FollowerEvents>();
  const kept = await loadControlState(disk, log);
  const { floor } = kept;
  let controlState = kept.state;
  let wasPartitioned = false;
  let stopped = false;
  const time = createSharedTime();
  const taker = createSnapshotTaker(peers, clock, log);
  const contact = createMajorityContact(clock, onStandstill);
  const links = createControllerLinks(peers, clock, onLost);
  const choice = createControllerChoice({ self, seeds, members, links, clock, followMessage, attendMessage });
  const keeper = createControlStateKeeper(disk, clock, log, currentControlState);

  function currentControlState(): ControlState {
    return controlState;
  }
  function members(): ControlState['members'] {
    return controlState.members;
  }
  function followMessage(): MessageOf<'follow'> {
    const { ledger, slot } = controlState;
    const { name, zone, region } = self;
    return { kind: 'follow', name, zone, region, ledger, from: slot + 1, nonce: contact.nextNonce() };
  }
  function attendMessage(): MessageOf<'attend'> {
    return { kind: 'attend', name: self.name, nonce: contact.nextNonce() };
  }

  function onLost(address: Address): void {
    choice.noteLost(address);
  }
  function onStandstill(gapMs: number): void {
    log.warn(`Stood still for ${Math.round(gapMs)} ms; serves again once it has fresh news.`);
    wasPartitioned = false;
    choice.noteStandstill();
    choice.tellAsked(followMessage());
  }

  function tick(): void {
    contact.noteTurn();
    choice.turn();
    const alone = partitioned();
    if (alone !== wasPartitioned)
      log.warn(alone ? 'No controller is heard; serves its own region only.' : 'Controllers are heard again.');
    wasPartitioned = alone;
  }
  const ticking: Timer = every(clock, TICK_MS, tick);
  tick();

  function accepts(ledger: string): boolean {
    return controlState.ledger === '' || ledger === controlState.ledger;
  }

  function onChanges(m: MessageOf<'changes'>, peer: Peer): null {
    if (!accepts(m.ledger)) return null;
    const before = controlState.slot;
    if (m.snapshot && m.snapshot.slot > before) void adopt(m.snapshot, peer);
    let gap = false;
    for (const b of m.batches) {
      if (b.slot <= controlState.slot) continue;
      gap = b.slot !== controlState.slot + 1;
      if (gap) break;
      foldBatch(controlState, b.slot, b.batch);
    }
    if (gap && !taker.isTaking()) peer.tell(followMessage());
    if (controlState.slot > before) noteMoved();
    return null;
  }

  /** Fetches a snapshot from the controller that offered it, then asks it for the slots since. */
  async function adopt(offer: SnapshotOffer, peer: Peer): Promise<void> {
    const from = links.addressOf(peer);
    if (from === null) return;
    const taken = await taker.take(from, offer);
    if (stopped || taken.tag === 'interrupted' || taken.tag === 'refused') return;
    if (taken.tag === 'whole' && taken.state.slot > controlState.slot && accepts(taken.state.ledger)) {
      controlState = taken.state;
      noteMoved();
    }
    peer.tell(followMessage());
  }

  function noteMoved(): void {
    const names = new Set<string>();
    for (const m of controlState.members) names.add(m.name);
    time.keepOnly(names);
    events.emit('moved', { slot: controlState.slot });
    choice.tellAsked({ kind: 'followed', name: self.name, slot: controlState.slot });
    keeper.keepFloor();
  }

  function onBeat(m: MessageOf<'beat'>, peer: Peer): null {
    contact.noteTurn();
    const from = links.addressOf(peer);
    if (from === null || !choice.isAsked(from)) {
      peer.tell({ kind: 'unfollow', name: self.name });
      return null;
    }
    if (!accepts(m.ledger) || m.ledger === '') return null;
    time.hear(m.from, m.wall, clock.mono());
    if (m.slot > controlState.slot && !taker.isTaking()) peer.tell(followMessage());
    if (holdsAllOf(m) && isNewContact(m.echo)) choice.noteAttested(from);
    return null;
  }
  function holdsAllOf(m: MessageOf<'beat'>): boolean {
    return m.quorate && controlState.ledger !== '' && controlState.slot >= Math.max(m.top, floor);
  }
  function isNewContact(echo: number): boolean {
    const sentAt = contact.sentAt(echo);
    return sentAt !== null && contact.note(sentAt);
  }

  function onReportsAsk(m: MessageOf<'reportsAsk'>, peer: Peer): null {
    const from = links.addressOf(peer);
    if (from !== null) links.forgetReports(from, m.reporters);
    return null;
  }
  peers.on('changes', onChanges);
  peers.on('beat', onBeat);
  peers.on('reportsAsk', onReportsAsk);

  function fresh(): boolean {
    contact.noteTurn();
    return contact.isKnown() && controlState.slot >= floor;
  }
  function partitioned(): boolean {
    contact.noteTurn();
    return contact.isLost();
  }
  function wokeAt(): number {
    contact.noteTurn();
    return contact.wokeAt();
  }
  function sharedNow(): number {
    return time.now(clock.mono(), clock.wall());
  }
  function tellAll(m: Message): void {
    const to = choice.followed();
    if (to === null) return;
    if (m.kind === 'reports' && m.by === undefined) links.tellReports(to, m.reports);
    else links.tell(to, m);
  }
  function stop(): void {
    stopped = true;
    choice.stop();
    ticking.cancel();
    keeper.stop();
  }
  return {
    controlState: currentControlState,
    fresh,
    partitioned,
    wokeAt,
    sharedNow,
    events,
    controllers: choice.all,
    followed: choice.followed,
    knowSpots: choice.knowSpots,
    tellAll,
    stop,
  };
}
