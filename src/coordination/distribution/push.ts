import type { MessageOf } from '../../protocol/messages.js';
import type { Report } from '../../state/distribution/report.js';
import { memberId, majorityOf } from '../../state/consensus/control-state.js';
import { differenceTo, mergeReport } from '../../state/distribution/reports.js';
import type { Reports } from '../../state/distribution/reports.js';
import type { Member } from '../../state/consensus/entry.js';
import { every, delay } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { SnapshotOffer } from '../../state/consensus/snapshot-chunks.js';
import type { QuorumAttestation } from './quorum-attestation.js';
import { PAGE_BYTES, snapshotInstead } from '../consensus/catch-up.js';
import type { Ledger } from '../consensus/ledger.js';
import type { Peer, Peers } from '../messaging/peers.js';

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

    this.peers.on('follow', (message, peer) => this.onFollow(message, peer));

    this.peers.on('attend', (message, peer) => this.onFollowerHeartbeat(message, peer));

    this.peers.on('unfollow', (message, peer) => this.onUnfollow(message, peer));

    this.peers.on('followed', (message) => this.onFollowed(message));

    this.peers.on('confirmed', (message) => this.onConfirmed(message));

    this.peers.on('reportsAsk', (message) => this.onReportsRequest(message));

    this.peers.on('reports', (message, peer) => this.onReports(message, peer));
  }

  private offerToProxy(slot: number): SnapshotOffer | null {
    return this.ledger.history.offer('proxy', slot);
  }

  /** Tells a proxy all slots it was not told yet, in pages, or offers it a snapshot to fetch. */
  private serve(follower: Follower): void {
    const state = this.ledger.controlState();
    if (state.ledger === '' || follower.sent >= state.slot) return;
    const snapshot = snapshotInstead(this.ledger.history, follower.sent + 1, (slot) => this.offerToProxy(slot));
    if (snapshot) {
      follower.peer.send({ kind: 'changes', ledger: state.ledger, snapshot, batches: [] });
      follower.sent = snapshot.slot;
    }
    while (follower.sent < state.slot) {
      const batches = this.ledger.history.page(follower.sent + 1, PAGE_BYTES);
      if (!batches || batches.length === 0) return;
      follower.peer.send({ kind: 'changes', ledger: state.ledger, batches: [...batches] });
      follower.sent += batches.length;
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

  private onFollow(message: MessageOf<'follow'>, peer: Peer): null {
    const foreign =
      message.ledger !== '' &&
      this.ledger.controlState().ledger !== '' &&
      message.ledger !== this.ledger.controlState().ledger;
    if (foreign) {
      this.log.error(`${message.name} follows another ledger; it is turned away.`);
      peer.close();
      return null;
    }
    const before = this.followers.get(message.name);
    const now = this.clock.mono();
    const nonces = before?.peer === peer ? [...before.nonces] : [];
    const follower: Follower = {
      name: message.name,
      zone: message.zone,
      region: message.region,
      peer,
      nonces: nonces.slice(-NONCES_KEPT),
      attested: 0,
      lastContactAt: now,
      lastHeartbeatAt: 0,
      sent: message.ledger === '' ? -1 : message.from - 1,
    };
    follower.nonces.push({ nonce: message.nonce, at: now });
    this.followers.set(message.name, follower);

    const gone = (): void => {
      if (this.followers.get(message.name)?.peer === peer) this.followers.delete(message.name);
    };
    if (before?.peer !== peer) peer.onClosed(gone);
    this.serve(follower);
    this.quorumAttestation.requestSoon();
    void this.recordProxy(message);
    return null;
  }

  private onFollowerHeartbeat(message: MessageOf<'attend'>, peer: Peer): null {
    const f = this.followers.get(message.name);
    if (!f || f.peer !== peer) return null;
    f.lastContactAt = this.clock.mono();
    f.nonces = [...f.nonces.slice(-NONCES_KEPT), { nonce: message.nonce, at: f.lastContactAt }];
    return null;
  }

  private onUnfollow(message: MessageOf<'unfollow'>, peer: Peer): null {
    if (this.followers.get(message.name)?.peer === peer) this.followers.delete(message.name);
    return null;
  }

  private recordAcknowledged(name: string, slot: number): boolean {
    if ((this.acknowledged.get(name) ?? -1) >= slot) return false;
    this.acknowledged.set(name, slot);
    return true;
  }

  private onFollowed(message: MessageOf<'followed'>): null {
    if (!this.recordAcknowledged(message.name, message.slot)) return null;
    this.confirmed[message.name] = message.slot;
    if (!this.relayScheduled) this.clock.timer(CONFIRMED_MS, () => this.relayConfirmed());
    this.relayScheduled = true;
    return null;
  }

  private relayConfirmed(): void {
    this.relayScheduled = false;
    const slots = this.confirmed;
    this.confirmed = {};
    for (const member of this.others()) void this.peers.send(member.address, { kind: 'confirmed', slots });
  }

  private onConfirmed(message: MessageOf<'confirmed'>): null {
    for (const [name, slot] of Object.entries(message.slots)) this.recordAcknowledged(name, slot);
    return null;
  }

  private others(): Member[] {
    const out: Member[] = [];
    for (const member of this.ledger.controlState().members)
      if (memberId(member) !== memberId(this.ledger.self)) out.push(member);
    return out;
  }

  private onReports(message: MessageOf<'reports'>, peer: Peer): null {
    const missed: string[] = [];
    for (const report of message.reports) {
      const have = this.currentReports.get(report.reporter);
      const step = mergeReport(this.currentReports, report);
      if (step === 'merged') {
        this.lastContacts.set(report.reporter, this.clock.mono());
        if (message.by === undefined) this.scheduleRelay(report.reporter, this.others());
        else this.scheduleRelay(report.reporter, this.relayTo(message.by));
      } else if (step === 'gap') missed.push(report.reporter);
      else if (have && have.run !== report.run && have.incarnation >= report.incarnation)
        peer.send({ kind: 'outlived', reporter: report.reporter, incarnation: have.incarnation });
    }
    if (missed.length > 0) peer.send({ kind: 'reportsAsk', by: this.ledger.self.name, reporters: missed });
    return null;
  }

  private relayTo(by: string): Member[] {
    const others: Member[] = [];
    for (const member of this.others()) if (member.name !== by) others.push(member);
    const one = others[this.relays % Math.max(1, others.length)];
    return one ? [one] : [];
  }

  private scheduleRelay(reporter: string, to: readonly Member[]): void {
    for (const member of to) {
      const names = this.pendingRelays.get(member.name) ?? new Set<string>();
      names.add(reporter);
      this.pendingRelays.set(member.name, names);
    }
  }

  private onReportsRequest(message: MessageOf<'reportsAsk'>): null {
    for (const name of message.reporters) {
      this.sentReports.get(message.by)?.delete(name);
      for (const to of this.others()) if (to.name === message.by) this.scheduleRelay(name, [to]);
    }
    return null;
  }

  private attestedOf(follower: Follower): { readonly echo: number; readonly top: number } {
    const first = this.quorumAttestation.newest();
    let echo = 0;
    for (const receivedNonce of follower.nonces)
      if (first && receivedNonce.at <= first.asOf) echo = Math.max(echo, receivedNonce.nonce);
    return { echo, top: first?.top ?? this.ledger.top() };
  }

  private sendHeartbeat(follower: Follower): void {
    const state = this.ledger.controlState();
    const { echo, top } = this.attestedOf(follower);
    follower.attested = echo;
    follower.lastHeartbeatAt = this.clock.mono();
    follower.peer.send({
      kind: 'beat',
      from: this.ledger.self.name,
      ledger: state.ledger,
      slot: state.slot,
      top,
      quorate: echo > 0,
      wall: this.quorumAttestation.sharedNow(),
      echo,
    });
  }

  private onAttestation(): void {
    for (const follower of this.followers.values())
      if (follower.attested === 0 && this.attestedOf(follower).echo > 0) this.sendHeartbeat(follower);
  }

  quorate(): boolean {
    if (!this.ledger.isMember() || !this.ledger.writable()) return false;
    let count = 0;
    for (const member of this.ledger.controlState().members) {
      const at = this.ledger.lastContactAt(memberId(member));
      if (memberId(member) === memberId(this.ledger.self) || (at !== null && this.clock.mono() - at < QUORATE_MS))
        count += 1;
    }
    return count >= majorityOf(this.ledger.controlState().members);
  }

  private heartbeat(): void {
    const now = this.clock.mono();
    for (const follower of [...this.followers.values()]) {
      if (now - follower.lastContactAt > FOLLOWER_SILENT_MS) {
        this.followers.delete(follower.name);
        continue;
      }
      this.serve(follower);
      this.sendHeartbeat(follower);
      void this.recordProxy(follower);
    }
  }

  private gossip(): void {
    this.relays += 1;
    for (const member of this.others()) {
      const names = this.pendingRelays.get(member.name);
      if (names && names.size > 0) void this.relayReports(member, names);
      this.pendingRelays.delete(member.name);
    }
  }

  private async relayReports(member: Member, names: ReadonlySet<string>): Promise<void> {
    const before = this.sentReports.get(member.name) ?? new Map<string, Report>();
    this.sentReports.set(member.name, before);
    const rows: Report[] = [];
    for (const name of names) {
      const row = this.currentReports.get(name);
      if (!row) continue;
      rows.push(differenceTo(before.get(name), row));
      before.set(name, row);
    }
    if (!(await this.peers.send(member.address, { kind: 'reports', by: this.ledger.self.name, reports: rows })))
      this.sentReports.delete(member.name);
  }

  private onFolded(): void {
    for (const follower of this.followers.values()) this.serve(follower);
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
