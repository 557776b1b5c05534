import type { MessageOf } from '../../protocol/messages.js';
import type { Report } from '../../state/report.js';
import { memberId, majorityOf } from '../../state/control-state.js';
import { differenceTo, mergeReport } from '../../state/reports.js';
import type { Reports } from '../../state/reports.js';
import type { Member } from '../../state/entry.js';
import { every, delay } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { SnapshotOffer } from '../../state/snapshot-parts.js';
import type { QuorumAttestation } from './quorum-attestation.js';
import { PAGE_BYTES, snapshotInstead } from './catch-up.js';
import type { Ledger } from './ledger.js';
import type { Peer, Peers } from '../members/peers.js';

export interface Push {
  reports(): Reports;
  lastContactAt(name: string): number | null;
  confirmedSlot(name: string): number;
  unconfirmed(slot: number): string[];
  confirm(slot: number, waitMs: number): Promise<string[]>;
  quorate(): boolean;
  stop(): void;
}

type ReceivedNonce = { readonly nonce: number; readonly at: number };
type Follower = {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  readonly peer: Peer;
  nonces: ReceivedNonce[];
  attested: number;
  lastContactAt: number;
  lastHeartbeatAt: number;
  sent: number;
};

const BEAT_MS = 500;
const QUORATE_MS = 2_000;
const GOSSIP_MS = 1_000;
const CONFIRMED_MS = 20;
const FOLLOWER_SILENT_MS = 5_000;
const NONCES_KEPT = 8;

class ChangePush implements Push {
  private readonly followers = new Map<string, Follower>();
  private readonly acknowledged = new Map<string, number>();
  private readonly lastContacts = new Map<string, number>();
  private readonly currentReports: Reports = new Map();
  private readonly proposing = new Set<string>();
  private readonly sentReports = new Map<string, Map<string, Report>>();
  private readonly pendingRelays = new Map<string, Set<string>>();
  private confirmed: Record<string, number> = {};
  private relayScheduled = false;
  private relays = 0;
  private readonly heartbeatTimer: Timer;
  private readonly gossiping: Timer;

  constructor(
    private readonly ledger: Ledger,
    private readonly quorumAttestation: QuorumAttestation,
    private readonly peers: Peers,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {
    this.quorumAttestation.events.on('attested', () => this.onAttestation());
    this.heartbeatTimer = every(this.clock, BEAT_MS, () => this.heartbeat());
    this.gossiping = every(this.clock, GOSSIP_MS, () => this.gossip());

    this.ledger.events.on('folded', () => this.onFolded());

    this.ledger.events.on('adopted', () => this.onFolded());

    this.peers.on('follow', (m, peer) => this.onFollow(m, peer));

    this.peers.on('attend', (m, peer) => this.onFollowerHeartbeat(m, peer));

    this.peers.on('unfollow', (m, peer) => this.onUnfollow(m, peer));

    this.peers.on('followed', (m) => this.onFollowed(m));

    this.peers.on('confirmed', (m) => this.onConfirmed(m));

    this.peers.on('reportsAsk', (m) => this.onReportsRequest(m));

    this.peers.on('reports', (m, peer) => this.onReports(m, peer));
  }

  private offerToProxy(slot: number): SnapshotOffer | null {
    return this.ledger.history.offer('proxy', slot);
  }

  /** Tells a proxy all slots it was not told yet, in pages, or offers it a snapshot to fetch. */
  private serve(f: Follower): void {
    const b = this.ledger.controlState();
    if (b.ledger === '' || f.sent >= b.slot) return;
    const snapshot = snapshotInstead(this.ledger.history, f.sent + 1, (slot) => this.offerToProxy(slot));
    if (snapshot) {
      f.peer.send({ kind: 'changes', ledger: b.ledger, snapshot, batches: [] });
      f.sent = snapshot.slot;
    }
    while (f.sent < b.slot) {
      const batches = this.ledger.history.page(f.sent + 1, PAGE_BYTES);
      if (!batches || batches.length === 0) return;
      f.peer.send({ kind: 'changes', ledger: b.ledger, batches: [...batches] });
      f.sent += batches.length;
    }
  }

  private async recordProxy(m: Pick<Follower, 'name' | 'zone' | 'region'>): Promise<void> {
    const known = this.ledger.controlState().proxies[m.name];
    if (
      (known && known.zone === m.zone && known.region === m.region) ||
      this.proposing.has(m.name) ||
      !this.ledger.isMember()
    )
      return;
    this.proposing.add(m.name);
    await this.ledger.propose(
      {
        cause: `${m.name} asked to follow.`,
        act: { tag: 'proxyKnown', name: m.name, zone: m.zone, region: m.region },
      },
      3_000,
    );
    this.proposing.delete(m.name);
  }

  private onFollow(m: MessageOf<'follow'>, peer: Peer): null {
    const foreign =
      m.ledger !== '' && this.ledger.controlState().ledger !== '' && m.ledger !== this.ledger.controlState().ledger;
    if (foreign) {
      this.log.error(`${m.name} follows another ledger; it is turned away.`);
      peer.close();
      return null;
    }
    const before = this.followers.get(m.name);
    const now = this.clock.mono();
    const nonces = before?.peer === peer ? [...before.nonces] : [];
    const f: Follower = {
      name: m.name,
      zone: m.zone,
      region: m.region,
      peer,
      nonces: nonces.slice(-NONCES_KEPT),
      attested: 0,
      lastContactAt: now,
      lastHeartbeatAt: 0,
      sent: m.ledger === '' ? -1 : m.from - 1,
    };
    f.nonces.push({ nonce: m.nonce, at: now });
    this.followers.set(m.name, f);

    const gone = (): void => {
      if (this.followers.get(m.name)?.peer === peer) this.followers.delete(m.name);
    };
    if (before?.peer !== peer) peer.onClosed(gone);
    this.serve(f);
    this.quorumAttestation.requestSoon();
    void this.recordProxy(m);
    return null;
  }

  private onFollowerHeartbeat(m: MessageOf<'attend'>, peer: Peer): null {
    const f = this.followers.get(m.name);
    if (!f || f.peer !== peer) return null;
    f.lastContactAt = this.clock.mono();
    f.nonces = [...f.nonces.slice(-NONCES_KEPT), { nonce: m.nonce, at: f.lastContactAt }];
    return null;
  }

  private onUnfollow(m: MessageOf<'unfollow'>, peer: Peer): null {
    if (this.followers.get(m.name)?.peer === peer) this.followers.delete(m.name);
    return null;
  }

  private recordAcknowledged(name: string, slot: number): boolean {
    if ((this.acknowledged.get(name) ?? -1) >= slot) return false;
    this.acknowledged.set(name, slot);
    return true;
  }

  private onFollowed(m: MessageOf<'followed'>): null {
    if (!this.recordAcknowledged(m.name, m.slot)) return null;
    this.confirmed[m.name] = m.slot;
    if (!this.relayScheduled) this.clock.timer(CONFIRMED_MS, () => this.relayConfirmed());
    this.relayScheduled = true;
    return null;
  }

  private relayConfirmed(): void {
    this.relayScheduled = false;
    const slots = this.confirmed;
    this.confirmed = {};
    for (const m of this.others()) void this.peers.send(m.address, { kind: 'confirmed', slots });
  }

  private onConfirmed(m: MessageOf<'confirmed'>): null {
    for (const [name, slot] of Object.entries(m.slots)) this.recordAcknowledged(name, slot);
    return null;
  }

  private others(): Member[] {
    const out: Member[] = [];
    for (const m of this.ledger.controlState().members) if (memberId(m) !== memberId(this.ledger.self)) out.push(m);
    return out;
  }

  private onReports(m: MessageOf<'reports'>, peer: Peer): null {
    const missed: string[] = [];
    for (const r of m.reports) {
      const have = this.currentReports.get(r.reporter);
      const step = mergeReport(this.currentReports, r);
      if (step === 'merged') {
        this.lastContacts.set(r.reporter, this.clock.mono());
        if (m.by === undefined) this.scheduleRelay(r.reporter, this.others());
        else this.scheduleRelay(r.reporter, this.relayTo(m.by));
      } else if (step === 'gap') missed.push(r.reporter);
      else if (have && have.run !== r.run && have.incarnation >= r.incarnation)
        peer.send({ kind: 'outlived', reporter: r.reporter, incarnation: have.incarnation });
    }
    if (missed.length > 0) peer.send({ kind: 'reportsAsk', by: this.ledger.self.name, reporters: missed });
    return null;
  }

  private relayTo(by: string): Member[] {
    const others: Member[] = [];
    for (const m of this.others()) if (m.name !== by) others.push(m);
    const one = others[this.relays % Math.max(1, others.length)];
    return one ? [one] : [];
  }

  private scheduleRelay(reporter: string, to: readonly Member[]): void {
    for (const m of to) {
      const names = this.pendingRelays.get(m.name) ?? new Set<string>();
      names.add(reporter);
      this.pendingRelays.set(m.name, names);
    }
  }

  private onReportsRequest(m: MessageOf<'reportsAsk'>): null {
    for (const name of m.reporters) {
      this.sentReports.get(m.by)?.delete(name);
      for (const to of this.others()) if (to.name === m.by) this.scheduleRelay(name, [to]);
    }
    return null;
  }

  private attestedOf(f: Follower): { readonly echo: number; readonly top: number } {
    const a = this.quorumAttestation.newest();
    let echo = 0;
    for (const q of f.nonces) if (a && q.at <= a.asOf) echo = Math.max(echo, q.nonce);
    return { echo, top: a?.top ?? this.ledger.top() };
  }

  private sendHeartbeat(f: Follower): void {
    const b = this.ledger.controlState();
    const { echo, top } = this.attestedOf(f);
    f.attested = echo;
    f.lastHeartbeatAt = this.clock.mono();
    f.peer.send({
      kind: 'beat',
      from: this.ledger.self.name,
      ledger: b.ledger,
      slot: b.slot,
      top,
      quorate: echo > 0,
      wall: this.quorumAttestation.sharedNow(),
      echo,
    });
  }

  private onAttestation(): void {
    for (const f of this.followers.values()) if (f.attested === 0 && this.attestedOf(f).echo > 0) this.sendHeartbeat(f);
  }

  quorate(): boolean {
    if (!this.ledger.isMember() || !this.ledger.writable()) return false;
    let n = 0;
    for (const m of this.ledger.controlState().members) {
      const at = this.ledger.lastContactAt(memberId(m));
      if (memberId(m) === memberId(this.ledger.self) || (at !== null && this.clock.mono() - at < QUORATE_MS)) n += 1;
    }
    return n >= majorityOf(this.ledger.controlState().members);
  }

  private heartbeat(): void {
    const now = this.clock.mono();
    for (const f of [...this.followers.values()]) {
      if (now - f.lastContactAt > FOLLOWER_SILENT_MS) {
        this.followers.delete(f.name);
        continue;
      }
      this.serve(f);
      this.sendHeartbeat(f);
      void this.recordProxy(f);
    }
  }

  private gossip(): void {
    this.relays += 1;
    for (const m of this.others()) {
      const names = this.pendingRelays.get(m.name);
      if (names && names.size > 0) void this.relayReports(m, names);
      this.pendingRelays.delete(m.name);
    }
  }

  private async relayReports(m: Member, names: ReadonlySet<string>): Promise<void> {
    const before = this.sentReports.get(m.name) ?? new Map<string, Report>();
    this.sentReports.set(m.name, before);
    const rows: Report[] = [];
    for (const name of names) {
      const row = this.currentReports.get(name);
      if (!row) continue;
      rows.push(differenceTo(before.get(name), row));
      before.set(name, row);
    }
    if (!(await this.peers.send(m.address, { kind: 'reports', by: this.ledger.self.name, reports: rows })))
      this.sentReports.delete(m.name);
  }

  private onFolded(): void {
    for (const f of this.followers.values()) this.serve(f);
    this.onAttestation();
  }

  unconfirmed(slot: number): string[] {
    const out: string[] = [];
    for (const name of Object.keys(this.ledger.controlState().proxies))
      if (this.confirmedSlot(name) < slot) out.push(name);
    return out;
  }

  confirmedSlot(name: string): number {
    return Math.max(this.acknowledged.get(name) ?? -1, this.currentReports.get(name)?.slot ?? -1);
  }

  async confirm(slot: number, waitMs: number): Promise<string[]> {
    const until = this.clock.mono() + waitMs;
    let left = this.unconfirmed(slot);
    while (left.length > 0 && this.clock.mono() < until) {
      await delay(this.clock, 20);
      left = this.unconfirmed(slot);
    }
    return left;
  }

  reports(): Reports {
    return this.currentReports;
  }

  lastContactAt(name: string): number | null {
    return this.lastContacts.get(name) ?? null;
  }

  stop(): void {
    this.heartbeatTimer.cancel();
    this.gossiping.cancel();
  }
}

export function createPush(
  ledger: Ledger,
  quorumAttestation: QuorumAttestation,
  peers: Peers,
  clock: Clock,
  log: Log,
): Push {
  return new ChangePush(ledger, quorumAttestation, peers, clock, log);
}
