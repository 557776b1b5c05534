/**
 * The operators' calls by numbers of their own: put a configuration on the newest number, change it, read it, evacuate a
 * zone. Each call first learns all that a majority has accepted. What a change is known by, and why it is neither lost
 * nor applied twice when it is sent again, stands in docs/consistency.md, section 2.
 */
import { err, ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import { errorAt } from '../../protocol/codecs.js';
import type { ConfigError } from '../../protocol/codecs.js';
import { readServing } from '../../protocol/serving.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import type { Change } from '../../state/consensus/entry.js';
import {
  appliedChange,
  mayBeForgotten,
  newestNumbered,
  operatorRequest,
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
import type { RecentStandstill } from './recent-standstill.js';

/** Why an operator's call was not confirmed. Only `stale`, `invalid` and `tooLarge` say that it was not and will not be applied. */
export type NumberedError =
  | { readonly tag: 'stale'; readonly number: number }
  | { readonly tag: 'invalid'; readonly faults: readonly ConfigError[] }
  /** Larger than can be stored, in bytes of JSON. Nothing was changed. */
  | { readonly tag: 'tooLarge'; readonly what: keyof StoredBytes; readonly bytes: number; readonly most: number }
  | { readonly tag: 'noMajority' }
  /** Its caller may have given up before it was read; a caller who still waits sends it again. */
  | { readonly tag: 'mayBeAbandoned' }
  /** It builds on a number so old that a change which was applied then may be forgotten: neither yes nor no is certain. */
  | { readonly tag: 'outcomeUnknown' };

/** A confirmed change and the operator's number that is in force with it. */
export type Accepted = { readonly tag: 'taken'; readonly number: number };
/** What a change makes of the configuration that it builds on. */
export type Edit = (serving: Serving) => Result<unknown, readonly ConfigError[]>;

/** Whoever waits for the answer to a call; `gone` once the connection was closed. */
export type Caller = { readonly gone: () => boolean };

/** `digest` is the identity of the request: the same digest is the same change, whenever and wherever it is sent. */
export interface ConfigurationService {
  replace(base: number, draft: unknown, digest: string): Promise<Result<Accepted, NumberedError>>;
  amend(base: number, edit: Edit, digest: string): Promise<Result<Accepted, NumberedError>>;
  read(): Promise<Result<Serving, NumberedError>>;
  evacuate(zone: string, begun: boolean, caller: Caller): Promise<Result<{ readonly tag: 'taken' }, NumberedError>>;
}

/** The ledger to read and propose on; waits are in milliseconds. */
export type ConfigurationServiceDeps = {
  readonly ledger: Pick<Ledger, 'controlState' | 'linearizableRead' | 'propose'>;
  readonly clock: Clock;
  readonly log: Log;
  readonly standstill: Pick<RecentStandstill, 'isRecent'>;
  readonly readTimeoutMs?: number;
  readonly agreeMs?: number;
  /** What can be stored; anything if left out. */
  readonly most?: StoredBytes;
};

/** Bytes of JSON of a configuration with the changes back from it, which a snapshot holds, and of a change, which a record holds. */
export type StoredBytes = { readonly configuration: number; readonly change: number };

/** Longest look at a majority, under the second of silence after which callers turn to another node. */
const READ_TIMEOUT_MS = 900;
/** A caller who heard nothing for this long has turned to another controller. */
export const CALLER_PATIENCE_MS = 1_000;
/** Longest wait for an entry to be agreed. */
const AGREE_MS = 3_000;

const NO_MAJORITY: NumberedError = { tag: 'noMajority' };

function servingOf(state: ControlState): Serving {
  return state.configuration.serving ?? EMPTY_SERVING;
}

function changesTo(state: ControlState, next: Serving): Change[] {
  const before = state.configuration.serving;
  if (!before) return [{ path: ['serving'], value: next }];
  const out: Change[] = [];
  for (const change of differences(before, next)) out.push({ ...change, path: ['serving', ...change.path] });
  return out;
}

type Judged =
  | { readonly tag: 'answer'; readonly answer: Result<Accepted, NumberedError> }
  | { readonly tag: 'apply'; readonly number: number; readonly next: Serving }
  | { readonly tag: 'repeat'; readonly number: number };

/** What to do about a request for a change, by a state that is no older than the request. */
function judge(state: ControlState, request: string, base: number, edit: Edit): Judged {
  const now = servingOf(state);
  const done = appliedChange(state.history, request);
  if (done) return answered(ok({ tag: 'taken', number: done.revision?.number ?? now.number }));
  if (now.number !== base) return judgeLate(state, base, edit);
  const next = resultOf(now, edit);
  return next.ok ? { tag: 'apply', number: next.value.number, next: next.value } : answered(next);
}

/** A change that is not known by its request, and doesn't build on what is in force. */
function judgeLate(state: ControlState, base: number, edit: Edit): Judged {
  const { number } = servingOf(state);
  if (isInForce(state, base, edit)) return { tag: 'repeat', number };
  if (mayBeForgotten(state.history, base)) return answered(err({ tag: 'outcomeUnknown' }));
  return answered(err({ tag: 'stale', number }));
}

function answered(answer: Result<Accepted, NumberedError>): Judged {
  return { tag: 'answer', answer };
}

/** The entry that applies a change, or that keeps one more request for the change that is in force. */
function draftOf(
  state: ControlState,
  request: string,
  base: number,
  judged: Exclude<Judged, { tag: 'answer' }>,
): EntryDraft {
  const { number } = judged;
  const id = `${request}@${state.version}`;
  if (judged.tag === 'repeat')
    return {
      id,
      cause: `Another request for number ${number} on ${base}.`,
      act: { tag: 'changeRepeated', request, number },
    };
  const revision = { request, base, number };
  const command = { tag: 'configured' as const, base: state.version, changes: changesTo(state, judged.next), revision };
  return { id, cause: `The operator put number ${number} on ${base}.`, act: command };
}

function bytesOf(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}

/** The configuration that a change makes of the one it builds on. */
function resultOf(before: Serving, edit: Edit): Result<Serving, NumberedError> {
  const made = edit(before);
  if (!made.ok) return err({ tag: 'invalid', faults: made.error });
  const read = readServing(made.value);
  if (!read.ok) return err({ tag: 'invalid', faults: read.error });
  const { number } = read.value;
  if (number <= before.number)
    return err({ tag: 'invalid', faults: [errorAt(['number'], `a number above ${before.number}`, number)] });
  return ok(withPreservedOrder(before, read.value));
}

/** Whether what is in force is just what this change makes of the base that it names: then it is the same change. */
function isInForce(state: ControlState, base: number, edit: Edit): boolean {
  const newest = newestNumbered(state.history)?.revision;
  const { undo } = state.history;
  if (undo === null || newest?.base !== base) return false;
  const before = withChanges(state.configuration, undo) as Configuration;
  const result = resultOf(before.serving ?? EMPTY_SERVING, edit);
  return result.ok && result.value.number === newest.number && differences(servingOf(state), result.value).length === 0;
}

class LedgerConfigurationService implements ConfigurationService {
  private readonly readTimeoutMs: number;
  private readonly agreeMs: number;
  private readonly most: StoredBytes;

  constructor(private readonly deps: ConfigurationServiceDeps) {
    this.readTimeoutMs = this.deps.readTimeoutMs ?? READ_TIMEOUT_MS;
    this.agreeMs = this.deps.agreeMs ?? AGREE_MS;
    this.most = this.deps.most ?? { configuration: Infinity, change: Infinity };
  }

  private sizeError(
    state: ControlState,
    judged: Exclude<Judged, { tag: 'answer' }>,
    draft: EntryDraft,
  ): NumberedError | null {
    if (judged.tag !== 'apply') return null;
    const back = differences(judged.next, servingOf(state));
    const stored: StoredBytes = { configuration: bytesOf(judged.next) + bytesOf(back), change: bytesOf(draft) };
    for (const what of ['configuration', 'change'] as const) {
      const error = { tag: 'tooLarge' as const, what, bytes: stored[what], most: this.most[what] };
      if (error.bytes <= error.most) continue;
      this.deps.log.warn('configuration too large', { what, bytes: error.bytes, most: error.most });
      return error;
    }
    return null;
  }

  /** To be asked after a round trip: the end of a connection is read a turn later than the call that it carried. */
  private mayBeAbandoned(caller: Caller): boolean {
    return this.deps.standstill.isRecent() || caller.gone();
  }

  private async tooLate(): Promise<boolean> {
    await delay(this.deps.clock, this.readTimeoutMs);
    return false;
  }

  private readCurrent(): Promise<boolean> {
    return Promise.race([this.deps.ledger.linearizableRead(this.readTimeoutMs), this.tooLate()]);
  }

  async amend(base: number, edit: Edit, digest: string): Promise<Result<Accepted, NumberedError>> {
    const request = operatorRequest(digest);
    const until = this.deps.clock.mono() + this.agreeMs;
    while (this.deps.clock.mono() < until) {
      if (!(await this.readCurrent())) return err(NO_MAJORITY);
      const state = this.deps.ledger.controlState();
      const judged = judge(state, request, base, edit);
      if (judged.tag === 'answer') return judged.answer;
      const draft = draftOf(state, request, base, judged);
      const tooLarge = this.sizeError(state, judged, draft);
      if (tooLarge) return err(tooLarge);
      const agreed = await this.deps.ledger.propose(draft, until - this.deps.clock.mono());
      if (!agreed.ok) return err(NO_MAJORITY);
      if (agreed.value.outcome.tag === 'applied') return ok({ tag: 'taken', number: judged.number });
    }
    return err(NO_MAJORITY);
  }

  replace(base: number, draft: unknown, digest: string): Promise<Result<Accepted, NumberedError>> {
    function replacement(): Result<unknown, never> {
      return ok(draft);
    }
    return this.amend(base, replacement, digest);
  }

  async read(): Promise<Result<Serving, NumberedError>> {
    return (await this.readCurrent()) ? ok(servingOf(this.deps.ledger.controlState())) : err(NO_MAJORITY);
  }

  /**
   * One proposal, on the zone's version as it was when the order came. It isn't made anew where another order was agreed
   * first: that one may be the later order, and the caller of this one may be long gone. Whoever still wants it sends it
   * again. For the same reason a process that stood still while it asked a majority doesn't go on, nor does one that
   * stood still shortly before: the order may have lain unread since, with newer ones acknowledged elsewhere.
   */
  async evacuate(
    zone: string,
    begun: boolean,
    caller: Caller,
  ): Promise<Result<{ readonly tag: 'taken' }, NumberedError>> {
    const cameAt = this.deps.clock.mono();
    if (!(await this.readCurrent()) || this.deps.clock.mono() - cameAt > this.readTimeoutMs) return err(NO_MAJORITY);
    if (this.mayBeAbandoned(caller)) {
      this.deps.log.warn('order on a zone not taken, its caller may be gone', { zone, begun, gone: caller.gone() });
      return err({ tag: 'mayBeAbandoned' });
    }
    const base = zoneVersion(this.deps.ledger.controlState().history, zone);
    const id = `evacuation:${zone}@${base}:${begun ? 'begin' : 'finish'}`;
    const cause = begun ? `The operator evacuates ${zone}.` : `The operator hands ${zone} back.`;
    const agreed = await this.deps.ledger.propose(
      { id, cause, act: { tag: 'evacuation', zone, begun, base } },
      this.agreeMs,
    );
    if (!agreed.ok) return err(NO_MAJORITY);
    this.deps.log.info('order on a zone agreed', { zone, begun, base, outcome: agreed.value.outcome.tag });
    const isSo = (this.deps.ledger.controlState().evacuated[zone] !== undefined) === begun;
    return agreed.value.outcome.tag === 'applied' || isSo ? ok({ tag: 'taken' }) : err({ tag: 'outcomeUnknown' });
  }
}

/** The operators' calls over one controller's ledger. */
export function createConfigurationService(deps: ConfigurationServiceDeps): ConfigurationService {
  return new LedgerConfigurationService(deps);
}
