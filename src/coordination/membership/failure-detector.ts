/**
 * Failure detector and membership dissemination after SWIM (Das, Gupta and Motivala, 2002): probes one node at a time,
 * directly and then through helpers, marks unresponsive nodes as suspect and later as dead, and piggybacks membership
 * updates on probes. Runs on every node. It has no part in decisions about the ledger.
 */
import { createEvents } from '../../base/events.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import type { NodeInfo, NodeUpdate } from '../../state/membership/node-info.js';
import { compactUpdate, isUp, mergeNode, membershipDigest, expandUpdate } from '../../state/membership/members.js';
import type { Members } from '../../state/membership/members.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import { shuffled } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import type { Address } from '../../transport/wire.js';
import type { Peers } from '../messaging/peers.js';

/** `changed` is emitted when the status, the address or another property of a node has changed. */
export type MembershipEvents = { readonly changed: { readonly node: NodeInfo } };

/** The known nodes with their status. */
export interface Membership {
  all(): readonly NodeInfo[];
  get(name: string): NodeInfo | null;
  readonly events: {
    readonly on: <K extends keyof MembershipEvents>(name: K, callback: (event: MembershipEvents[K]) => void) => void;
  };
  leave(): void;
  stop(): void;
}

const PROBE_INTERVAL_MS = 500;
const DIRECT_PROBE_TIMEOUT_MS = 250;
const INDIRECT_PROBE_TIMEOUT_MS = 600;
const MAX_PROBE_HELPERS = 3;
const SUSPICION_TIMEOUT_MS = 2_500;
/** Maximum size of the updates piggybacked on one message, as JSON. */
const MAX_UPDATE_BYTES = 1_000;
const MAX_SENDS_PER_UPDATE = 4;
/** One probe in this many prefers a node of another region; the others prefer one of the same region. */
const TICKS_PER_FAR_PROBE = 4;
const TICKS_PER_SEED_CONTACT = 8;
const TICKS_PER_LOST_CONTROLLER_CONTACT = 3;
/** Minimum time between two exchanges of the full table because of differing digests. */
const TABLE_SYNC_INTERVAL_MS = 10_000;
/** How long a node that is dead or has left stays in the table. */
const DOWN_RETENTION_MS = 600_000;

class SwimMembership implements Membership {
  readonly events = createEvents<MembershipEvents>();
  private readonly members: Members;
  private readonly sendCounts = new Map<string, number>();
  private readonly suspectSince = new Map<string, number>();
  private readonly downSince = new Map<string, number>();
  /** Remaining targets of the current round in the same region (`near`) and in other regions (`far`). */
  private readonly probeQueues: Record<'near' | 'far', string[]> = { near: [], far: [] };
  private tickCount = 0;
  private isIntroduced = false;
  private cachedDigest: number | null = null;
  private lastTableSyncAt: number;
  private readonly probeTimer: Timer;

  constructor(
    private readonly self: NodeInfo,
    private readonly contacts: () => Iterable<Address>,
    private readonly peers: Peers,
    private readonly clock: Clock,
    private readonly rng: Rng,
    private readonly log: Log,
  ) {
    this.members = new Map([[this.self.name, this.self]]);
    this.lastTableSyncAt = this.clock.mono();

    this.peers.on('probe', (message) => this.onProbe(message));

    this.peers.on('probeFor', (message) => this.onProbeFor(message));
    this.probeTimer = every(this.clock, PROBE_INTERVAL_MS, () => this.tick());

    this.tick();
  }

  private ownInfo(): NodeInfo {
    return this.members.get(this.self.name) ?? this.self;
  }

  private applyUpdates(updates: readonly (NodeInfo | NodeUpdate)[], isFullTable = false): void {
    for (const update of updates) {
      const node = expandUpdate(this.members, this.self.name, update);
      if (!node || (!isUp(node) && !this.members.has(node.name) && !(isFullTable && node.status === 'dead'))) continue;
      const merge = mergeNode(this.members, this.self.name, node);
      if (merge.refuted) this.log.warn('refuting own failure', { status: node.status });
      if (!merge.changed) continue;
      this.onStatusChanged(this.members.get(node.name) as NodeInfo, !isFullTable);
    }
  }

  private onStatusChanged(node: NodeInfo, shouldSpread = true): void {
    this.cachedDigest = null;
    if (shouldSpread) this.sendCounts.set(node.name, 0);
    if (node.status === 'suspect') {
      if (!this.suspectSince.has(node.name)) this.suspectSince.set(node.name, this.clock.mono());
    } else this.suspectSince.delete(node.name);
    if (isUp(node)) this.downSince.delete(node.name);
    else this.downSince.set(node.name, this.clock.mono());
    if (node.name !== this.self.name) this.log.info('node status changed', { node: node.name, status: node.status });
    this.events.emit('changed', { node });
  }

  private pendingUpdates(): (NodeInfo | NodeUpdate)[] {
    const byFewestSends = (left: string, right: string): number => {
      return (this.sendCounts.get(left) ?? 0) - (this.sendCounts.get(right) ?? 0);
    };
    const names = [...this.sendCounts.keys()].sort(byFewestSends);
    const updates: (NodeInfo | NodeUpdate)[] = [];
    let bytes = 0;
    for (const name of names) {
      const node = this.members.get(name);
      const update = node?.status === 'alive' ? node : node && compactUpdate(node);
      bytes += update ? JSON.stringify(update).length : 0;
      if (bytes > MAX_UPDATE_BYTES) break;
      const sendCount = (this.sendCounts.get(name) ?? 0) + 1;
      if (sendCount >= MAX_SENDS_PER_UPDATE) this.sendCounts.delete(name);
      else this.sendCounts.set(name, sendCount);
      if (update) updates.push(update);
    }
    return updates;
  }

  all(): NodeInfo[] {
    return [...this.members.values()];
  }

  private onProbe(message: MessageOf<'probe'>): Message {
    this.applyUpdates(message.news, message.all === true && message.news.length > 1);
    this.applyUpdates([message.from]);
    const known = this.members.get(message.from.name);
    const isUnknownRun = known?.run !== message.from.run;
    const updates = message.all === true ? this.all() : this.pendingUpdates();
    if (known && (known.status !== 'alive' || isUnknownRun)) updates.push(known);
    if (message.all !== true && (isUnknownRun || message.news.some(isIntroduction))) updates.push(this.ownInfo());
    return {
      kind: 'probeAnswer',
      reached: true,
      from: compactUpdate(this.ownInfo()),
      sum: this.ownDigest(),
      ...(isUnknownRun ? { stranger: isUnknownRun } : {}),
      news: updates,
    };
    function isIntroduction(update: NodeInfo | NodeUpdate): boolean {
      return update.name === message.from.name && 'address' in update;
    }
  }

  private async onProbeFor(message: MessageOf<'probeFor'>): Promise<Message> {
    this.applyUpdates(message.news);
    const node = this.members.get(message.target);
    const reached = node ? await this.probe(node.address, DIRECT_PROBE_TIMEOUT_MS) : false;
    return { kind: 'probeAnswer', reached, news: this.pendingUpdates() };
  }

  private async probe(to: Address, timeoutMs: number): Promise<boolean> {
    const fullTable = this.isIntroduced ? {} : { all: true };
    const response = await this.peers.call(
      to,
      {
        kind: 'probe',
        from: compactUpdate(this.ownInfo()),
        ...fullTable,
        news: this.isIntroduced ? this.pendingUpdates() : [this.ownInfo(), ...this.pendingUpdates()],
      },
      timeoutMs,
    );
    if (!response.ok || response.value.kind !== 'probeAnswer') return false;
    this.applyUpdates(response.value.news, !this.isIntroduced);
    this.isIntroduced = true;
    if (response.value.from) this.applyUpdates([response.value.from]);
    const isUnknownRun =
      response.value.from !== undefined && this.members.get(response.value.from.name)?.run !== response.value.from.run;
    if (response.value.stranger === true || isUnknownRun) void this.introduce(to);
    else if (
      response.value.sum !== undefined &&
      response.value.sum !== this.ownDigest() &&
      this.sendCounts.size === 0 &&
      this.clock.mono() - this.lastTableSyncAt > TABLE_SYNC_INTERVAL_MS
    )
      void this.syncTable(to);
    return true;
  }

  private ownDigest(): number {
    this.cachedDigest ??= membershipDigest(this.members);
    return this.cachedDigest;
  }

  private async syncTable(to: Address): Promise<void> {
    this.lastTableSyncAt = this.clock.mono();
    const response = await this.peers.call(
      to,
      { kind: 'probe', from: compactUpdate(this.ownInfo()), all: true, news: this.all() },
      INDIRECT_PROBE_TIMEOUT_MS,
    );
    if (response.ok && response.value.kind === 'probeAnswer') this.applyUpdates(response.value.news, true);
  }

  private async introduce(to: Address): Promise<void> {
    const response = await this.peers.call(
      to,
      { kind: 'probe', from: compactUpdate(this.ownInfo()), news: [this.ownInfo()] },
      2 * DIRECT_PROBE_TIMEOUT_MS,
    );
    if (response.ok && response.value.kind === 'probeAnswer') this.applyUpdates(response.value.news);
  }

  private async probeIndirectly(target: NodeInfo): Promise<boolean> {
    const helpers: NodeInfo[] = [];
    for (const node of this.members.values())
      if (node.name !== this.self.name && node.name !== target.name && node.status === 'alive') helpers.push(node);
    let reached = false;
    const requests: Promise<void>[] = [];

    const probeThrough = async (helper: NodeInfo): Promise<void> => {
      const response = await this.peers.call(
        helper.address,
        { kind: 'probeFor', target: target.name, news: this.pendingUpdates() },
        INDIRECT_PROBE_TIMEOUT_MS,
      );
      if (response.ok && response.value.kind === 'probeAnswer') {
        this.applyUpdates(response.value.news);
        if (response.value.reached) reached = true;
      }
    };
    for (const helper of shuffled(this.rng, helpers).slice(0, MAX_PROBE_HELPERS)) requests.push(probeThrough(helper));
    await Promise.all(requests);
    return reached;
  }

  private nextTarget(): NodeInfo | null {
    const scopes = this.tickCount % TICKS_PER_FAR_PROBE === 0 ? (['far', 'near'] as const) : (['near', 'far'] as const);
    for (const scope of scopes) {
      const node = this.nextTargetOf(scope);
      if (node) return node;
    }
    return null;
  }

  private nextTargetOf(scope: 'near' | 'far'): NodeInfo | null {
    const isInScope = (node: NodeInfo): boolean => {
      return node.name !== this.self.name && isUp(node) && (node.region === this.self.region) === (scope === 'near');
    };
    for (let name = this.probeQueues[scope].pop(); name !== undefined; name = this.probeQueues[scope].pop()) {
      const node = this.members.get(name);
      if (node && isInScope(node)) return node;
    }
    const names: string[] = [];
    for (const node of this.members.values()) if (isInScope(node)) names.push(node.name);
    this.probeQueues[scope] = shuffled(this.rng, names);
    const name = this.probeQueues[scope].pop();
    return name === undefined ? null : (this.members.get(name) ?? null);
  }

  private expireStatuses(): void {
    const now = this.clock.mono();
    for (const [name, at] of this.suspectSince) {
      const node = this.members.get(name);
      if (!node || now - at < SUSPICION_TIMEOUT_MS) continue;
      const dead: NodeInfo = { ...node, status: 'dead' };
      this.members.set(name, dead);
      this.onStatusChanged(dead);
    }
    for (const [name, at] of this.downSince) {
      if (now - at < DOWN_RETENTION_MS) continue;
      this.members.delete(name);
      this.cachedDigest = null;
      this.downSince.delete(name);
      this.sendCounts.delete(name);
    }
  }

  private async runProbeRound(): Promise<void> {
    this.expireStatuses();
    this.tickCount += 1;
    if (this.tickCount % TICKS_PER_SEED_CONTACT === 1) void this.contactSeeds();
    if (this.tickCount % TICKS_PER_LOST_CONTROLLER_CONTACT === 0) void this.contactLostControllers();
    const target = this.nextTarget();
    if (!target) return;
    if (await this.probe(target.address, DIRECT_PROBE_TIMEOUT_MS)) return;
    if (await this.probeIndirectly(target)) return;
    const known = this.members.get(target.name);
    if (!known || known.status !== 'alive' || known.incarnation !== target.incarnation) return;
    const suspect: NodeInfo = { ...known, status: 'suspect' };
    this.members.set(target.name, suspect);
    this.onStatusChanged(suspect);
  }

  private async contactSeeds(): Promise<void> {
    const known = new Set<Address>();
    for (const node of this.members.values()) if (node.status === 'alive') known.add(node.address);
    for (const contact of this.contacts())
      if (!known.has(contact) && contact !== this.self.address) await this.probe(contact, 2 * DIRECT_PROBE_TIMEOUT_MS);
    await this.probeRandom((node) => this.isDead(node));
  }

  // A controller that was partitioned while the others were replaced knows none of the current controllers. It can't
  // contact them, so they probe it.
  private async contactLostControllers(): Promise<void> {
    if (this.self.role === 'controller') await this.probeRandom((node) => this.isDeadController(node));
  }

  private async probeRandom(isCandidate: (node: NodeInfo) => boolean): Promise<void> {
    const candidates: NodeInfo[] = [];
    for (const node of this.members.values()) if (isCandidate(node)) candidates.push(node);
    const selected = shuffled(this.rng, candidates)[0];
    if (selected) await this.probe(selected.address, DIRECT_PROBE_TIMEOUT_MS);
  }

  private isDead(node: NodeInfo): boolean {
    return node.status === 'dead';
  }

  private isDeadController(node: NodeInfo): boolean {
    return node.role === 'controller' && this.isDead(node);
  }

  private tick(): void {
    void this.runProbeRound();
  }

  get(name: string): NodeInfo | null {
    return this.members.get(name) ?? null;
  }

  leave(): void {
    const departing: NodeInfo = { ...this.ownInfo(), status: 'left' };
    for (const node of this.members.values()) {
      if (node.name !== this.self.name && isUp(node))
        void this.peers.send(node.address, { kind: 'probe', from: compactUpdate(departing), news: [] });
    }
  }

  stop(): void {
    this.probeTimer.cancel();
  }
}

/** Starts probing; addresses in `contacts` are probed as long as no alive node is known there. */
export function createMembership(
  self: NodeInfo,
  contacts: () => Iterable<Address>,
  peers: Peers,
  clock: Clock,
  rng: Rng,
  log: Log,
): Membership {
  return new SwimMembership(self, contacts, peers, clock, rng, log);
}
