/**
 * The voter's side of run-once claims: write-once keys, each granted by a majority of the members and synced to a ring of
 * its own. A member that is new grants nothing until it has read the claims of so many others that any majority before it
 * is met (docs/design/claims.md; docs/consistency.md, section 3).
 */
import { createBatchQueue } from '../../base/batch-queue.js';
import type { BatchQueue } from '../../base/batch-queue.js';
import { parsedJson } from '../../base/parsed-json.js';
import { isTable } from '../../base/is-table.js';
import { err, ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import type { Claim, ClaimAnswer, ClaimEnd } from '../../state/idempotency/claim.js';
import { majorityOf, memberId, membersDigest } from '../../state/consensus/control-state.js';
import { CLAIM_RECORD, createClaimTable, HOUR_MS, unpackClaims } from '../../state/idempotency/claim-table.js';
import type { ClaimTable } from '../../state/idempotency/claim-table.js';
import type { Member } from '../../state/consensus/entry.js';
import type { HourRange } from '../../state/idempotency/hour-ranges.js';
import { KEY_LIFE_MS } from '../../state/idempotency/run-key.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Disk } from '../../transport/disk.js';
import type { Log } from '../../transport/log.js';
import { openRing } from '../../transport/ring.js';
import type { Opened, Ring, RingError, RingShape } from '../../transport/ring.js';
import type { Ledger } from '../consensus/ledger.js';
import type { Peers } from '../messaging/peers.js';
import { otherMembers } from '../../state/consensus/fold-members.js';

/** The claims of one controller; `ready` once it may vote on any. */
export interface Claims {
  ready(): boolean;
  size(): number;
  stop(): void;
}

type Command =
  | { readonly tag: 'claim'; readonly members: string; readonly claims: readonly Claim[] }
  | { readonly tag: 'end'; readonly ends: readonly ClaimEnd[] }
  | {
      readonly tag: 'rebuild';
      readonly member: string;
      readonly forgotten: readonly HourRange[];
      readonly records: readonly Buffer[];
    }
  | { readonly tag: 'forget' };

type Head = { readonly readyFor: string; readonly uptime: number; readonly forgotten: readonly HourRange[] };

/** How long claims are remembered: longer than any key may be used. */
export const CLAIMS_KEPT_MS = KEY_LIFE_MS + 2 * HOUR_MS;
/** Most claims that are remembered, whatever the disk would hold. */
export const MOST_CLAIMS = 2_500_000;
const HEAD_ROOM = 16_384;
const PAGE = 20_000;
const FORGET_EVERY_MS = 60_000;
const RECORD_MARK = 0x72;
const NEW_LINE = 0x0a;
const BRACE = 0x7b;

function isForeign(record: Buffer): boolean {
  return record[0] !== RECORD_MARK;
}

function isRanges(value: unknown): value is readonly HourRange[] {
  return Array.isArray(value) && value.every(isRange);
}
function isRange(value: unknown): boolean {
  return Array.isArray(value) && value.length === 2 && Number.isInteger(value[0]) && Number.isInteger(value[1]);
}

function encodedRecord(record: Buffer, uptime: number): Buffer {
  const out = Buffer.alloc(9 + CLAIM_RECORD);
  out[0] = RECORD_MARK;
  out.writeDoubleBE(uptime, 1);
  record.copy(out, 9);
  return out;
}

/** Claims of a controller that keeps none. */
export function noClaims(): Claims {
  function ready(): boolean {
    return false;
  }
  function size(): number {
    return 0;
  }
  function stop(): void {}
  return { ready, size, stop };
}

/** Opens the claims on a disk. The error says why the disk can't be used. */
export async function createClaims(
  ledger: Ledger,
  peers: Peers,
  disk: Disk,
  shape: RingShape,
  clock: Clock,
  log: Log,
): Promise<Result<Claims, RingError>> {
  const opened = await openRing(disk, shape);
  if (!opened.ok) return opened;
  const { snapshot, records } = opened.value;
  const first = snapshot?.[0] === BRACE && snapshot.indexOf(NEW_LINE) < 0 ? 0 : records.findIndex(isForeign);
  if (first >= 0) return err({ tag: 'ringDamaged', file: shape.name, at: first });
  return ok(new RingClaims(opened.value, ledger, peers, shape, clock, log));
}

type FetchedRecords = { readonly forgotten: readonly HourRange[]; readonly records: readonly Buffer[] };

class RingClaims implements Claims {
  private readonly ring: Ring;
  private readonly table: ClaimTable;
  private readyFor = '';
  private lived = 0;
  private rebuilding = false;
  private aheadOfDisk = false;
  private readonly openedAt: number;

  private readonly queue: BatchQueue<
    Command,
    ({ tag: 'claimed' } | { tag: 'taken'; answered: boolean } | { tag: 'full' } | { tag: 'tooOld' })[] | null
  >;

  private readonly heartbeatTimer: Timer;
  private readonly forgetting: Timer;

  constructor(
    { ring, snapshot, records }: Opened,
    private readonly ledger: Ledger,
    private readonly peers: Peers,
    shape: RingShape,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {
    this.ring = ring;
    this.table = createClaimTable(Math.min(MOST_CLAIMS, Math.floor((shape.snapshotBytes - HEAD_ROOM) / CLAIM_RECORD)));
    if (snapshot) {
      const end = snapshot.indexOf(NEW_LINE);
      this.applyHeader(snapshot.subarray(0, end).toString());
      unpackClaims(this.table, snapshot.subarray(end + 1));
    }
    for (const rec of records) {
      const at = rec.readDoubleBE(1);
      this.lived = Math.max(this.lived, at);
      this.table.replay(rec.subarray(9), at);
    }
    this.openedAt = this.clock.mono();
    this.queue = createBatchQueue((commands) => this.work(commands));

    this.peers.on('claim', (message) => this.onClaim(message));

    this.peers.on('claimEnds', (message) => this.onEnds(message));

    this.peers.on('claimsAsk', (message) => this.onPageRequest(message));
    this.heartbeatTimer = every(this.clock, 1_000, () => this.heartbeat());
    this.forgetting = every(this.clock, FORGET_EVERY_MS, () => this.forget());
  }

  private me(): string {
    return memberId(this.ledger.self);
  }

  private applyHeader(text: string): void {
    const head = parsedJson(text);
    if (!isTable(head)) return;
    if (typeof head['readyFor'] === 'string') this.readyFor = head['readyFor'];
    if (typeof head['uptime'] === 'number') this.lived = Math.max(this.lived, head['uptime']);
    if (isRanges(head['forgotten'])) this.table.addForgotten(head['forgotten']);
  }

  private uptime(): number {
    return this.lived + (this.clock.mono() - this.openedAt);
  }

  ready(): boolean {
    return (
      this.ledger.isMember() &&
      (this.readyFor === this.me() || this.ledger.controlState().claimants.includes(this.me()))
    );
  }

  private async work(commands: readonly Command[]): Promise<readonly (ClaimAnswer[] | null)[]> {
    function none(): null {
      return null;
    }
    if (this.aheadOfDisk && !(await this.compacted())) return commands.map(none);
    const answers: (ClaimAnswer[] | null)[] = [];
    const writes: Buffer[] = [];
    let complete = false;
    for (const command of commands) {
      if (command.tag === 'claim' && command.members !== membersDigest(this.ledger.controlState().members)) {
        answers.push(null);
        continue;
      }
      const ownAnswers: ClaimAnswer[] = [];
      answers.push(ownAnswers);
      const now = this.uptime();
      if (command.tag === 'claim') {
        for (const claim of command.claims) {
          const step = this.table.claim(claim, now);
          if (step.record) writes.push(encodedRecord(step.record, now));
          ownAnswers.push(step.answer);
        }
      } else if (command.tag === 'end') {
        for (const event of command.ends) {
          const record = this.table.end(event, now);
          if (record) writes.push(encodedRecord(record, now));
        }
      } else if (command.tag === 'rebuild') {
        this.table.addForgotten(command.forgotten);
        for (const buffer of command.records) this.table.merge(buffer, now);
        this.readyFor = command.member;
        complete = true;
      } else this.table.forgetBefore(now - CLAIMS_KEPT_MS);
    }
    if (writes.length === 0 && !complete) return answers;
    this.aheadOfDisk = true;
    if (complete || this.ring.crowded()) return (await this.compacted()) ? answers : commands.map(none);
    const written = await this.ring.append(writes);
    if (!written.ok && written.error.tag === 'ringFull') return (await this.compacted()) ? answers : commands.map(none);
    this.aheadOfDisk = !written.ok;
    if (written.ok) return answers;
    this.log.error('claims write failed', { error: written.error.tag });
    return commands.map(none);
  }

  private async compacted(): Promise<boolean> {
    const head: Head = { readyFor: this.readyFor, uptime: this.uptime(), forgotten: this.table.forgotten() };
    const done = await this.ring.compact(
      Buffer.concat([Buffer.from(`${JSON.stringify(head)}\n`), this.table.packed()]),
    );
    this.aheadOfDisk = !done.ok;
    if (!done.ok) this.log.error('claims write failed', { error: done.error.tag });
    return done.ok;
  }

  private mayAnswer(ledgerName: string): boolean {
    return ledgerName === this.ledger.controlState().ledger && this.ready() && !this.aheadOfDisk;
  }

  // The members are compared again when the claim comes into the table (in work): whoever reads all claims asks a voter that
  // knows it as a member, and such a voter grants nothing more for the members before.
  private async onClaim(message: MessageOf<'claim'>): Promise<Message> {
    if (
      message.ledger !== this.ledger.controlState().ledger ||
      !this.ready() ||
      message.members !== membersDigest(this.ledger.controlState().members)
    )
      return { kind: 'cannotVote' };
    const answers = await this.queue.put({ tag: 'claim', members: message.members, claims: message.claims });
    return answers ? { kind: 'claimAnswer', voter: this.me(), answers } : { kind: 'cannotVote' };
  }

  private async onEnds(message: MessageOf<'claimEnds'>): Promise<Message> {
    if (message.ledger !== this.ledger.controlState().ledger || !this.ready()) return { kind: 'cannotVote' };
    return { kind: 'done', agreed: (await this.queue.put({ tag: 'end', ends: message.ends })) !== null };
  }

  private onPageRequest(message: MessageOf<'claimsAsk'>): Message {
    if (!this.mayAnswer(message.ledger) || !this.knowsMember(message.asker)) return { kind: 'cannotVote' };
    const page = this.table.page(message.from, PAGE);
    return {
      kind: 'claimsPage',
      voter: this.me(),
      forgotten: this.table.forgotten() as [number, number][],
      records: page.records.toString('base64'),
      next: page.next,
    };
  }

  private knowsMember(id: string): boolean {
    for (const member of this.ledger.controlState().members) if (memberId(member) === id) return true;
    return false;
  }

  private async readAll(member: Member): Promise<FetchedRecords | null> {
    const found: Buffer[] = [];
    const forgotten: HourRange[] = [];
    for (let from = 0; from >= 0;) {
      const response = await this.peers.call(
        member.address,
        { kind: 'claimsAsk', ledger: this.ledger.controlState().ledger, asker: this.me(), from },
        5_000,
      );
      if (!response.ok || response.value.kind !== 'claimsPage' || response.value.voter !== memberId(member))
        return null;
      forgotten.push(...response.value.forgotten);
      found.push(Buffer.from(response.value.records, 'base64'));
      from = response.value.next;
    }
    return { forgotten, records: found };
  }

  private async rebuild(): Promise<void> {
    if (this.ready() || !this.ledger.isMember() || this.rebuilding) return;
    this.rebuilding = true;
    const members = this.ledger.controlState().members;
    const quorumSize = members.length - majorityOf(members) + 1;
    const found: Buffer[] = [];
    const forgotten: HourRange[] = [];
    let answered = 0;
    for (const member of otherMembers(members, this.ledger.self)) {
      const fetched = await this.readAll(member);
      if (!fetched) continue;
      answered += 1;
      forgotten.push(...fetched.forgotten);
      found.push(...fetched.records);
    }
    if (
      answered >= quorumSize &&
      (await this.queue.put({ tag: 'rebuild', member: this.me(), forgotten, records: found }))
    ) {
      this.log.info('claims rebuilt', { members: answered, claims: this.table.size() });
    }
    this.rebuilding = false;
  }

  private heartbeat(): void {
    void this.rebuild();
  }

  private forget(): void {
    void this.queue.put({ tag: 'forget' });
  }

  size(): number {
    return this.table.size();
  }

  stop(): void {
    this.heartbeatTimer.cancel();
    this.forgetting.cancel();
  }
}
