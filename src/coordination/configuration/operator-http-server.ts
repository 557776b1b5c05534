/**
 * The operators' HTTP interface of a controller: configuration, zones, proxies, claims, bootstrap and status. A change
 * with an operation id is applied once, however often it is sent; for one without an id only its base version is
 * compared.
 */
import { Type } from '@sinclair/typebox';
import { readConfiguration } from '../../protocol/configuration.js';
import { readerOf } from '../../protocol/read-shape.js';
import type { Command, ConfigurationChange } from '../../state/consensus/entry.js';
import { ChangeShape } from '../../state/consensus/entry.js';
import { memberId, findOperation } from '../../state/consensus/control-state.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import { operatorRequestId, versionMayBeForgotten } from '../../state/consensus/operator-history.js';
import { differences, resolveAll, withChanges } from '../../state/configuration/settings-tree.js';
import type { HttpReply, HttpRequest, Route } from '../../transport/http.js';
import type { Clock } from '../../transport/clock.js';
import type { LatencyTargetTracker } from './latency-target-tracker.js';
import type { RecentProcessPause } from './recent-process-pause.js';
import type { Ledger } from '../consensus/ledger.js';
import type { ProposeError } from '../consensus/proposal.js';
import type { ChangeDistribution } from '../distribution/change-distribution.js';

const OperationId = Type.Optional(Type.String({ minLength: 1, maxLength: 128 }));
const BaseVersion = Type.Integer({ minimum: 0 });
const readReplaceBody = readerOf(
  Type.Object(
    { base: BaseVersion, configuration: Type.Unknown(), operation: OperationId },
    { additionalProperties: false },
  ),
);
const readAmendBody = readerOf(
  Type.Object(
    { base: BaseVersion, changes: Type.Array(ChangeShape, { minItems: 1 }), operation: OperationId },
    { additionalProperties: false },
  ),
);
const readZoneBody = readerOf(Type.Object({ operation: OperationId }, { additionalProperties: false }));
const readBootstrapBody = readerOf(
  Type.Object({ members: Type.Array(Type.String(), { minItems: 1, maxItems: 9 }) }, { additionalProperties: false }),
);

const AGREEMENT_TIMEOUT_MS = 5_000;
const CONFIRMATION_TIMEOUT_MS = 2_800;
const MAX_CONFIGURATION_BYTES = 8 * 1_048_576;
const MAX_CHANGES_LENGTH = 4 * 1_048_576;

function errorReply(status: number, error: Readonly<Record<string, unknown>> & { readonly tag: string }): HttpReply {
  return { status, ...(status === 503 ? { headers: { 'retry-after': '1' } } : {}), body: { error } };
}

function proposalErrorReply(error: ProposeError): HttpReply {
  if (error.tag !== 'cannotWrite') return errorReply(503, { tag: error.tag });
  if (error.error.tag === 'recordTooLarge') return errorReply(413, { tag: 'tooLarge', bytes: error.error.bytes });
  return errorReply(503, { tag: 'cannotWrite', fault: error.error });
}

/** Dependencies of the operators' calls; `status` returns the body of the status response. */
export type OperatorHttpServerDeps = {
  readonly ledger: Ledger;
  readonly distribution: ChangeDistribution;
  readonly latencyTargets: LatencyTargetTracker;
  readonly clock: Clock;
  readonly processPause: Pick<RecentProcessPause, 'isRecent'>;
  readonly status: () => unknown;
};

/** Handles the operators' calls of one controller. */
class OperatorRequestHandlers {
  constructor(private readonly deps: OperatorHttpServerDeps) {}

  private async proposeAndConfirm(command: Command, cause: string, operation: string | undefined): Promise<HttpReply> {
    const startedAt = this.deps.clock.mono();
    const response = await this.deps.ledger.propose(
      { ...(operation === undefined ? {} : { id: operatorRequestId(operation) }), cause, act: command },
      AGREEMENT_TIMEOUT_MS,
    );
    if (!response.ok) return proposalErrorReply(response.error);
    const { slot, outcome } = response.value;
    if (outcome.tag === 'staleVersion') return errorReply(409, { tag: 'staleVersion', winner: outcome.winner });
    if (outcome.tag !== 'applied') return errorReply(409, { tag: 'unchanged' });
    if (!(await this.deps.ledger.removeSilentMembers(AGREEMENT_TIMEOUT_MS)))
      return errorReply(503, { tag: 'noMajority' });
    const waiting = await this.deps.distribution.waitForConfirmation(slot, CONFIRMATION_TIMEOUT_MS);
    this.deps.latencyTargets.recordChange(waiting.length === 0 ? this.deps.clock.mono() - startedAt : Infinity);
    if (waiting.length === 0) return { status: 200, body: { acknowledged: true, version: slot } };
    return { status: 202, body: { acknowledged: false, version: slot, waiting } };
  }

  private async changeConfiguration(
    base: number,
    edit: (state: ControlState) => unknown,
    operation: string | undefined,
  ): Promise<HttpReply> {
    if (!(await this.deps.ledger.linearizableRead(AGREEMENT_TIMEOUT_MS))) return errorReply(503, { tag: 'noMajority' });
    const controlState = this.deps.ledger.controlState();
    const appliedOperation = operation === undefined ? null : findOperation(controlState, operatorRequestId(operation));
    const mayBeForgotten = operation !== undefined && versionMayBeForgotten(controlState.history, base);
    if (!appliedOperation && controlState.version !== base && mayBeForgotten)
      return errorReply(503, { tag: 'outcomeUnknown' });
    if (!appliedOperation && controlState.version !== base)
      return errorReply(409, { tag: 'staleVersion', winner: controlState.version });
    const next = readConfiguration(edit(controlState));
    if (!appliedOperation && !next.ok) return errorReply(422, { tag: 'invalidConfiguration', faults: next.error });
    const changes: ConfigurationChange[] = next.ok ? differences(controlState.configuration, next.value) : [];
    if (JSON.stringify(changes).length > MAX_CHANGES_LENGTH)
      return errorReply(413, { tag: 'changesTooLarge', most: MAX_CHANGES_LENGTH });
    return this.proposeAndConfirm(
      { tag: 'configured', base, changes },
      `The operator changed ${changes.length} settings on version ${base}.`,
      operation,
    );
  }

  private async replaceConfiguration(req: HttpRequest): Promise<HttpReply> {
    const body = readReplaceBody(req.body);
    if (!body.ok) return errorReply(400, body.error);
    function replacement(): unknown {
      return body.ok ? body.value.configuration : null;
    }
    return this.changeConfiguration(body.value.base, replacement, body.value.operation);
  }

  private async amendConfiguration(req: HttpRequest): Promise<HttpReply> {
    const body = readAmendBody(req.body);
    if (!body.ok) return errorReply(400, body.error);
    function amended(state: ControlState): unknown {
      return body.ok ? withChanges(state.configuration, body.value.changes) : null;
    }
    return this.changeConfiguration(body.value.base, amended, body.value.operation);
  }

  private async readCurrentConfiguration(): Promise<HttpReply> {
    const isCurrent = await this.deps.ledger.linearizableRead(AGREEMENT_TIMEOUT_MS);
    const state = this.deps.ledger.controlState();
    if (!isCurrent) return errorReply(503, { tag: 'noMajority', version: state.version });
    return {
      status: 200,
      body: {
        version: state.version,
        configuration: state.configuration,
        evacuated: Object.keys(state.evacuated).sort(),
        resolved: resolveAll(state.configuration),
      },
    };
  }

  private async orderEvacuation(req: HttpRequest, begun: boolean): Promise<HttpReply> {
    const body = readZoneBody(req.body ?? {});
    if (!body.ok) return errorReply(400, body.error);
    const name = req.params['zone'] ?? '';
    if (!(await this.deps.ledger.linearizableRead(AGREEMENT_TIMEOUT_MS))) return errorReply(503, { tag: 'noMajority' });
    if (!Object.hasOwn(this.deps.ledger.controlState().configuration.zones, name))
      return errorReply(404, { tag: 'unknownZone', zone: name });
    if (this.deps.processPause.isRecent() || req.gone()) return errorReply(503, { tag: 'mayBeAbandoned' });
    return this.proposeAndConfirm(
      { tag: 'evacuation', zone: name, begun },
      begun ? `The operator evacuates ${name}.` : `The operator hands ${name} back.`,
      body.value.operation,
    );
  }

  private evacuate(req: HttpRequest): Promise<HttpReply> {
    return this.orderEvacuation(req, true);
  }

  private restore(req: HttpRequest): Promise<HttpReply> {
    return this.orderEvacuation(req, false);
  }

  private forgetProxy(req: HttpRequest): Promise<HttpReply> {
    const name = req.params['name'] ?? '';
    return this.proposeAndConfirm({ tag: 'proxyForgotten', name }, `The operator forgot the proxy ${name}.`, undefined);
  }

  private async bootstrap(req: HttpRequest): Promise<HttpReply> {
    const body = readBootstrapBody(req.body);
    if (!body.ok) return errorReply(400, body.error);
    const response = await this.deps.ledger.bootstrap(body.value.members);
    return response.ok
      ? { status: 200, body: { acknowledged: true, ledger: this.deps.ledger.controlState().ledger } }
      : errorReply(409, response.error);
  }

  private reopenClaims(): Promise<HttpReply> {
    const members = this.deps.ledger.controlState().members.map(memberId);
    return this.proposeAndConfirm(
      { tag: 'claimsReopened', members },
      'The operator accepted that run-once claims were lost with their disks.',
      undefined,
    );
  }

  private async latencyTargetMinutes(req: HttpRequest): Promise<HttpReply> {
    if (!this.deps.distribution.quorate()) return errorReply(503, { tag: 'noMajority' });
    const minutes = Number(req.query['minutes'] ?? 60);
    if (!Number.isInteger(minutes) || minutes < 1 || minutes > 1_440)
      return errorReply(400, { tag: 'malformed', detail: '/minutes: expected a whole number from 1 to 1440' });
    return { status: 200, body: this.deps.latencyTargets.last(minutes) };
  }

  private async readStatus(): Promise<HttpReply> {
    return { status: 200, body: this.deps.status() };
  }

  private async readOrders(req: HttpRequest): Promise<HttpReply> {
    const state = this.deps.ledger.controlState();
    const requestedModel = req.query['model'];
    const matching = [];
    for (const order of [...this.deps.ledger.closedOrders.all(), ...Object.values(state.orders)])
      if (requestedModel === undefined || order.model === requestedModel) matching.push(order);
    return {
      status: 200,
      body: {
        slot: state.slot,
        complete: this.deps.ledger.closedOrders.lacking() === null,
        orders: matching,
        zoneSets: state.zoneSets,
        targets: state.targets,
        leases: state.leases,
      },
    };
  }

  private async readLogEntries(req: HttpRequest): Promise<HttpReply> {
    const from = Number(req.query['from'] ?? 0);
    const state = this.deps.ledger.controlState();
    const first = Math.max(0, Number.isInteger(from) && from >= 0 ? from : 0);
    const batches = this.deps.ledger.since(first);
    return {
      status: 200,
      body: {
        slot: state.slot,
        complete: batches !== null,
        batches: batches ?? this.deps.ledger.since(Math.max(first, state.slot - 200)) ?? [],
      },
    };
  }

  routes(): Route[] {
    return [
      {
        method: 'POST',
        path: '/v1/configuration',
        maxBytes: MAX_CONFIGURATION_BYTES,
        handle: (req) => this.replaceConfiguration(req),
      },
      {
        method: 'POST',
        path: '/v1/configuration/amend',
        maxBytes: MAX_CONFIGURATION_BYTES,
        handle: (req) => this.amendConfiguration(req),
      },
      { method: 'GET', path: '/v1/configuration', handle: () => this.readCurrentConfiguration() },
      { method: 'POST', path: '/v1/zones/:zone/evacuate', handle: (req) => this.evacuate(req) },
      { method: 'POST', path: '/v1/zones/:zone/restore', handle: (req) => this.restore(req) },
      { method: 'DELETE', path: '/v1/proxies/:name', handle: (req) => this.forgetProxy(req) },
      { method: 'POST', path: '/v1/claims/reopen', handle: () => this.reopenClaims() },
      { method: 'POST', path: '/v1/bootstrap', handle: (req) => this.bootstrap(req) },
      { method: 'GET', path: '/v1/aims', handle: (req) => this.latencyTargetMinutes(req) },
      { method: 'GET', path: '/v1/status', handle: () => this.readStatus() },
      { method: 'GET', path: '/v1/orders', handle: (req) => this.readOrders(req) },
      { method: 'GET', path: '/v1/ledger', handle: (req) => this.readLogEntries(req) },
    ];
  }
}

/** Returns the routes of the operators' HTTP interface (docs/http.md). */
export function operatorRoutes(deps: OperatorHttpServerDeps): Route[] {
  return new OperatorRequestHandlers(deps).routes();
}
