/**
 * The controller side of run-once claims, where each controller is a voter. Keys are write-once: each one is granted by
 * a majority of the members, and every voter syncs its claims to a separate ring. A new member grants nothing until it
 * has read the claims of enough other members to intersect every earlier majority (docs/design/claims.md;
 * docs/consistency.md, section 3).
 */
import { createBatchQueue } from '../../base/batch-queue.js';
import type { BatchQueue } from '../../base/batch-queue.js';
import { parseJson } from '../../base/parse-json.js';
import { isJsonObject } from '../../base/is-json-object.js';
import { err, ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import type { Claim, ClaimAnswer, ClaimEnd } from '../../state/idempotency/claim.js';
import { majorityOf, memberId, membersDigest } from '../../state/consensus/control-state.js';
import { CLAIM_RECORD_BYTES, createClaimTable, HOUR_MS, unpackClaims } from '../../state/idempotency/claim-table.js';
import type { ClaimTable } from '../../state/idempotency/claim-table.js';
import type { Member } from '../../state/consensus/entry.js';
import type { HourRange } from '../../state/idempotency/hour-ranges.js';
import { MAX_KEY_AGE_MS } from '../../state/idempotency/run-key.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Disk } from '../../transport/disk.js';
import type { Log } from '../../transport/log.js';
import { openRing } from '../../transport/ring.js';
import type { OpenedRing, Ring, RingError, RingShape } from '../../transport/ring.js';
import type { Ledger } from '../consensus/ledger.js';
import type { Peers } from '../messaging/peers.js';
import { otherMembers } from '../../state/consensus/fold-members.js';

/** The claims of one controller. `ready` returns true once this controller may vote on claims. */
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

type SnapshotHeader = { readonly readyFor: string; readonly uptime: number; readonly forgotten: readonly HourRange[] };

/** How long claims are kept: 2 hours longer than the maximum age of a key. */
export const CLAIM_RETENTION_MS = MAX_KEY_AGE_MS + 2 * HOUR_MS;
/** Maximum number of claims that are kept, even if the disk has room for more. */
export const MAX_CLAIMS = 2_500_000;
const HEADER_RESERVE_BYTES = 16_384;
const MAX_PAGE_RECORDS = 20_000;
const FORGET_INTERVAL_MS = 60_000;
const RECORD_MARKER = 0x72;
const NEWLINE = 0x0a;
const OPENING_BRACE = 0x7b;

function isUnknownRecord(record: Buffer): boolean {
  return record[0] !== RECORD_MARKER;
}

function isHourRanges(value: unknown): value is readonly HourRange[] {
  return Array.isArray(value) && value.every(isHourRange);
}
function isHourRange(value: unknown): boolean {
  return Array.isArray(value) && value.length === 2 && Number.isInteger(value[0]) && Number.isInteger(value[1]);
}

function encodeRingRecord(record: Buffer, uptime: number): Buffer {
  const ringRecord = Buffer.alloc(9 + CLAIM_RECORD_BYTES);
  ringRecord[0] = RECORD_MARKER;
  ringRecord.writeDoubleBE(uptime, 1);
  record.copy(ringRecord, 9);
  return ringRecord;
}

/** Returns the claims of a controller that stores no claims and never votes on one. */
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

/** Opens the claims stored on a disk. The error says why the disk can't be used. */
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
  const damagedAt =
    snapshot?.[0] === OPENING_BRACE && snapshot.indexOf(NEWLINE) < 0 ? 0 : records.findIndex(isUnknownRecord);
  if (damagedAt >= 0) return err({ tag: 'ringDamaged', file: shape.name, at: damagedAt });
  return ok(new RingClaims(opened.value, ledger, peers, shape, clock, log));
}

type FetchedClaims = { readonly forgotten: readonly HourRange[]; readonly records: readonly Buffer[] };

class RingClaims implements Claims {
  private readonly ring: Ring;
  private readonly table: ClaimTable;
  private readyFor = '';
  private previousUptime = 0;
  private isRebuilding = false;
  private hasUnsyncedChanges = false;
  private readonly openedAt: number;

  private readonly queue: BatchQueue<
    Command,
    ({ tag: 'claimed' } | { tag: 'taken'; answered: boolean } | { tag: 'full' } | { tag: 'tooOld' })[] | null
  >;

  private readonly rebuildTimer: Timer;
  private readonly forgetTimer: Timer;

  constructor(
    { ring, snapshot, records }: OpenedRing,
    private readonly ledger: Ledger,
    private readonly peers: Peers,
    shape: RingShape,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {
    this.ring = ring;
    this.table = createClaimTable(
      Math.min(MAX_CLAIMS, Math.floor((shape.snapshotBytes - HEADER_RESERVE_BYTES) / CLAIM_RECORD_BYTES)),
    );
    if (snapshot) {
      const end = snapshot.indexOf(NEWLINE);
      this.applyHeader(snapshot.subarray(0, end).toString());
      unpackClaims(this.table, snapshot.subarray(end + 1));
    }
    for (const ringRecord of records) {
      const uptime = ringRecord.readDoubleBE(1);
      this.previousUptime = Math.max(this.previousUptime, uptime);
      this.table.replay(ringRecord.subarray(9), uptime);
    }
    this.openedAt = this.clock.mono();
    this.queue = createBatchQueue((commands) => this.processBatch(commands));

    this.peers.on('claim', (message) => this.onClaim(message));

    this.peers.on('claimEnds', (message) => this.onClaimEnds(message));

    this.peers.on('claimsAsk', (message) => this.onPageRequest(message));
    this.rebuildTimer = every(this.clock, 1_000, () => this.onRebuildTimer());
    this.forgetTimer = every(this.clock, FORGET_INTERVAL_MS, () => this.forgetExpired());
  }

  private ownMemberId(): string {
    return memberId(this.ledger.self);
  }

  private applyHeader(text: string): void {
    const header = parseJson(text);
    if (!isJsonObject(header)) return;
    if (typeof header['readyFor'] === 'string') this.readyFor = header['readyFor'];
    if (typeof header['uptime'] === 'number') this.previousUptime = Math.max(this.previousUptime, header['uptime']);
    if (isHourRanges(header['forgotten'])) this.table.addForgotten(header['forgotten']);
  }

  private uptime(): number {
    return this.previousUptime + (this.clock.mono() - this.openedAt);
  }

  ready(): boolean {
    return (
      this.ledger.isMember() &&
      (this.readyFor === this.ownMemberId() || this.ledger.controlState().claimants.includes(this.ownMemberId()))
    );
  }

  private async processBatch(commands: readonly Command[]): Promise<readonly (ClaimAnswer[] | null)[]> {
    function noAnswer(): null {
      return null;
    }
    if (this.hasUnsyncedChanges && !(await this.compact())) return commands.map(noAnswer);
    const answers: (ClaimAnswer[] | null)[] = [];
    const writes: Buffer[] = [];
    let isRebuilt = false;
    for (const command of commands) {
      if (command.tag === 'claim' && command.members !== membersDigest(this.ledger.controlState().members)) {
        answers.push(null);
        continue;
      }
      const votes: ClaimAnswer[] = [];
      answers.push(votes);
      const now = this.uptime();
      if (command.tag === 'claim') {
        for (const claim of command.claims) {
          const vote = this.table.claim(claim, now);
          if (vote.record) writes.push(encodeRingRecord(vote.record, now));
          votes.push(vote.answer);
        }
      } else if (command.tag === 'end') {
        for (const end of command.ends) {
          const record = this.table.end(end, now);
          if (record) writes.push(encodeRingRecord(record, now));
        }
      } else if (command.tag === 'rebuild') {
        this.table.addForgotten(command.forgotten);
        for (const page of command.records) this.table.merge(page, now);
        this.readyFor = command.member;
        isRebuilt = true;
      } else this.table.forgetBefore(now - CLAIM_RETENTION_MS);
    }
    if (writes.length === 0 && !isRebuilt) return answers;
    this.hasUnsyncedChanges = true;
    if (isRebuilt || this.ring.isNearlyFull()) return (await this.compact()) ? answers : commands.map(noAnswer);
    const written = await this.ring.append(writes);
    if (!written.ok && written.error.tag === 'ringFull')
      return (await this.compact()) ? answers : commands.map(noAnswer);
    this.hasUnsyncedChanges = !written.ok;
    if (written.ok) return answers;
    this.log.error('claims write failed', { error: written.error.tag });
    return commands.map(noAnswer);
  }

  private async compact(): Promise<boolean> {
    const header: SnapshotHeader = {
      readyFor: this.readyFor,
      uptime: this.uptime(),
      forgotten: this.table.forgotten(),
    };
    const compacted = await this.ring.compact(
      Buffer.concat([Buffer.from(`${JSON.stringify(header)}\n`), this.table.packed()]),
    );
    this.hasUnsyncedChanges = !compacted.ok;
    if (!compacted.ok) this.log.error('claims write failed', { error: compacted.error.tag });
    return compacted.ok;
  }

  private mayServePage(ledgerName: string): boolean {
    return ledgerName === this.ledger.controlState().ledger && this.ready() && !this.hasUnsyncedChanges;
  }

  // `processBatch` compares the members again when it enters the claim into the table. A member that reads all claims
  // reads them from voters that know it as a member, and such a voter grants nothing more for the previous members.
  private async onClaim(message: MessageOf<'claim'>): Promise<Message> {
    if (
      message.ledger !== this.ledger.controlState().ledger ||
      !this.ready() ||
      message.members !== membersDigest(this.ledger.controlState().members)
    )
      return { kind: 'cannotVote' };
    const answers = await this.queue.put({ tag: 'claim', members: message.members, claims: message.claims });
    return answers ? { kind: 'claimAnswer', voter: this.ownMemberId(), answers } : { kind: 'cannotVote' };
  }

  private async onClaimEnds(message: MessageOf<'claimEnds'>): Promise<Message> {
    if (message.ledger !== this.ledger.controlState().ledger || !this.ready()) return { kind: 'cannotVote' };
    return { kind: 'done', agreed: (await this.queue.put({ tag: 'end', ends: message.ends })) !== null };
  }

  private onPageRequest(message: MessageOf<'claimsAsk'>): Message {
    if (!this.mayServePage(message.ledger) || !this.isCurrentMember(message.asker)) return { kind: 'cannotVote' };
    const page = this.table.page(message.from, MAX_PAGE_RECORDS);
    return {
      kind: 'claimsPage',
      voter: this.ownMemberId(),
      forgotten: this.table.forgotten() as [number, number][],
      records: page.records.toString('base64'),
      next: page.next,
    };
  }

  private isCurrentMember(id: string): boolean {
    for (const member of this.ledger.controlState().members) if (memberId(member) === id) return true;
    return false;
  }

  private async fetchClaims(member: Member): Promise<FetchedClaims | null> {
    const pages: Buffer[] = [];
    const forgotten: HourRange[] = [];
    for (let from = 0; from >= 0;) {
      const response = await this.peers.call(
        member.address,
        { kind: 'claimsAsk', ledger: this.ledger.controlState().ledger, asker: this.ownMemberId(), from },
        5_000,
      );
      if (!response.ok || response.value.kind !== 'claimsPage' || response.value.voter !== memberId(member))
        return null;
      forgotten.push(...response.value.forgotten);
      pages.push(Buffer.from(response.value.records, 'base64'));
      from = response.value.next;
    }
    return { forgotten, records: pages };
  }

  private async rebuild(): Promise<void> {
    if (this.ready() || !this.ledger.isMember() || this.isRebuilding) return;
    this.isRebuilding = true;
    const members = this.ledger.controlState().members;
    const neededResponses = members.length - majorityOf(members) + 1;
    const pages: Buffer[] = [];
    const forgotten: HourRange[] = [];
    let responses = 0;
    for (const member of otherMembers(members, this.ledger.self)) {
      const fetched = await this.fetchClaims(member);
      if (!fetched) continue;
      responses += 1;
      forgotten.push(...fetched.forgotten);
      pages.push(...fetched.records);
    }
    if (
      responses >= neededResponses &&
      (await this.queue.put({ tag: 'rebuild', member: this.ownMemberId(), forgotten, records: pages }))
    ) {
      this.log.info('claims rebuilt', { members: responses, claims: this.table.size() });
    }
    this.isRebuilding = false;
  }

  private onRebuildTimer(): void {
    void this.rebuild();
  }

  private forgetExpired(): void {
    void this.queue.put({ tag: 'forget' });
  }

  size(): number {
    return this.table.size();
  }

  stop(): void {
    this.rebuildTimer.cancel();
    this.forgetTimer.cancel();
  }
}
