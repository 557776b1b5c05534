import { createEvents } from '../../base/events.js';
import { isTable } from '../../base/is-table.js';
import { parsedJson } from '../../base/parsed-json.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import type { Report } from '../../state/report.js';
import { emptyControlState, foldBatch, isControlState } from '../../state/control-state.js';
import type { ControlState } from '../../state/control-state.js';
import { ranked, steps } from '../../state/candidates.js';
import type { Candidate, Spot } from '../../state/candidates.js';
import { differenceTo } from '../../state/reports.js';
import type { SnapshotOffer } from '../../state/snapshot-parts.js';
import { createSharedTime } from '../../state/shared-time.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Disk } from '../../transport/disk.js';
import type { Log } from '../../transport/log.js';
import type { Address } from '../../transport/wire.js';
import type { Peer, Peers } from '../members/peers.js';
import { createSnapshotTaker } from './snapshot-taker.js';

export type FollowerEvents = { readonly moved: { readonly slot: number } };

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
  readonly tellAll: (m: Message) => void;
  readonly stop: () => void;
};

export type FollowerSelf = { readonly name: string; readonly zone: string; readonly region: string };

const TICK_MS = 100;
const ATTEND_MS = 700;
const SILENT_MS = 1_000;
const LOST_MS = 1_500;
const SEEK_MS = 500;
const FAILED_MS = 10_000;
const NEARER_MS = 5_000;
const NONCES_KEPT = 16;
const GAP_MS = 1_500;
const PARTITIONED_MS = 2_500;
const KEEP_FILE = 'control-state.json';
const FLOOR_FILE = 'floor.json';
const KEEP_EVERY_MS = 5_000;

export async function createFollower(
  self: FollowerSelf,
  seeds: readonly Address[],
  peers: Peers,
  clock: Clock,
  disk: Disk | null,
  log: Log,
): Promise<Follower> {
  const events = createEvents<FollowerEvents>();
  const held = new Map<Address, Peer>();
  const dialling = new Set<Address>();
  const asked = new Set<Address>();
  const failedAt = new Map<Address, number>();
  const told = new Map<Address, Map<string, Report>>();
  const nonces = new Map<number, number>();
  const time = createSharedTime();
  const taker = createSnapshotTaker(peers, clock, log);
  let spotOf: (name: string) => Spot | null = nowhere;
  let followed: Address | null = null;
  let standby: Address | null = null;
  let nearer: Address | null = null;
  let attestedAt = clock.mono();
  let touchedAt = attestedAt;
  let soughtAt = 0;
  let attendedAt = 0;
  let lookedAt = 0;
  let controlState = emptyControlState();
  let floor = -1;
  let heardAt: number | null = null;
  let wasPartitioned = false;
  let nonce = 0;
  let firstNonce = 1;
  let lastTurn = clock.mono();
  let wokeAt = lastTurn;
  let stopped = false;
  let savingFloor = false;
  let savedFloor = -1;
  let savedSlot = -1;

  if (disk) {
    const kept = await disk.load(KEEP_FILE);
    if (kept.ok && kept.value) {
      const read = parsed(kept.value.toString());
      if (read) {
        controlState = read;
        floor = read.slot;
        savedSlot = read.slot;
      } else log.warn('The kept control state was unreadable; it is asked for again.');
    }
  }

  if (disk) {
    const kept = await disk.load(FLOOR_FILE);
    if (kept.ok && kept.value) floor = Math.max(floor, parsedFloor(kept.value.toString()));
  }

  function parsedFloor(text: string): number {
    const f = parsedJson(text);
    if (!isTable(f) || typeof f['slot'] !== 'number') return -1;
    return controlState.ledger === '' || f['ledger'] === controlState.ledger ? f['slot'] : -1;
  }

  function parsed(text: string): ControlState | null {
    const b = parsedJson(text);
    return isControlState(b) ? b : null;
  }

  function nextNonce(): number {
    nonce += 1;
    nonces.set(nonce, clock.mono());
    for (const old of nonces.keys()) if (nonces.size > NONCES_KEPT) nonces.delete(old);
    return nonce;
  }
  function followMessage(): MessageOf<'follow'> {
    return {
      kind: 'follow',
      name: self.name,
      zone: self.zone,
      region: self.region,
      ledger: controlState.ledger,
      from: controlState.slot + 1,
      nonce: nextNonce(),
    };
  }

  function candidates(): Candidate[] {
    const now = clock.mono();
    const out: Candidate[] = [];
    const known = new Set<Address>();
    function add(address: Address, name: string | null): void {
      if (known.has(address)) return;
      known.add(address);
      const at = failedAt.get(address);
      out.push({
        address,
        name,
        spot: name === null ? null : spotOf(name),
        failed: at !== undefined && now - at < FAILED_MS,
      });
    }
    for (const m of controlState.members) add(m.address, m.name);
    for (const s of seeds) add(s, null);
    return ranked(self, out);
  }

  async function dial(to: Address): Promise<Peer | null> {
    const have = held.get(to);
    if (have) return have;
    if (dialling.has(to)) return null;
    dialling.add(to);
    const got = await peers.hold(to);
    dialling.delete(to);
    if (!got.ok) {
      failedAt.set(to, clock.mono());
      return null;
    }
    held.set(to, got.value);
    got.value.onClosed(gone);
    return got.value;
    function gone(): void {
      held.delete(to);
      told.delete(to);
      failedAt.set(to, clock.mono());
      if (to === followed) turnOnFailure();
    }
  }
  function turnOnFailure(): void {
    if (stopped) return;
    for (const c of candidates()) if (!c.failed) return turnAway();
  }

  async function ask(to: Address): Promise<void> {
    asked.add(to);
    const had = held.has(to);
    const peer = await dial(to);
    if (stopped || !asked.has(to)) return;
    if (peer) peer.tell(followMessage());
    else if (!had && !dialling.has(to) && to === followed) turnOnFailure();
  }

  function turnAway(): void {
    if (followed !== null) failedAt.set(followed, clock.mono());
    nearer = null;
    attestedAt = clock.mono();
    const order = candidates();
    for (const c of order) {
      if (c.address === followed && order.length > 1) continue;
      followed = c.address;
      break;
    }
    if (followed !== null) void ask(followed);
    chooseStandby();
  }

  function chooseStandby(): void {
    const was = standby;
    standby = null;
    for (const c of candidates()) {
      if (c.address === followed || c.failed) continue;
      standby = c.address;
      break;
    }
    if (standby !== null) void dial(standby);
    if (was !== null && was !== standby) letGo(was);
  }

  function letGo(address: Address): void {
    if (address === followed || address === standby || address === nearer || asked.has(address)) return;
    held.delete(address);
    told.delete(address);
  }

  function unfollow(address: Address): void {
    asked.delete(address);
    held.get(address)?.tell({ kind: 'unfollow', name: self.name });
    letGo(address);
  }

  function settleOn(address: Address): void {
    followed = address;
    nearer = null;
    failedAt.delete(address);
    for (const other of [...asked]) if (other !== address) unfollow(other);
    chooseStandby();
  }

  function attend(): void {
    attendedAt = clock.mono();
    const m: Message = { kind: 'attend', name: self.name, nonce: nextNonce() };
    for (const to of asked) held.get(to)?.tell(m);
  }

  function seekAnyone(): void {
    soughtAt = clock.mono();
    for (const c of candidates()) if (!asked.has(c.address) || !held.has(c.address)) void ask(c.address);
  }

  function seekNearer(): void {
    lookedAt = clock.mono();
    const [best] = candidates();
    const now = nameOf(followed);
    if (!best || best.failed || best.spot?.up !== true || best.address === followed || now === null) return;
    if (steps(self, best.spot) >= steps(self, spotOf(now))) return;
    nearer = best.address;
    void ask(nearer);
  }
  function nameOf(address: Address | null): string | null {
    for (const m of controlState.members) if (m.address === address) return m.name;
    return null;
  }

  function noteTurn(): void {
    const now = clock.mono();
    const gap = now - lastTurn;
    lastTurn = now;
    if (gap <= GAP_MS) return;
    log.warn(`Stood still for ${Math.round(gap)} ms; serves again once it has fresh news.`);
    heardAt = null;
    wasPartitioned = false;
    firstNonce = nonce + 1;
    wokeAt = now;
    attestedAt = now;
    for (const to of asked) held.get(to)?.tell(followMessage());
  }

  function tick(): void {
    noteTurn();
    const now = clock.mono();
    if (followed === null || now - attestedAt > SILENT_MS) turnAway();
    if (now - touchedAt > LOST_MS && now - soughtAt >= SEEK_MS) seekAnyone();
    if (now - attendedAt >= ATTEND_MS) attend();
    if (now - lookedAt >= NEARER_MS) {
      nearer = null;
      seekNearer();
      chooseStandby();
    }
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
    if (m.snapshot && m.snapshot.slot > controlState.slot) void adopt(m.snapshot, peer);
    let gap = false;
    for (const b of m.batches) {
      if (b.slot <= controlState.slot) continue;
      if (b.slot !== controlState.slot + 1) {
        gap = true;
        break;
      }
      foldBatch(controlState, b.slot, b.batch);
    }
    if (gap && !taker.isTaking()) peer.tell(followMessage());
    if (controlState.slot > before) noteMoved();
    return null;
  }

  /** Fetches a snapshot from the controller that offered it, then asks it for the slots since. */
  async function adopt(offer: SnapshotOffer, peer: Peer): Promise<void> {
    const from = addressOf(peer);
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
    for (const to of asked) held.get(to)?.tell({ kind: 'followed', name: self.name, slot: controlState.slot });
    void saveFloor();
  }

  function addressOf(peer: Peer): Address | null {
    for (const [address, p] of held) if (p === peer) return address;
    return null;
  }

  function onBeat(m: MessageOf<'beat'>, peer: Peer): null {
    noteTurn();
    const from = addressOf(peer);
    if (from === null || !asked.has(from)) {
      peer.tell({ kind: 'unfollow', name: self.name });
      return null;
    }
    if (!accepts(m.ledger) || m.ledger === '') return null;
    time.hear(m.from, m.wall, clock.mono());
    if (m.slot > controlState.slot && !taker.isTaking()) peer.tell(followMessage());
    const sentAt = m.echo >= firstNonce ? nonces.get(m.echo) : undefined;
    if (!m.quorate || sentAt === undefined || controlState.ledger === '' || controlState.slot < Math.max(m.top, floor))
      return null;
    if (heardAt !== null && sentAt <= heardAt) return null;
    heardAt = sentAt;
    touchedAt = clock.mono();
    noteAttested(from);
    attend();
    return null;
  }

  function noteAttested(from: Address): void {
    const now = clock.mono();
    if (from === followed) {
      attestedAt = now;
      if (nearer === null && asked.size > 1) settleOn(from);
      return;
    }
    if (from !== nearer && now - attestedAt <= SILENT_MS / 2) return;
    attestedAt = now;
    settleOn(from);
  }

  async function saveFloor(): Promise<void> {
    if (!disk || savingFloor) return;
    savingFloor = true;
    while (savedFloor < controlState.slot) {
      const slot = controlState.slot;
      const done = await disk.replace(FLOOR_FILE, Buffer.from(JSON.stringify({ ledger: controlState.ledger, slot })));
      if (!done.ok) {
        log.warn(`Could not keep the newest slot (${done.fault.tag}).`);
        break;
      }
      savedFloor = slot;
    }
    savingFloor = false;
  }

  async function save(): Promise<void> {
    if (!disk || savedSlot >= controlState.slot) return;
    const slot = controlState.slot;
    const done = await disk.replace(KEEP_FILE, Buffer.from(JSON.stringify(controlState)));
    if (done.ok) savedSlot = slot;
    else log.warn(`Could not keep the control state (${done.fault.tag}).`);
  }
  function keep(): void {
    void save();
  }
  const keeping: Timer = every(clock, KEEP_EVERY_MS, keep);

  peers.on('changes', onChanges);
  peers.on('beat', onBeat);

  function currentControlState(): ControlState {
    return controlState;
  }
  function fresh(): boolean {
    noteTurn();
    return heardAt !== null && controlState.slot >= floor;
  }
  function partitioned(): boolean {
    noteTurn();
    return heardAt !== null && clock.mono() - heardAt > PARTITIONED_MS;
  }
  function woke(): number {
    noteTurn();
    return wokeAt;
  }
  function sharedNow(): number {
    return time.now(clock.mono(), clock.wall());
  }
  function controllers(): readonly Address[] {
    const out = new Set<Address>(followed === null ? [] : [followed]);
    for (const c of candidates()) out.add(c.address);
    return [...out];
  }
  function following(): Address | null {
    return followed;
  }
  function knowSpots(of: (name: string) => Spot | null): void {
    spotOf = of;
  }
  function tellAll(m: Message): void {
    if (followed === null) return;
    held.get(followed)?.tell(m.kind === 'reports' ? { ...m, reports: m.reports.map(differs) } : m);
  }
  function differs(row: Report): Report {
    const rows = told.get(followed as Address) ?? new Map<string, Report>();
    told.set(followed as Address, rows);
    const out = differenceTo(rows.get(row.reporter), row);
    rows.set(row.reporter, row);
    return out;
  }
  function onReportsAsk(m: MessageOf<'reportsAsk'>, peer: Peer): null {
    const from = addressOf(peer);
    for (const name of m.reporters) if (from !== null) told.get(from)?.delete(name);
    return null;
  }
  peers.on('reportsAsk', onReportsAsk);
  function stop(): void {
    stopped = true;
    ticking.cancel();
    keeping.cancel();
  }
  return {
    controlState: currentControlState,
    fresh,
    partitioned,
    wokeAt: woke,
    sharedNow,
    events,
    controllers,
    followed: following,
    knowSpots,
    tellAll,
    stop,
  };
}

function nowhere(): null {
  return null;
}
