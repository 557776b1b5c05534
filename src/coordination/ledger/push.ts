import type { Message, MessageOf } from '../../protocol/messages.js';
import { memberId, majorityOf } from '../../state/belief.js';
import { mergeReport } from '../../state/reports.js';
import type { Reports } from '../../state/reports.js';
import { every, pause } from '../../transport/clock.js';
import type { Clock, Wakeup } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
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

type Follower = { readonly name: string; readonly zone: string; readonly region: string; readonly peer: Peer; readonly nonce: number; sent: number };

const BEAT_MS = 500;
const QUORATE_MS = 2_000;
const GOSSIP_MS = 1_000;

export function createPush(ledger: Ledger, peers: Peers, clock: Clock, log: Log): Push {
  const followers = new Map<string, Follower>();
  const acked = new Map<string, number>();
  const heard = new Map<string, number>();
  const reports: Reports = new Map();
  const noting = new Set<string>();

  function serve(f: Follower): void {
    const b = ledger.belief();
    if (b.ledger === '' || f.sent >= b.slot) return;
    const batches = ledger.since(f.sent + 1);
    if (batches) {
      f.peer.tell({ kind: 'changes', ledger: b.ledger, batches: [...batches] });
    } else f.peer.tell({ kind: 'changes', ledger: b.ledger, belief: b, batches: [] });
    f.sent = b.slot;
  }

  async function note(m: Pick<Follower, 'name' | 'zone' | 'region'>): Promise<void> {
    const known = ledger.belief().sluices[m.name];
    if ((known && known.zone === m.zone && known.region === m.region) || noting.has(m.name) || !ledger.isMember()) return;
    noting.add(m.name);
    await ledger.propose({ cause: `${m.name} asked to follow.`, act: { tag: 'sluiceKnown', name: m.name, zone: m.zone, region: m.region } }, 3_000);
    noting.delete(m.name);
  }

  function onFollow(m: MessageOf<'follow'>, peer: Peer): null {
    const foreign = m.ledger !== '' && ledger.belief().ledger !== '' && m.ledger !== ledger.belief().ledger;
    if (foreign) {
      log.error(`${m.name} follows another ledger; it is turned away.`);
      peer.close();
      return null;
    }
    const f: Follower = { name: m.name, zone: m.zone, region: m.region, peer, nonce: m.nonce, sent: m.ledger === '' ? -1 : m.from - 1 };
    const before = followers.get(m.name);
    followers.set(m.name, f);
    if (before?.peer !== peer) peer.onClosed(gone);
    serve(f);
    peer.tell(beatMessage(m.nonce));
    void note(m);
    return null;
    function gone(): void {
      if (followers.get(m.name)?.peer === peer) followers.delete(m.name);
    }
  }

  function onFollowed(m: MessageOf<'followed'>): null {
    acked.set(m.name, Math.max(acked.get(m.name) ?? -1, m.slot));
    return null;
  }

  function onReports(m: MessageOf<'reports'>, peer: Peer): null {
    for (const r of m.reports) {
      const have = reports.get(r.reporter);
      if (mergeReport(reports, r)) heard.set(r.reporter, clock.mono());
      else if (have && have.run !== r.run && have.incarnation >= r.incarnation) peer.tell({ kind: 'outlived', reporter: r.reporter, incarnation: have.incarnation });
    }
    return null;
  }

  function beatMessage(echo: number): Message {
    return { kind: 'beat', from: ledger.self.name, ledger: ledger.belief().ledger, slot: ledger.belief().slot, top: ledger.top(), quorate: quorate(), wall: clock.wall(), echo };
  }

  function quorate(): boolean {
    if (!ledger.isMember() || !ledger.writable()) return false;
    let n = 0;
    for (const m of ledger.belief().members) {
      const at = ledger.heardAt(memberId(m));
      if (memberId(m) === memberId(ledger.self) || (at !== null && clock.mono() - at < QUORATE_MS)) n += 1;
    }
    return n >= majorityOf(ledger.belief().members);
  }

  function beat(): void {
    for (const f of followers.values()) {
      serve(f);
      f.peer.tell(beatMessage(f.nonce));
      void note(f);
    }
  }
  const beating: Wakeup = every(clock, BEAT_MS, beat);

  function gossip(): void {
    const fresh = [];
    for (const r of reports.values()) if (clock.mono() - (heard.get(r.reporter) ?? 0) < 3 * GOSSIP_MS) fresh.push(r);
    if (fresh.length === 0) return;
    for (const m of ledger.belief().members) {
      if (memberId(m) !== memberId(ledger.self)) void peers.tell(m.address, { kind: 'reports', reports: fresh });
    }
  }
  const gossiping: Wakeup = every(clock, GOSSIP_MS, gossip);

  function onFolded(): void {
    for (const f of followers.values()) serve(f);
  }
  ledger.events.on('folded', onFolded);
  ledger.events.on('adopted', onFolded);

  function unconfirmed(slot: number): string[] {
    const out: string[] = [];
    for (const name of Object.keys(ledger.belief().sluices)) if (confirmedSlot(name) < slot) out.push(name);
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
  peers.on('followed', onFollowed);
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
