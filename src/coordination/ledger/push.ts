import type { MessageOf } from '../../protocol/messages.js';
import type { Report } from '../../state/report.js';
import { memberId, majorityOf } from '../../state/control-state.js';
import { differenceTo, mergeReport } from '../../state/reports.js';
import type { Reports } from '../../state/reports.js';
import type { Member } from '../../state/entry.js';
import { every, pause } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { SnapshotOffer } from '../../state/snapshot-parts.js';
import type { QuorumAttestation } from './quorum-attestation.js';
import { PAGE_BYTES, snapshotInstead } from './catch-up.js';
import type { Ledger } from './ledger.js';
import type { Peer, Peers } from '../members/peers.js';

export type Push = {
  readonly reports: () => Reports;
  readonly heardAt: (name: string) => number | null;
  readonly confirmedSlot: (name: string) => number;
  readonly unconfirmed: (slot: number) => string[];
  readonly confirm: (slot: number, waitMs: number) => Promise<string[]>;
  readonly quorate: () => boolean;
  readonly stop: () => void;
};

type Asked = { readonly nonce: number; readonly at: number };
type Follower = {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  readonly peer: Peer;
  asked: Asked[];
  attested: number;
  heardAt: number;
  beatAt: number;
  sent: number;
};

const BEAT_MS = 500;
const QUORATE_MS = 2_000;
const GOSSIP_MS = 1_000;
const CONFIRMED_MS = 20;
const FOLLOWER_SILENT_MS = 5_000;
const NONCES_KEPT = 8;

export function createPush(
  ledger: Ledger,
  quorumAttestation: QuorumAttestation,
  peers: Peers,
  clock: Clock,
  log: Log,
): Push {
  const followers = new Map<string, Follower>();
  const acked = new Map<string, number>();
  const heard = new Map<string, number>();
  const reports: Reports = new Map();
  const noting = new Set<string>();
  const told = new Map<string, Map<string, Report>>();
  const due = new Map<string, Set<string>>();
  let confirmed: Record<string, number> = {};
  let confirming = false;
  let relays = 0;

  function offerToProxy(slot: number): SnapshotOffer | null {
    return ledger.history.offer('proxy', slot);
  }

  /** Tells a proxy all slots it was not told yet, in pages, or offers it a snapshot to fetch. */
  function serve(f: Follower): void {
    const b = ledger.controlState();
    if (b.ledger === '' || f.sent >= b.slot) return;
    const snapshot = snapshotInstead(ledger.history, f.sent + 1, offerToProxy);
    if (snapshot) {
      f.peer.tell({ kind: 'changes', ledger: b.ledger, snapshot, batches: [] });
      f.sent = snapshot.slot;
    }
    while (f.sent < b.slot) {
      const batches = ledger.history.page(f.sent + 1, PAGE_BYTES);
      if (!batches || batches.length === 0) return;
      f.peer.tell({ kind: 'changes', ledger: b.ledger, batches: [...batches] });
      f.sent += batches.length;
    }
  }

  async function note(m: Pick<Follower, 'name' | 'zone' | 'region'>): Promise<void> {
    const known = ledger.controlState().proxies[m.name];
    if ((known && known.zone === m.zone && known.region === m.region) || noting.has(m.name) || !ledger.isMember())
      return;
    noting.add(m.name);
    await ledger.propose(
      {
        cause: `${m.name} asked to follow.`,
        act: { tag: 'proxyKnown', name: m.name, zone: m.zone, region: m.region },
      },
      3_000,
    );
    noting.delete(m.name);
  }

  function onFollow(m: MessageOf<'follow'>, peer: Peer): null {
    const foreign = m.ledger !== '' && ledger.controlState().ledger !== '' && m.ledger !== ledger.controlState().ledger;
    if (foreign) {
      log.error(`${m.name} follows another ledger; it is turned away.`);
      peer.close();
      return null;
    }
    const before = followers.get(m.name);
    const now = clock.mono();
    const asked = before?.peer === peer ? [...before.asked] : [];
    const f: Follower = {
      name: m.name,
      zone: m.zone,
      region: m.region,
      peer,
      asked: asked.slice(-NONCES_KEPT),
      attested: 0,
      heardAt: now,
      beatAt: 0,
      sent: m.ledger === '' ? -1 : m.from - 1,
    };
    f.asked.push({ nonce: m.nonce, at: now });
    followers.set(m.name, f);
    if (before?.peer !== peer) peer.onClosed(gone);
    serve(f);
    quorumAttestation.askSoon();
    void note(m);
    return null;
    function gone(): void {
      if (followers.get(m.name)?.peer === peer) followers.delete(m.name);
    }
  }

  function onAttend(m: MessageOf<'attend'>, peer: Peer): null {
    const f = followers.get(m.name);
    if (!f || f.peer !== peer) return null;
    f.heardAt = clock.mono();
    f.asked = [...f.asked.slice(-NONCES_KEPT), { nonce: m.nonce, at: f.heardAt }];
    return null;
  }
  function onUnfollow(m: MessageOf<'unfollow'>, peer: Peer): null {
    if (followers.get(m.name)?.peer === peer) followers.delete(m.name);
    return null;
  }

  function noteConfirmed(name: string, slot: number): boolean {
    if ((acked.get(name) ?? -1) >= slot) return false;
    acked.set(name, slot);
    return true;
  }
  function onFollowed(m: MessageOf<'followed'>): null {
    if (!noteConfirmed(m.name, m.slot)) return null;
    confirmed[m.name] = m.slot;
    if (!confirming) clock.timer(CONFIRMED_MS, relayConfirmed);
    confirming = true;
    return null;
  }
  function relayConfirmed(): void {
    confirming = false;
    const slots = confirmed;
    confirmed = {};
    for (const m of others()) void peers.tell(m.address, { kind: 'confirmed', slots });
  }
  function onConfirmed(m: MessageOf<'confirmed'>): null {
    for (const [name, slot] of Object.entries(m.slots)) noteConfirmed(name, slot);
    return null;
  }
  function others(): Member[] {
    const out: Member[] = [];
    for (const m of ledger.controlState().members) if (memberId(m) !== memberId(ledger.self)) out.push(m);
    return out;
  }

  function onReports(m: MessageOf<'reports'>, peer: Peer): null {
    const missed: string[] = [];
    for (const r of m.reports) {
      const have = reports.get(r.reporter);
      const step = mergeReport(reports, r);
      if (step === 'merged') {
        heard.set(r.reporter, clock.mono());
        if (m.by === undefined) markDue(r.reporter, others());
        else markDue(r.reporter, relayTo(m.by));
      } else if (step === 'gap') missed.push(r.reporter);
      else if (have && have.run !== r.run && have.incarnation >= r.incarnation)
        peer.tell({ kind: 'outlived', reporter: r.reporter, incarnation: have.incarnation });
    }
    if (missed.length > 0) peer.tell({ kind: 'reportsAsk', by: ledger.self.name, reporters: missed });
    return null;
  }
  function relayTo(by: string): Member[] {
    const rest: Member[] = [];
    for (const m of others()) if (m.name !== by) rest.push(m);
    const one = rest[relays % Math.max(1, rest.length)];
    return one ? [one] : [];
  }
  function markDue(reporter: string, to: readonly Member[]): void {
    for (const m of to) {
      const names = due.get(m.name) ?? new Set<string>();
      names.add(reporter);
      due.set(m.name, names);
    }
  }
  function onReportsAsk(m: MessageOf<'reportsAsk'>): null {
    for (const name of m.reporters) {
      told.get(m.by)?.delete(name);
      for (const to of others()) if (to.name === m.by) markDue(name, [to]);
    }
    return null;
  }

  function attestedOf(f: Follower): { readonly echo: number; readonly top: number } {
    const a = quorumAttestation.newest();
    let echo = 0;
    for (const q of f.asked) if (a && q.at <= a.asOf) echo = Math.max(echo, q.nonce);
    return { echo, top: a?.top ?? ledger.top() };
  }
  function tellBeat(f: Follower): void {
    const b = ledger.controlState();
    const { echo, top } = attestedOf(f);
    f.attested = echo;
    f.beatAt = clock.mono();
    f.peer.tell({
      kind: 'beat',
      from: ledger.self.name,
      ledger: b.ledger,
      slot: b.slot,
      top,
      quorate: echo > 0,
      wall: quorumAttestation.sharedNow(),
      echo,
    });
  }
  function onTold(): void {
    for (const f of followers.values()) if (f.attested === 0 && attestedOf(f).echo > 0) tellBeat(f);
  }
  quorumAttestation.events.on('told', onTold);

  function quorate(): boolean {
    if (!ledger.isMember() || !ledger.writable()) return false;
    let n = 0;
    for (const m of ledger.controlState().members) {
      const at = ledger.heardAt(memberId(m));
      if (memberId(m) === memberId(ledger.self) || (at !== null && clock.mono() - at < QUORATE_MS)) n += 1;
    }
    return n >= majorityOf(ledger.controlState().members);
  }

  function beat(): void {
    const now = clock.mono();
    for (const f of [...followers.values()]) {
      if (now - f.heardAt > FOLLOWER_SILENT_MS) {
        followers.delete(f.name);
        continue;
      }
      serve(f);
      tellBeat(f);
      void note(f);
    }
  }
  const beating: Timer = every(clock, BEAT_MS, beat);

  function gossip(): void {
    relays += 1;
    for (const m of others()) {
      const names = due.get(m.name);
      if (names && names.size > 0) void tellRows(m, names);
      due.delete(m.name);
    }
  }
  async function tellRows(m: Member, names: ReadonlySet<string>): Promise<void> {
    const before = told.get(m.name) ?? new Map<string, Report>();
    told.set(m.name, before);
    const rows: Report[] = [];
    for (const name of names) {
      const row = reports.get(name);
      if (!row) continue;
      rows.push(differenceTo(before.get(name), row));
      before.set(name, row);
    }
    if (!(await peers.tell(m.address, { kind: 'reports', by: ledger.self.name, reports: rows }))) told.delete(m.name);
  }
  const gossiping: Timer = every(clock, GOSSIP_MS, gossip);

  function onFolded(): void {
    for (const f of followers.values()) serve(f);
    onTold();
  }
  ledger.events.on('folded', onFolded);
  ledger.events.on('adopted', onFolded);

  function unconfirmed(slot: number): string[] {
    const out: string[] = [];
    for (const name of Object.keys(ledger.controlState().proxies)) if (confirmedSlot(name) < slot) out.push(name);
    return out;
  }
  function confirmedSlot(name: string): number {
    return Math.max(acked.get(name) ?? -1, reports.get(name)?.slot ?? -1);
  }

  async function confirm(slot: number, waitMs: number): Promise<string[]> {
    const until = clock.mono() + waitMs;
    let left = unconfirmed(slot);
    while (left.length > 0 && clock.mono() < until) {
      await pause(clock, 20);
      left = unconfirmed(slot);
    }
    return left;
  }

  peers.on('follow', onFollow);
  peers.on('attend', onAttend);
  peers.on('unfollow', onUnfollow);
  peers.on('followed', onFollowed);
  peers.on('confirmed', onConfirmed);
  peers.on('reportsAsk', onReportsAsk);
  peers.on('reports', onReports);

  function reportTable(): Reports {
    return reports;
  }
  function heardAt(name: string): number | null {
    return heard.get(name) ?? null;
  }
  function stop(): void {
    beating.cancel();
    gossiping.cancel();
  }
  return { reports: reportTable, heardAt, confirmedSlot, unconfirmed, confirm, quorate, stop };
}
