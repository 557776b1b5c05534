/**
 * Chooses a worker and a proxy for a request by the placement policies, and signs the admission token that lets the
 * caller in.
 */
import { hash32 } from '../../base/digest.js';
import { err, ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import type { NodeInfo } from '../../state/membership/node-info.js';
import type { Failure, PlacementRequest, Placement, RejectReason } from '../../protocol/caller-wire.js';
import type { Candidate, SelectionContext } from '../../state/forwarding/candidate.js';
import { selectAmong } from '../../state/forwarding/policies.js';
import type { Choice, Policy } from '../../state/forwarding/policies.js';
import { resolveAll } from '../../state/configuration/settings-tree.js';
import type { ResolvedModel } from '../../state/configuration/settings-tree.js';
import { isUp } from '../../state/membership/members.js';
import { signAdmissionToken } from '../../state/forwarding/admission-token.js';
import type { Bound, AdmissionToken } from '../../state/forwarding/admission-token.js';
import type { WorkerTable } from '../../state/discovery/worker-table.js';
import type { Clock } from '../../transport/clock.js';
import { newId } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import type { Follower } from '../distribution/follower.js';
import type { Membership } from '../membership/failure-detector.js';

/** What is known of a request when a worker is chosen. */
export type Where = {
  readonly from?: string;
  readonly model: string;
  readonly parts: readonly string[];
  readonly homes: readonly string[] | null;
  readonly avoid: ReadonlySet<number>;
};

/** Places requests, and chooses workers for those that were admitted. */
export interface PlacementService {
  place(request: PlacementRequest): Result<Placement, Failure>;
  choose(where: Where): Choice;
  resolved(model: string): ResolvedModel | null;
  homesOf(model: string, bound: Bound): readonly string[] | null;
}

/** This proxy, as callers and other proxies know it. */
export type ProxySelf = {
  readonly name: string;
  readonly run: string;
  readonly zone: string;
  readonly region: string;
  readonly http: string;
};

/** How long an admission token may be used, in milliseconds. */
export const TOKEN_LIFETIME_MS = 30_000;

/** The identity of one proxy process, as tokens name it. */
export function proxyId(node: { readonly name: string; readonly run: string }): string {
  return `${node.name}#${node.run}`;
}

/** A failure that promises that the request did not run. */
export function rejection(reason: RejectReason): Failure {
  return { tag: 'shed', notRun: true, reason };
}

/** What placement decides by. */
export type PlacementServiceDeps = {
  readonly self: ProxySelf;
  readonly ready: () => boolean;
  readonly follower: Follower;
  readonly membership: Membership;
  readonly table: WorkerTable;
  readonly policies: readonly Policy[];
  readonly clock: Clock;
  readonly rng: Rng;
};

function isAlive(node: NodeInfo): boolean {
  return node.status === 'alive';
}

/** The proxies that membership has as up. */
type UpProxies = {
  readonly all: readonly NodeInfo[];
  readonly byZone: ReadonlyMap<string, readonly NodeInfo[]>;
  readonly zones: ReadonlySet<string>;
};

class PolicyPlacementService implements PlacementService {
  private models = new Map<string, ResolvedModel>();
  private modelsAt = -1;
  private upProxies: UpProxies | null = null;
  private readonly withoutCapacity: Policy[] = [];

  constructor(private readonly deps: PlacementServiceDeps) {
    this.deps.membership.events.on('changed', () => this.onChanged());

    for (const policy of this.deps.policies) if (policy.name !== 'room') this.withoutCapacity.push(policy);
  }

  resolved(model: string): ResolvedModel | null {
    const state = this.deps.follower.controlState();
    if (this.modelsAt !== state.version) {
      this.models = new Map();
      for (const resolved of resolveAll(state.configuration)) this.models.set(resolved.model, resolved);
      this.modelsAt = state.version;
    }
    return this.models.get(model) ?? null;
  }

  private onChanged(): void {
    this.upProxies = null;
  }

  private proxiesUp(): UpProxies {
    if (this.upProxies) return this.upProxies;
    const all: NodeInfo[] = [];
    const byZone = new Map<string, NodeInfo[]>();
    for (const node of this.deps.membership.all()) {
      if (node.role !== 'proxy' || !isUp(node)) continue;
      all.push(node);
      byZone.set(node.zone, [...(byZone.get(node.zone) ?? []), node]);
    }
    this.upProxies = { all, byZone, zones: new Set(byZone.keys()) };
    return this.upProxies;
  }

  private contextOf(where: Where, all: readonly Candidate[]): SelectionContext {
    let loadSum = 0;
    for (const candidate of all) loadSum += Math.min(1, candidate.running / candidate.limit);
    return {
      ...this.callerOf(where),
      ownRegion: this.deps.self.region,
      homes: where.homes,
      partitioned: this.deps.follower.partitioned(),
      seed: this.seedOf(where),
      avoid: where.avoid,
      meanLoad: all.length === 0 ? 0 : loadSum / all.length,
    };
  }

  private callerOf(where: Where): { readonly zone: string; readonly region: string } {
    const configured =
      where.from === undefined ? undefined : this.deps.follower.controlState().configuration.zones[where.from];
    return configured && where.from !== undefined
      ? { zone: where.from, region: configured.region }
      : { zone: this.deps.self.zone, region: this.deps.self.region };
  }

  private seedOf(where: Where): string {
    return where.parts[0] ?? newId(this.deps.rng, 's');
  }

  private candidatesOf(where: Where, complete: boolean): Candidate[] {
    const resolved = this.resolved(where.model);
    if (!resolved) return [];
    const { model, parts, homes } = where;
    return this.deps.table.candidates({
      model,
      parts,
      homes,
      values: resolved.values,
      zone: this.deps.self.zone,
      near: this.callerOf(where).zone,
      zonesWithProxy: this.proxiesUp().zones,
      now: this.deps.clock.mono(),
      seed: this.seedOf(where),
      complete,
    });
  }

  private among(where: Where, policies: readonly Policy[]): Choice {
    const few = this.candidatesOf(where, false);
    const choice = selectAmong(few, this.contextOf(where, few), policies);
    if (choice.tag === 'chosen' || choice.stoppedBy === 'room') return choice;
    const all = this.candidatesOf(where, true);
    return selectAmong(all, this.contextOf(where, all), policies);
  }

  choose(where: Where): Choice {
    return this.among(where, this.deps.policies);
  }

  homesOf(model: string, bound: Bound): readonly string[] | null {
    const mapped =
      bound.mapping === null
        ? undefined
        : this.deps.follower.controlState().configuration.mappings?.[bound.mapping]?.kind;
    const kind = mapped ?? bound.kind;
    const allowed = kind === null ? undefined : this.resolved(model)?.values.homes[kind];
    if (!allowed) return bound.asked;
    if (!bound.asked) return allowed;
    const both: string[] = [];
    for (const region of allowed) if (bound.asked.includes(region)) both.push(region);
    return both;
  }

  private pickProxy(
    worker: Candidate,
    homes: readonly string[] | null,
    without: readonly string[],
    seed: string,
  ): NodeInfo | null {
    const { all, byZone } = this.proxiesUp();
    const near = (byZone.get(worker.zone) ?? []).filter(isAlive);
    return this.bestProxy(near, worker, homes, without, seed) ?? this.bestProxy(all, worker, homes, without, seed);
  }

  private bestProxy(
    among: readonly NodeInfo[],
    worker: Candidate,
    homes: readonly string[] | null,
    without: readonly string[],
    seed: string,
  ): NodeInfo | null {
    let best: NodeInfo | null = null;
    let top = -Infinity;
    for (const node of among) {
      if (without.includes(node.name) || (homes !== null && !homes.includes(node.region))) continue;
      let score = node.status === 'alive' ? 0 : -2;
      if (node.zone === worker.zone) score += 3;
      else if (node.region === worker.region) score += 2;
      score += (node.name === this.deps.self.name ? 0.99 : hash32(`${seed}|${node.name}`) / 4294967296) * 0.5;
      if (score > top) {
        best = node;
        top = score;
      }
    }
    return best;
  }

  place(request: PlacementRequest): Result<Placement, Failure> {
    const state = this.deps.follower.controlState();
    if (!this.deps.ready()) return err(rejection('notReady'));
    const mapping = request.mapping === undefined ? null : (state.configuration.mappings?.[request.mapping] ?? null);
    if (request.mapping !== undefined && !mapping) return err({ tag: 'unknownModel' });
    const model = mapping?.model ?? request.model ?? '';
    const resolved = this.resolved(model);
    if (!resolved) return err({ tag: 'unknownModel' });
    const bound: Bound = { mapping: request.mapping ?? null, kind: request.kind ?? null, asked: request.homes ?? null };
    const homes = this.homesOf(model, bound);
    if (homes !== null && homes.length === 0) return err(rejection('outsideHomes'));
    const where: Where = {
      model,
      parts: request.parts,
      homes,
      avoid: new Set(),
      ...(request.zone === undefined ? {} : { from: request.zone }),
    };
    const first = this.among(where, this.deps.policies);
    const choice = first.tag === 'none' && first.stoppedBy === 'room' ? this.among(where, this.withoutCapacity) : first;
    if (choice.tag === 'none') return err(rejection('noWorker'));
    const requestId = newId(this.deps.rng, 'req');
    const node = this.pickProxy(choice.candidate, homes, request.without ?? [], requestId);
    if (!node) return err(rejection('noWorker'));
    const token: AdmissionToken = {
      id: newId(this.deps.rng, 'ticket'),
      requestId,
      proxy: proxyId(node),
      model,
      region: node.region,
      bound,
      repeatable: request.repeatable,
      expiresAt: this.deps.follower.sharedNow() + TOKEN_LIFETIME_MS,
    };
    return ok({
      proxy: node.name,
      address: node.http,
      ticket: signAdmissionToken(token, state.ticketKey),
      requestId,
      expiresInMs: TOKEN_LIFETIME_MS,
    });
  }
}

/** A service over one proxy's view of the deployment. */
export function createPlacementService(deps: PlacementServiceDeps): PlacementService {
  return new PolicyPlacementService(deps);
}
