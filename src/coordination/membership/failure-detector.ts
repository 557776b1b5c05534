/**
 * Which nodes are there: probes one node in turn, directly and through helpers, suspects and forgets, and passes news on
 * with probes (after SWIM, Das, Gupta and Motivala, 2002). All nodes run one; it decides nothing about the ledger.
 */
import { createEvents } from '../../base/events.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import type { NodeInfo, NodeUpdate } from '../../state/membership/node-info.js';
import { briefUpdate, isUp, mergeNode, sumOf, fullUpdate } from '../../state/membership/members.js';
import type { Members } from '../../state/membership/members.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import { shuffled } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import type { Address } from '../../transport/wire.js';
import type { Peers } from '../messaging/peers.js';

/** `changed`: the status or address of a node is another one now. */
export type MembershipEvents = { readonly changed: { readonly node: NodeInfo } };

/** The nodes that are known, and their status. */
export interface Membership {
  all(): readonly NodeInfo[];
  get(name: string): NodeInfo | null;
  readonly events: {
    readonly on: <K extends keyof MembershipEvents>(name: K, callback: (event: MembershipEvents[K]) => void) => void;
  };
  leave(): void;
  stop(): void;
}

const PERIOD_MS = 500;
const DIRECT_MS = 250;
const INDIRECT_MS = 600;
const HELPERS = 3;
const SUSPECT_MS = 2_500;
const NEWS_BYTES = 1_000;
const TIMES_TOLD = 4;
const FAR_EACH = 4;
const SEED_EACH = 8;
const GONE_EACH = 3;
const COMPARE_MS = 10_000;
const FORGET_MS = 600_000;

class SwimMembership implements Membership {
  readonly events = createEvents<MembershipEvents>();
  private readonly members: Members;
  private readonly sendCounts = new Map<string, number>();
  private readonly suspectAt = new Map<string, number>();
  private readonly goneAt = new Map<string, number>();
  private readonly rounds: Record<'near' | 'far', string[]> = { near: [], far: [] };
  private turns = 0;
  private introduced = false;
  private sum: number | null = null;
  private comparedAt: number;
  private readonly ticking: Timer;

  constructor(
    private readonly self: NodeInfo,
    private readonly contacts: () => Iterable<Address>,
    private readonly peers: Peers,
    private readonly clock: Clock,
    private readonly rng: Rng,
    private readonly log: Log,
  ) {
    this.members = new Map([[this.self.name, this.self]]);
    this.comparedAt = this.clock.mono();

    this.peers.on('probe', (message) => this.onProbe(message));

    this.peers.on('probeFor', (message) => this.onProbeFor(message));
    this.ticking = every(this.clock, PERIOD_MS, () => this.tick());

    this.tick();
  }

  private own(): NodeInfo {
    return this.members.get(this.self.name) ?? this.self;
  }

  private applyUpdates(updates: readonly (NodeInfo | NodeUpdate)[], all = false): void {
    for (const update of updates) {
      const node = fullUpdate(this.members, this.self.name, update);
      if (!node || (!isUp(node) && !this.members.has(node.name) && !(all && node.status === 'dead'))) continue;
      const step = mergeNode(this.members, this.self.name, node);
      if (step.refuted) this.log.warn('refuting own failure', { status: node.status });
      if (!step.changed) continue;
      this.onStatusChanged(this.members.get(node.name) as NodeInfo, !all);
    }
  }

  private onStatusChanged(node: NodeInfo, spread = true): void {
    this.sum = null;
    if (spread) this.sendCounts.set(node.name, 0);
    if (node.status === 'suspect') {
      if (!this.suspectAt.has(node.name)) this.suspectAt.set(node.name, this.clock.mono());
    } else this.suspectAt.delete(node.name);
    if (isUp(node)) this.goneAt.delete(node.name);
    else this.goneAt.set(node.name, this.clock.mono());
    if (node.name !== this.self.name) this.log.info('node status changed', { node: node.name, status: node.status });
    this.events.emit('changed', { node });
  }

  private updates(): (NodeInfo | NodeUpdate)[] {
    const fewestFirst = (left: string, right: string): number => {
      return (this.sendCounts.get(left) ?? 0) - (this.sendCounts.get(right) ?? 0);
    };
    const names = [...this.sendCounts.keys()].sort(fewestFirst);
    const out: (NodeInfo | NodeUpdate)[] = [];
    let bytes = 0;
    for (const name of names) {
      const node = this.members.get(name);
      const update = node?.status === 'alive' ? node : node && briefUpdate(node);
      bytes += update ? JSON.stringify(update).length : 0;
      if (bytes > NEWS_BYTES) break;
      const count = (this.sendCounts.get(name) ?? 0) + 1;
      if (count >= TIMES_TOLD) this.sendCounts.delete(name);
      else this.sendCounts.set(name, count);
      if (update) out.push(update);
    }
    return out;
  }

  all(): NodeInfo[] {
    return [...this.members.values()];
  }

  private onProbe(message: MessageOf<'probe'>): Message {
    this.applyUpdates(message.news, message.all === true && message.news.length > 1);
    this.applyUpdates([message.from]);
    const known = this.members.get(message.from.name);
    const stranger = known?.run !== message.from.run;
    const out = message.all === true ? this.all() : this.updates();
    if (known && (known.status !== 'alive' || stranger)) out.push(known);
    if (message.all !== true && (stranger || message.news.some(introduces))) out.push(this.own());
    return {
      kind: 'probeAnswer',
      reached: true,
      from: briefUpdate(this.own()),
      sum: this.ownSum(),
      ...(stranger ? { stranger } : {}),
      news: out,
    };
    function introduces(introduced: NodeInfo | NodeUpdate): boolean {
      return introduced.name === message.from.name && 'address' in introduced;
    }
  }

  private async onProbeFor(message: MessageOf<'probeFor'>): Promise<Message> {
    this.applyUpdates(message.news);
    const node = this.members.get(message.target);
    const reached = node ? await this.probe(node.address, DIRECT_MS) : false;
    return { kind: 'probeAnswer', reached, news: this.updates() };
  }

  private async probe(to: Address, waitMs: number): Promise<boolean> {
    const all = this.introduced ? {} : { all: true };
    const response = await this.peers.call(
      to,
      {
        kind: 'probe',
        from: briefUpdate(this.own()),
        ...all,
        news: this.introduced ? this.updates() : [this.own(), ...this.updates()],
      },
      waitMs,
    );
    if (!response.ok || response.value.kind !== 'probeAnswer') return false;
    this.applyUpdates(response.value.news, !this.introduced);
    this.introduced = true;
    if (response.value.from) this.applyUpdates([response.value.from]);
    const unknown =
      response.value.from !== undefined && this.members.get(response.value.from.name)?.run !== response.value.from.run;
    if (response.value.stranger === true || unknown) void this.introduce(to);
    else if (
      response.value.sum !== undefined &&
      response.value.sum !== this.ownSum() &&
      this.sendCounts.size === 0 &&
      this.clock.mono() - this.comparedAt > COMPARE_MS
    )
      void this.compare(to);
    return true;
  }

  private ownSum(): number {
    this.sum ??= sumOf(this.members);
    return this.sum;
  }

  private async compare(to: Address): Promise<void> {
    this.comparedAt = this.clock.mono();
    const response = await this.peers.call(
      to,
      { kind: 'probe', from: briefUpdate(this.own()), all: true, news: this.all() },
      INDIRECT_MS,
    );
    if (response.ok && response.value.kind === 'probeAnswer') this.applyUpdates(response.value.news, true);
  }

  private async introduce(to: Address): Promise<void> {
    const response = await this.peers.call(
      to,
      { kind: 'probe', from: briefUpdate(this.own()), news: [this.own()] },
      2 * DIRECT_MS,
    );
    if (response.ok && response.value.kind === 'probeAnswer') this.applyUpdates(response.value.news);
  }

  private async probeIndirectly(target: NodeInfo): Promise<boolean> {
    const others: NodeInfo[] = [];
    for (const node of this.members.values())
      if (node.name !== this.self.name && node.name !== target.name && node.status === 'alive') others.push(node);
    let reached = false;
    const requests: Promise<void>[] = [];

    const one = async (helper: NodeInfo): Promise<void> => {
      const response = await this.peers.call(
        helper.address,
        { kind: 'probeFor', target: target.name, news: this.updates() },
        INDIRECT_MS,
      );
      if (response.ok && response.value.kind === 'probeAnswer') {
        this.applyUpdates(response.value.news);
        if (response.value.reached) reached = true;
      }
    };
    for (const helper of shuffled(this.rng, others).slice(0, HELPERS)) requests.push(one(helper));
    await Promise.all(requests);
    return reached;
  }

  private nextTarget(): NodeInfo | null {
    const order = this.turns % FAR_EACH === 0 ? (['far', 'near'] as const) : (['near', 'far'] as const);
    for (const which of order) {
      const node = this.nextOf(which);
      if (node) return node;
    }
    return null;
  }

  private nextOf(which: 'near' | 'far'): NodeInfo | null {
    const isOf = (node: NodeInfo): boolean => {
      return node.name !== this.self.name && isUp(node) && (node.region === this.self.region) === (which === 'near');
    };
    for (let name = this.rounds[which].pop(); name !== undefined; name = this.rounds[which].pop()) {
      const node = this.members.get(name);
      if (node && isOf(node)) return node;
    }
    const names: string[] = [];
    for (const node of this.members.values()) if (isOf(node)) names.push(node.name);
    this.rounds[which] = shuffled(this.rng, names);
    const name = this.rounds[which].pop();
    return name === undefined ? null : (this.members.get(name) ?? null);
  }

  private expire(): void {
    const now = this.clock.mono();
    for (const [name, at] of this.suspectAt) {
      const node = this.members.get(name);
      if (!node || now - at < SUSPECT_MS) continue;
      const dead: NodeInfo = { ...node, status: 'dead' };
      this.members.set(name, dead);
      this.onStatusChanged(dead);
    }
    for (const [name, at] of this.goneAt) {
      if (now - at < FORGET_MS) continue;
      this.members.delete(name);
      this.sum = null;
      this.goneAt.delete(name);
      this.sendCounts.delete(name);
    }
  }

  private async turn(): Promise<void> {
    this.expire();
    this.turns += 1;
    if (this.turns % SEED_EACH === 1) void this.contactSeeds();
    if (this.turns % GONE_EACH === 0) void this.contactLostControllers();
    const target = this.nextTarget();
    if (!target) return;
    if (await this.probe(target.address, DIRECT_MS)) return;
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
      if (!known.has(contact) && contact !== this.self.address) await this.probe(contact, 2 * DIRECT_MS);
    await this.contactOne((node) => this.isDead(node));
  }

  // A controller that was cut off while the others were replaced knows none of those that are there now: they have to greet it.
  private async contactLostControllers(): Promise<void> {
    if (this.self.role === 'controller') await this.contactOne((node) => this.isDeadController(node));
  }

  private async contactOne(isWanted: (node: NodeInfo) => boolean): Promise<void> {
    const gone: NodeInfo[] = [];
    for (const node of this.members.values()) if (isWanted(node)) gone.push(node);
    const again = shuffled(this.rng, gone)[0];
    if (again) await this.probe(again.address, DIRECT_MS);
  }

  private isDead(node: NodeInfo): boolean {
    return node.status === 'dead';
  }

  private isDeadController(node: NodeInfo): boolean {
    return node.role === 'controller' && this.isDead(node);
  }

  private tick(): void {
    void this.turn();
  }

  get(name: string): NodeInfo | null {
    return this.members.get(name) ?? null;
  }

  leave(): void {
    const gone: NodeInfo = { ...this.own(), status: 'left' };
    for (const node of this.members.values()) {
      if (node.name !== this.self.name && isUp(node))
        void this.peers.send(node.address, { kind: 'probe', from: briefUpdate(gone), news: [] });
    }
  }

  stop(): void {
    this.ticking.cancel();
  }
}

/** Begins to probe; `contacts` are addresses that are tried while nobody there is known. */
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
