/**
 * Selects a worker and a proxy for a request by the placement policies, and signs the admission token with which the
 * caller submits the request to that proxy.
 */
import { hash32 } from '../../base/digest.js';
import { err, ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import type { NodeInfo } from '../../state/membership/node-info.js';
import type { Failure, PlacementRequest, Placement, RejectReason } from '../../protocol/caller-wire.js';
import type { Candidate, SelectionContext } from '../../state/forwarding/candidate.js';
import { selectCandidate } from '../../state/forwarding/policies.js';
import type { SelectionResult, Policy } from '../../state/forwarding/policies.js';
import { resolveAll } from '../../state/configuration/settings-tree.js';
import type { ResolvedModel } from '../../state/configuration/settings-tree.js';
import { isUp } from '../../state/membership/members.js';
import { signAdmissionToken } from '../../state/forwarding/admission-token.js';
import type { PlacementConstraints, AdmissionToken } from '../../state/forwarding/admission-token.js';
import type { WorkerTable } from '../../state/discovery/worker-table.js';
import type { Clock } from '../../transport/clock.js';
import { newId } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import type { Follower } from '../distribution/follower.js';
import type { Membership } from '../membership/failure-detector.js';
import { ownValue } from '../../base/own-value.js';

/** The properties of a request by which a worker is selected; `from` is the zone of the caller. */
export type PlacementQuery = {
  readonly from?: string;
  readonly model: string;
  readonly parts: readonly string[];
  readonly homes: readonly string[] | null;
  readonly avoid: ReadonlySet<number>;
};

/** Assigns requests to proxies, and selects workers for admitted requests. */
export interface PlacementService {
  /** Selects a proxy for a request and signs an admission token for it. */
  place(request: PlacementRequest): Result<Placement, Failure>;
  /** Selects a worker for an admitted request. */
  choose(query: PlacementQuery): SelectionResult;
  resolved(model: string): ResolvedModel | null;
  /** Returns the regions in which a request may run, or null if every region is allowed. */
  homesOf(model: string, bound: PlacementConstraints): readonly string[] | null;
}

/** Identity, location and address of this proxy, as callers and other proxies know them. */
export type ProxySelf = {
  readonly name: string;
  readonly run: string;
  readonly zone: string;
  readonly region: string;
  readonly http: string;
};

/** Lifetime of an admission token, in milliseconds. */
export const TOKEN_LIFETIME_MS = 30_000;

/** Returns the identity of one proxy process, as admission tokens name it. */
export function proxyId(node: { readonly name: string; readonly run: string }): string {
  return `${node.name}#${node.run}`;
}

/** Returns a failure that promises that the request did not run. */
export function rejection(reason: RejectReason): Failure {
  return { tag: 'shed', notRun: true, reason };
}

/** Dependencies of a placement service. */
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

/** The proxies that are up according to membership. */
type UpProxies = {
  readonly all: readonly NodeInfo[];
  readonly byZone: ReadonlyMap<string, readonly NodeInfo[]>;
  readonly zones: ReadonlySet<string>;
};

class PolicyPlacementService implements PlacementService {
  private models = new Map<string, ResolvedModel>();
  private modelsVersion = -1;
  private upProxies: UpProxies | null = null;
  private readonly policiesIgnoringCapacity: Policy[] = [];

  constructor(private readonly deps: PlacementServiceDeps) {
    this.deps.membership.events.on('changed', () => this.onMembershipChanged());

    for (const policy of this.deps.policies) if (policy.name !== 'room') this.policiesIgnoringCapacity.push(policy);
  }

  resolved(model: string): ResolvedModel | null {
    const state = this.deps.follower.controlState();
    if (this.modelsVersion !== state.version) {
      this.models = new Map();
      for (const resolved of resolveAll(state.configuration)) this.models.set(resolved.model, resolved);
      this.modelsVersion = state.version;
    }
    return this.models.get(model) ?? null;
  }

  private onMembershipChanged(): void {
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

  private contextOf(query: PlacementQuery, candidates: readonly Candidate[]): SelectionContext {
    let totalLoad = 0;
    for (const candidate of candidates) totalLoad += Math.min(1, candidate.running / candidate.limit);
    return {
      ...this.callerLocationOf(query),
      ownRegion: this.deps.self.region,
      homes: query.homes,
      partitioned: this.deps.follower.partitioned(),
      seed: this.seedOf(query),
      avoid: query.avoid,
      meanLoad: candidates.length === 0 ? 0 : totalLoad / candidates.length,
    };
  }

  private callerLocationOf(query: PlacementQuery): { readonly zone: string; readonly region: string } {
    const configured =
      query.from === undefined
        ? undefined
        : ownValue(this.deps.follower.controlState().configuration.zones, query.from);
    return configured && query.from !== undefined
      ? { zone: query.from, region: configured.region }
      : { zone: this.deps.self.zone, region: this.deps.self.region };
  }

  private seedOf(query: PlacementQuery): string {
    return query.parts[0] ?? newId(this.deps.rng, 's');
  }

  private candidatesOf(query: PlacementQuery, complete: boolean): Candidate[] {
    const resolved = this.resolved(query.model);
    if (!resolved) return [];
    const { model, parts, homes } = query;
    return this.deps.table.candidates({
      model,
      parts,
      homes,
      values: resolved.values,
      zone: this.deps.self.zone,
      callerZone: this.callerLocationOf(query).zone,
      zonesWithProxy: this.proxiesUp().zones,
      now: this.deps.clock.mono(),
      seed: this.seedOf(query),
      complete,
    });
  }

  private selectWithPolicies(query: PlacementQuery, policies: readonly Policy[]): SelectionResult {
    const subset = this.candidatesOf(query, false);
    const choice = selectCandidate(subset, this.contextOf(query, subset), policies);
    if (choice.tag === 'chosen' || choice.stoppedBy === 'room') return choice;
    const all = this.candidatesOf(query, true);
    return selectCandidate(all, this.contextOf(query, all), policies);
  }

  choose(query: PlacementQuery): SelectionResult {
    return this.selectWithPolicies(query, this.deps.policies);
  }

  homesOf(model: string, bound: PlacementConstraints): readonly string[] | null {
    const mappedKind =
      bound.mapping === null
        ? undefined
        : ownValue(this.deps.follower.controlState().configuration.mappings, bound.mapping)?.kind;
    const kind = mappedKind ?? bound.kind;
    const allowed = kind === null ? undefined : ownValue(this.resolved(model)?.values.homes, kind);
    if (!allowed) return bound.asked;
    if (!bound.asked) return allowed;
    const intersection: string[] = [];
    for (const region of allowed) if (bound.asked.includes(region)) intersection.push(region);
    return intersection;
  }

  private pickProxy(
    worker: Candidate,
    homes: readonly string[] | null,
    excluded: readonly string[],
    seed: string,
  ): NodeInfo | null {
    const { all, byZone } = this.proxiesUp();
    const inZone = (byZone.get(worker.zone) ?? []).filter(isAlive);
    return this.bestProxy(inZone, worker, homes, excluded, seed) ?? this.bestProxy(all, worker, homes, excluded, seed);
  }

  private bestProxy(
    proxies: readonly NodeInfo[],
    worker: Candidate,
    homes: readonly string[] | null,
    excluded: readonly string[],
    seed: string,
  ): NodeInfo | null {
    let best: NodeInfo | null = null;
    let bestScore = -Infinity;
    for (const node of proxies) {
      if (excluded.includes(node.name) || (homes !== null && !homes.includes(node.region))) continue;
      let score = node.status === 'alive' ? 0 : -2;
      if (node.zone === worker.zone) score += 3;
      else if (node.region === worker.region) score += 2;
      score += (node.name === this.deps.self.name ? 0.99 : hash32(`${seed}|${node.name}`) / 4294967296) * 0.5;
      if (score > bestScore) {
        best = node;
        bestScore = score;
      }
    }
    return best;
  }

  place(request: PlacementRequest): Result<Placement, Failure> {
    const state = this.deps.follower.controlState();
    if (!this.deps.ready()) return err(rejection('notReady'));
    const mapping =
      request.mapping === undefined ? null : (ownValue(state.configuration.mappings, request.mapping) ?? null);
    if (request.mapping !== undefined && !mapping) return err({ tag: 'unknownModel' });
    const model = mapping?.model ?? request.model ?? '';
    const resolved = this.resolved(model);
    if (!resolved) return err({ tag: 'unknownModel' });
    const bound: PlacementConstraints = {
      mapping: request.mapping ?? null,
      kind: request.kind ?? null,
      asked: request.homes ?? null,
    };
    const homes = this.homesOf(model, bound);
    if (homes !== null && homes.length === 0) return err(rejection('outsideHomes'));
    const query: PlacementQuery = {
      model,
      parts: request.parts,
      homes,
      avoid: new Set(),
      ...(request.zone === undefined ? {} : { from: request.zone }),
    };
    const firstChoice = this.selectWithPolicies(query, this.deps.policies);
    const choice =
      firstChoice.tag === 'none' && firstChoice.stoppedBy === 'room'
        ? this.selectWithPolicies(query, this.policiesIgnoringCapacity)
        : firstChoice;
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

/** Creates a placement service on one proxy's view of the deployment. */
export function createPlacementService(deps: PlacementServiceDeps): PlacementService {
  return new PolicyPlacementService(deps);
}
