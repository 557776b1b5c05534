/**
 * The operators' calls on configurations that carry the operator's own numbers: replace the configuration in force,
 * amend it, read it, evacuate a zone. Each call first catches up with everything that a majority has accepted. How a
 * change is identified, and why it is neither lost nor applied twice when it is sent again, is described in
 * docs/consistency.md, section 2.
 */
import { err, ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import { errorAt } from '../../protocol/codecs.js';
import type { ConfigError } from '../../protocol/codecs.js';
import { readServing } from '../../protocol/serving.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import type { ConfigurationChange } from '../../state/consensus/entry.js';
import {
  findAppliedChange,
  numberMayBeForgotten,
  newestNumberedChange,
  operatorRequestId,
  zoneVersion,
} from '../../state/consensus/operator-history.js';
import { EMPTY_SERVING } from '../../state/configuration/serving.js';
import type { Serving } from '../../state/configuration/serving.js';
import { withPreservedOrder } from '../../state/configuration/serving-order.js';
import { differences, withChanges } from '../../state/configuration/settings-tree.js';
import type { Configuration } from '../../state/configuration/settings-tree.js';
import { delay } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { Ledger } from '../consensus/ledger.js';
import type { EntryDraft } from '../consensus/proposal.js';
import type { RecentProcessPause } from './recent-process-pause.js';
import { ownValue } from '../../base/own-value.js';

/**
 * Why an operator's call was not confirmed. Only `stale`, `invalid` and `tooLarge` mean that it was not and will not be
 * applied.
 */
export type OperatorCallError =
  | { readonly tag: 'stale'; readonly number: number }
  | { readonly tag: 'invalid'; readonly faults: readonly ConfigError[] }
  /** Larger than the maximum that can be stored (`most`), in bytes of JSON. Nothing was changed. */
  | { readonly tag: 'tooLarge'; readonly what: keyof StoredBytes; readonly bytes: number; readonly most: number }
  | { readonly tag: 'noMajority' }
  /** The caller may have abandoned the call before it was read. A caller that still waits should retry. */
  | { readonly tag: 'mayBeAbandoned' }
  /**
   * It is not known whether this was applied: the change is based on a number so old that the history may have dropped
   * changes applied on it, or another order on the zone was agreed first.
   */
  | { readonly tag: 'outcomeUnknown' };

/** A confirmed change and the operator's number that it put in force. */
export type ConfirmedChange = { readonly tag: 'taken'; readonly number: number };
/** Computes the new configuration from the one that the change is based on. */
export type Edit = (serving: Serving) => Result<unknown, readonly ConfigError[]>;

/** The caller that waits for the response to a call; `gone` returns true once its connection is closed. */
export type Caller = { readonly gone: () => boolean };

/**
 * The operators' calls. `digest` identifies the request: the same digest is the same change, whenever it is sent and to
 * whichever controller.
 */
export interface ConfigurationService {
  replace(base: number, draft: unknown, digest: string): Promise<Result<ConfirmedChange, OperatorCallError>>;
  amend(base: number, edit: Edit, digest: string): Promise<Result<ConfirmedChange, OperatorCallError>>;
  read(): Promise<Result<Serving, OperatorCallError>>;
  evacuate(zone: string, begun: boolean, caller: Caller): Promise<Result<{ readonly tag: 'taken' }, OperatorCallError>>;
}

/** Dependencies of the service, with the replicated log that it reads and proposes on. Timeouts are in milliseconds. */
export type ConfigurationServiceDeps = {
  readonly ledger: Pick<Ledger, 'controlState' | 'linearizableRead' | 'propose' | 'removeSilentMembers'>;
  readonly clock: Clock;
  readonly log: Log;
  readonly processPause: Pick<RecentProcessPause, 'isRecent'>;
  readonly readTimeoutMs?: number;
  readonly agreementTimeoutMs?: number;
  /** The maximum that can be stored; no limit if omitted. */
  readonly most?: StoredBytes;
};

/**
 * Sizes in bytes of JSON: of a configuration with the changes that undo it, which a snapshot holds, and of a change,
 * which a log record holds.
 */
export type StoredBytes = { readonly configuration: number; readonly change: number };

/** Timeout of a read from a majority; below the one second without a response after which callers try another node. */
const READ_TIMEOUT_MS = 900;
/** A caller that has had no response for this long has switched to another controller. */
export const CALLER_TIMEOUT_MS = 1_000;
/** Timeout for agreement on an entry. */
const AGREEMENT_TIMEOUT_MS = 3_000;

const NO_MAJORITY: OperatorCallError = { tag: 'noMajority' };

function servingOf(state: ControlState): Serving {
  return state.configuration.serving ?? EMPTY_SERVING;
}

function changesTo(state: ControlState, next: Serving): ConfigurationChange[] {
  const before = state.configuration.serving;
  if (!before) return [{ path: ['serving'], value: next }];
  const changes: ConfigurationChange[] = [];
  for (const change of differences(before, next)) changes.push({ ...change, path: ['serving', ...change.path] });
  return changes;
}

type Decision =
  | { readonly tag: 'answer'; readonly answer: Result<ConfirmedChange, OperatorCallError> }
  | { readonly tag: 'apply'; readonly number: number; readonly next: Serving }
  | { readonly tag: 'repeat'; readonly number: number };

/** Decides how to handle a change request, from a state that is no older than the request. */
function decide(state: ControlState, request: string, base: number, edit: Edit): Decision {
  const current = servingOf(state);
  const applied = findAppliedChange(state.history, request);
  if (applied) return finalAnswer(ok({ tag: 'taken', number: applied.revision?.number ?? current.number }));
  if (current.number !== base) return decideOnOtherBase(state, base, edit);
  const next = applyEdit(current, edit);
  return next.ok ? { tag: 'apply', number: next.value.number, next: next.value } : finalAnswer(next);
}

/** Decides on a change whose request is not in the history, and that is not based on the configuration in force. */
function decideOnOtherBase(state: ControlState, base: number, edit: Edit): Decision {
  const { number } = servingOf(state);
  if (isInForce(state, base, edit)) return { tag: 'repeat', number };
  if (numberMayBeForgotten(state.history, base)) return finalAnswer(err({ tag: 'outcomeUnknown' }));
  return finalAnswer(err({ tag: 'stale', number }));
}

function finalAnswer(answer: Result<ConfirmedChange, OperatorCallError>): Decision {
  return { tag: 'answer', answer };
}

/** Creates the entry that applies a change, or that records one more request for the change that is in force. */
function createDraft(
  state: ControlState,
  request: string,
  base: number,
  decision: Exclude<Decision, { tag: 'answer' }>,
): EntryDraft {
  const { number } = decision;
  const id = `${request}@${state.version}`;
  if (decision.tag === 'repeat')
    return {
      id,
      cause: `Another request for number ${number} on ${base}.`,
      act: { tag: 'changeRepeated', request, number },
    };
  const revision = { request, base, number };
  const command = {
    tag: 'configured' as const,
    base: state.version,
    changes: changesTo(state, decision.next),
    revision,
  };
  return { id, cause: `The operator put number ${number} on ${base}.`, act: command };
}

function jsonBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}

/** Returns the configuration that an edit makes of the one it is based on, or why it is invalid. */
function applyEdit(before: Serving, edit: Edit): Result<Serving, OperatorCallError> {
  const edited = edit(before);
  if (!edited.ok) return err({ tag: 'invalid', faults: edited.error });
  const read = readServing(edited.value);
  if (!read.ok) return err({ tag: 'invalid', faults: read.error });
  const { number } = read.value;
  if (number <= before.number)
    return err({ tag: 'invalid', faults: [errorAt(['number'], `a number above ${before.number}`, number)] });
  return ok(withPreservedOrder(before, read.value));
}

/**
 * Returns whether the configuration in force is exactly what this edit makes of its base: then it is the same change.
 */
function isInForce(state: ControlState, base: number, edit: Edit): boolean {
  const newest = newestNumberedChange(state.history)?.revision;
  const { undo } = state.history;
  if (undo === null || newest?.base !== base) return false;
  const before = withChanges(state.configuration, undo) as Configuration;
  const result = applyEdit(before.serving ?? EMPTY_SERVING, edit);
  return result.ok && result.value.number === newest.number && differences(servingOf(state), result.value).length === 0;
}

class LedgerConfigurationService implements ConfigurationService {
  private readonly readTimeoutMs: number;
  private readonly agreementTimeoutMs: number;
  private readonly maxBytes: StoredBytes;

  constructor(private readonly deps: ConfigurationServiceDeps) {
    this.readTimeoutMs = this.deps.readTimeoutMs ?? READ_TIMEOUT_MS;
    this.agreementTimeoutMs = this.deps.agreementTimeoutMs ?? AGREEMENT_TIMEOUT_MS;
    this.maxBytes = this.deps.most ?? { configuration: Infinity, change: Infinity };
  }

  private sizeError(
    state: ControlState,
    decision: Exclude<Decision, { tag: 'answer' }>,
    draft: EntryDraft,
  ): OperatorCallError | null {
    if (decision.tag !== 'apply') return null;
    const undo = differences(decision.next, servingOf(state));
    const stored: StoredBytes = { configuration: jsonBytes(decision.next) + jsonBytes(undo), change: jsonBytes(draft) };
    for (const what of ['configuration', 'change'] as const) {
      const error = { tag: 'tooLarge' as const, what, bytes: stored[what], most: this.maxBytes[what] };
      if (error.bytes <= error.most) continue;
      this.deps.log.warn('configuration too large', { what, bytes: error.bytes, most: error.most });
      return error;
    }
    return null;
  }

  /**
   * Must be called after a network round trip: the end of a connection is read one tick of the event loop later than
   * the call that arrived on it.
   */
  private mayBeAbandoned(caller: Caller): boolean {
    return this.deps.processPause.isRecent() || caller.gone();
  }

  private async readTimeout(): Promise<boolean> {
    await delay(this.deps.clock, this.readTimeoutMs);
    return false;
  }

  private readCurrent(): Promise<boolean> {
    return Promise.race([this.deps.ledger.linearizableRead(this.readTimeoutMs), this.readTimeout()]);
  }

  async amend(base: number, edit: Edit, digest: string): Promise<Result<ConfirmedChange, OperatorCallError>> {
    const request = operatorRequestId(digest);
    const deadline = this.deps.clock.mono() + this.agreementTimeoutMs;
    while (this.deps.clock.mono() < deadline) {
      if (!(await this.readCurrent())) return err(NO_MAJORITY);
      const state = this.deps.ledger.controlState();
      const decision = decide(state, request, base, edit);
      if (decision.tag === 'answer') return this.acknowledge(decision.answer, deadline);
      const draft = createDraft(state, request, base, decision);
      const tooLarge = this.sizeError(state, decision, draft);
      if (tooLarge) return err(tooLarge);
      const agreed = await this.deps.ledger.propose(draft, deadline - this.deps.clock.mono());
      if (!agreed.ok) return err(NO_MAJORITY);
      if (agreed.value.outcome.tag === 'applied')
        return this.acknowledge(ok({ tag: 'taken', number: decision.number }), deadline);
    }
    return err(NO_MAJORITY);
  }

  /** Answers a call; a confirmation only once no member above the target size of the group is silent. */
  private async acknowledge<T>(
    answer: Result<T, OperatorCallError>,
    deadline: number,
  ): Promise<Result<T, OperatorCallError>> {
    if (!answer.ok) return answer;
    const isSafe = await this.deps.ledger.removeSilentMembers(deadline - this.deps.clock.mono());
    return isSafe ? answer : err(NO_MAJORITY);
  }

  replace(base: number, draft: unknown, digest: string): Promise<Result<ConfirmedChange, OperatorCallError>> {
    function replacement(): Result<unknown, never> {
      return ok(draft);
    }
    return this.amend(base, replacement, digest);
  }

  async read(): Promise<Result<Serving, OperatorCallError>> {
    return (await this.readCurrent()) ? ok(servingOf(this.deps.ledger.controlState())) : err(NO_MAJORITY);
  }

  /**
   * Makes a single proposal, based on the zone's version at the time the order arrived. It is not repeated on a newer
   * version if another order was agreed first: that one may be the later order, and the caller of this one may have
   * left long ago. A caller that still wants the order sends it again. For the same reason the order is not proposed if
   * the process was paused while it read from a majority, or shortly before: the order may have been waiting unread
   * since then, while newer ones were acknowledged elsewhere.
   */
  async evacuate(
    zone: string,
    begun: boolean,
    caller: Caller,
  ): Promise<Result<{ readonly tag: 'taken' }, OperatorCallError>> {
    const arrivedAt = this.deps.clock.mono();
    if (!(await this.readCurrent()) || this.deps.clock.mono() - arrivedAt > this.readTimeoutMs) return err(NO_MAJORITY);
    if (this.mayBeAbandoned(caller)) {
      this.deps.log.warn('order on a zone not taken, its caller may be gone', { zone, begun, gone: caller.gone() });
      return err({ tag: 'mayBeAbandoned' });
    }
    const base = zoneVersion(this.deps.ledger.controlState().history, zone);
    const id = `evacuation:${zone}@${base}:${begun ? 'begin' : 'finish'}`;
    const cause = begun ? `The operator evacuates ${zone}.` : `The operator hands ${zone} back.`;
    const proposedAt = this.deps.clock.mono();
    const agreed = await this.deps.ledger.propose(
      { id, cause, act: { tag: 'evacuation', zone, begun, base } },
      this.agreementTimeoutMs,
    );
    if (!agreed.ok) return err(NO_MAJORITY);
    this.deps.log.info('order on a zone agreed', { zone, begun, base, outcome: agreed.value.outcome.tag });
    const isInRequestedState = (ownValue(this.deps.ledger.controlState().evacuated, zone) !== undefined) === begun;
    if (agreed.value.outcome.tag !== 'applied' && !isInRequestedState) return err({ tag: 'outcomeUnknown' });
    return this.acknowledge(ok({ tag: 'taken' }), proposedAt + this.agreementTimeoutMs);
  }
}

/** Creates the operators' calls on one controller's replicated log. */
export function createConfigurationService(deps: ConfigurationServiceDeps): ConfigurationService {
  return new LedgerConfigurationService(deps);
}
