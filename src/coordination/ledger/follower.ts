import { createEvents } from '../../base/events.js';
import { isTable } from '../../base/is-table.js';
import { parsedJson } from '../../base/parsed-json.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import { emptyBelief, foldBatch, isBelief, majorityOf } from '../../state/belief.js';
import type { Belief } from '../../state/belief.js';
import { createSharedTime } from '../../state/shared-time.js';
import { every } from '../../transport/clock.js';
import type { Clock, Wakeup } from '../../transport/clock.js';
import type { Disk } from '../../transport/disk.js';
import type { Log } from '../../transport/log.js';
import type { Address } from '../../transport/wire.js';
import type { Peer, Peers } from '../members/peers.js';

export type FollowerEvents = { readonly moved: { readonly slot: number } };

export type Follower = {
  readonly belief: () => Belief;
  readonly fresh: () => boolean;
  readonly islanded: () => boolean;
  readonly wokeAt: () => number;
  readonly sharedNow: () => number;
  readonly events: { readonly on: <K extends keyof FollowerEvents>(name: K, fn: (e: FollowerEvents[K]) => void) => void };
  readonly headgates: () => readonly Address[];
  readonly tellAll: (m: Message) => void;
  readonly stop: () => void;
};

export type FollowerSelf = { readonly name: string; readonly zone: string; readonly region: string };

const FOLLOW_MS = 500;
const GAP_MS = 1_500;
const ISLANDED_MS = 2_500;
const KEEP_FILE = 'belief.json';
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
  const heads = new Set<Address>(seeds);
  const time = createSharedTime();
  let belief = emptyBelief();
  let floor = -1;
  let heardAt: number | null = null;
  let wasIslanded = false;
  let nonce = 1;
  let lastTurn = clock.mono();
  let wokeAt = lastTurn;
  const tops = new Map<string, number>();
  let savingFloor = false;
  let savedFloor = -1;
  let savedSlot = -1;

  if (disk) {
    const kept = await disk.load(KEEP_FILE);
    if (kept.ok && kept.value) {
      const read = parsed(kept.value.toString());
      if (read) {
        belief = read;
        floor = read.slot;
        savedSlot = read.slot;
      } else log.warn('The kept belief was unreadable; it is asked for again.');
    }
  }

  if (disk) {
    const kept = await disk.load(FLOOR_FILE);
    if (kept.ok && kept.value) floor = Math.max(floor, parsedFloor(kept.value.toString()));
  }

  function parsedFloor(text: string): number {
    const f = parsedJson(text);
    if (!isTable(f) || typeof f['slot'] !== 'number') return -1;
    return belief.ledger === '' || f['ledger'] === belief.ledger ? f['slot'] : -1;
  }

  function parsed(text: string): Belief | null {
    const b = parsedJson(text);
    return isBelief(b) ? b : null;
  }

  function followMessage(): MessageOf<'follow'> {
    return { kind: 'follow', name: self.name, zone: self.zone, region: self.region, ledger: belief.ledger, from: belief.slot + 1, nonce };
  }

  function targets(): Set<Address> {
    const out = new Set<Address>(belief.members.length > 0 ? [] : heads);
    for (const m of belief.members) out.add(m.address);
    for (const s of seeds) out.add(s);
    return out;
  }

  async function ensure(to: Address): Promise<void> {
    if (held.has(to)) return;
    const got = await peers.hold(to);
    if (!got.ok || held.has(to)) return;
    const peer = got.value;
    held.set(to, peer);
    function gone(): void {
      held.delete(to);
    }
    peer.onClosed(gone);
    peer.tell(followMessage());
  }

  function noteTurn(): void {
    const now = clock.mono();
    const gap = now - lastTurn;
    lastTurn = now;
    if (gap <= GAP_MS) return;
    log.warn(`Stood still for ${Math.round(gap)} ms; serves again once it has fresh news.`);
    heardAt = null;
    wasIslanded = false;
    nonce += 1;
    wokeAt = now;
    tops.clear();
    for (const p of held.values()) p.tell(followMessage());
  }

  function tick(): void {
    noteTurn();
    const wanted = targets();
    for (const to of wanted) void ensure(to);
    for (const [to, peer] of held) {
      if (wanted.has(to)) continue;
      held.delete(to);
      peer.close();
    }
    const now = islanded();
    if (now !== wasIslanded) log.warn(now ? 'No headgate is heard; serves its own region only.' : 'Headgates are heard again.');
    wasIslanded = now;
  }
  const ticking: Wakeup = every(clock, FOLLOW_MS, tick);
  tick();

  function accepts(ledger: string): boolean {
    return belief.ledger === '' || ledger === belief.ledger;
  }

  function onChanges(m: MessageOf<'changes'>, peer: Peer): null {
    if (!accepts(m.ledger)) return null;
    const before = belief.slot;
    if (m.belief !== undefined) {
      if (!isBelief(m.belief)) log.warn('A headgate told a belief of no known shape; it is not taken.');
      else if (m.belief.slot > belief.slot) belief = structuredClone(m.belief);
    }
    let gap = false;
    for (const b of m.batches) {
      if (b.slot <= belief.slot) continue;
      if (b.slot !== belief.slot + 1) {
        gap = true;
        break;
      }
      foldBatch(belief, b.slot, b.batch);
    }
    if (gap) peer.tell(followMessage());
    if (belief.slot === before) return null;
    const names = new Set<string>();
    for (const m of belief.members) names.add(m.name);
    time.keepOnly(names);
    events.emit('moved', { slot: belief.slot });
    for (const p of held.values()) p.tell({ kind: 'followed', name: self.name, slot: belief.slot });
    void saveFloor();
    return null;
  }

  function onBeat(m: MessageOf<'beat'>, peer: Peer): null {
    noteTurn();
    if (!accepts(m.ledger) || m.ledger === '' || m.echo !== nonce) return null;
    time.hear(m.from, m.wall, clock.mono());
    if (m.slot > belief.slot) {
      peer.tell(followMessage());
      return null;
    }
    if (m.quorate && belief.ledger !== '' && (heardAt !== null || hasAllNews(m.from, m.top))) heardAt = clock.mono();
    return null;
  }

  function hasAllNews(from: string, top: number): boolean {
    tops.set(from, top);
    let heard = 0;
    for (const m of belief.members) {
      const at = tops.get(m.name);
      if (at === undefined) continue;
      if (at > belief.slot) return false;
      heard += 1;
    }
    return heard >= majorityOf(belief.members) && belief.slot >= floor;
  }

  async function saveFloor(): Promise<void> {
    if (!disk || savingFloor) return;
    savingFloor = true;
    while (savedFloor < belief.slot) {
      const slot = belief.slot;
      const done = await disk.replace(FLOOR_FILE, Buffer.from(JSON.stringify({ ledger: belief.ledger, slot })));
      if (!done.ok) {
        log.warn(`Could not keep the newest slot (${done.fault.tag}).`);
        break;
      }
      savedFloor = slot;
    }
    savingFloor = false;
  }

  async function save(): Promise<void> {
    if (!disk || savedSlot >= belief.slot) return;
    const slot = belief.slot;
    const done = await disk.replace(KEEP_FILE, Buffer.from(JSON.stringify(belief)));
    if (done.ok) savedSlot = slot;
    else log.warn(`Could not keep the belief (${done.fault.tag}).`);
  }
  function keep(): void {
    void save();
  }
  const keeping: Wakeup = every(clock, KEEP_EVERY_MS, keep);

  peers.on('changes', onChanges);
  peers.on('beat', onBeat);

  function believed(): Belief {
    return belief;
  }
  function fresh(): boolean {
    noteTurn();
    return heardAt !== null && belief.slot >= floor;
  }
  function islanded(): boolean {
    noteTurn();
    return heardAt !== null && clock.mono() - heardAt > ISLANDED_MS;
  }
  function woke(): number {
    noteTurn();
    return wokeAt;
  }
  function sharedNow(): number {
    return time.now(clock.mono(), clock.wall());
  }
  function headgates(): readonly Address[] {
    return [...targets()];
  }
  function tellAll(m: Message): void {
    for (const p of held.values()) p.tell(m);
  }
  function stop(): void {
    ticking.cancel();
    keeping.cancel();
  }
  return { belief: believed, fresh, islanded, wokeAt: woke, sharedNow, events, headgates, tellAll, stop };
}
