/**
 * The voter's side of run-once claims: write-once keys, each granted by a majority of the members and synced to a ring of
 * its own. A member that is new grants nothing until it has read the claims of so many others that any majority before it
 * is met (docs/design/claims.md; docs/consistency.md, section 3).
 */
import { createLine } from '../../base/line.js';
import { parsedJson } from '../../base/parsed-json.js';
import { isTable } from '../../base/is-table.js';
import { err, ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import type { Claim, ClaimAnswer, ClaimEnd } from '../../state/claim.js';
import { majorityOf, memberId, membersMark } from '../../state/control-state.js';
import { CLAIM_RECORD, createClaimTable, HOUR_MS, unpackClaims } from '../../state/claim-table.js';
import type { Member } from '../../state/entry.js';
import type { HourRange } from '../../state/hour-ranges.js';
import { KEY_LIFE_MS } from '../../state/run-key.js';
import { every } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { Disk } from '../../transport/disk.js';
import type { Log } from '../../transport/log.js';
import { openRing } from '../../transport/ring.js';
import type { RingFault, RingShape } from '../../transport/ring.js';
import type { Ledger } from './ledger.js';
import type { Peers } from '../members/peers.js';

export type Claims = { readonly ready: () => boolean; readonly size: () => number; readonly stop: () => void };

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

export const CLAIMS_KEPT_MS = KEY_LIFE_MS + 2 * HOUR_MS;
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

function isRanges(u: unknown): u is readonly HourRange[] {
  return Array.isArray(u) && u.every(isRange);
}
function isRange(u: unknown): boolean {
  return Array.isArray(u) && u.length === 2 && Number.isInteger(u[0]) && Number.isInteger(u[1]);
}

function encodedRecord(record: Buffer, uptime: number): Buffer {
  const out = Buffer.alloc(9 + CLAIM_RECORD);
  out[0] = RECORD_MARK;
  out.writeDoubleBE(uptime, 1);
  record.copy(out, 9);
  return out;
}

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

export async function createClaims(
  ledger: Ledger,
  peers: Peers,
  disk: Disk,
  shape: RingShape,
  clock: Clock,
  log: Log,
): Promise<Result<Claims, RingFault>> {
  const opened = await openRing(disk, shape);
  if (!opened.ok) return opened;
  const { ring, snapshot, records } = opened.value;
  function me(): string {
    return memberId(ledger.self);
  }
  const table = createClaimTable(Math.min(MOST_CLAIMS, Math.floor((shape.snapshotBytes - HEAD_ROOM) / CLAIM_RECORD)));
  let readyFor = '';
  let lived = 0;
  let rebuilding = false;
  let aheadOfDisk = false;
  const first = snapshot?.[0] === BRACE && snapshot.indexOf(NEW_LINE) < 0 ? 0 : records.findIndex(isForeign);
  if (first >= 0) return err({ tag: 'ringDamaged', file: shape.name, at: first });

  function takeHead(text: string): void {
    const head = parsedJson(text);
    if (!isTable(head)) return;
    if (typeof head['readyFor'] === 'string') readyFor = head['readyFor'];
    if (typeof head['uptime'] === 'number') lived = Math.max(lived, head['uptime']);
    if (isRanges(head['forgotten'])) table.addForgotten(head['forgotten']);
  }
  if (snapshot) {
    const end = snapshot.indexOf(NEW_LINE);
    takeHead(snapshot.subarray(0, end).toString());
    unpackClaims(table, snapshot.subarray(end + 1));
  }
  for (const rec of records) {
    const at = rec.readDoubleBE(1);
    lived = Math.max(lived, at);
    table.replay(rec.subarray(9), at);
  }

  const openedAt = clock.mono();
  function uptime(): number {
    return lived + (clock.mono() - openedAt);
  }

  function ready(): boolean {
    return ledger.isMember() && (readyFor === me() || ledger.controlState().claimants.includes(me()));
  }

  async function work(commands: readonly Command[]): Promise<readonly (ClaimAnswer[] | null)[]> {
    function none(): null {
      return null;
    }
    if (aheadOfDisk && !(await compacted())) return commands.map(none);
    const answers: (ClaimAnswer[] | null)[] = [];
    const writes: Buffer[] = [];
    let whole = false;
    for (const c of commands) {
      if (c.tag === 'claim' && c.members !== membersMark(ledger.controlState().members)) {
        answers.push(null);
        continue;
      }
      const given: ClaimAnswer[] = [];
      answers.push(given);
      const now = uptime();
      if (c.tag === 'claim') {
        for (const claim of c.claims) {
          const step = table.claim(claim, now);
          if (step.record) writes.push(encodedRecord(step.record, now));
          given.push(step.answer);
        }
      } else if (c.tag === 'end') {
        for (const e of c.ends) {
          const record = table.end(e, now);
          if (record) writes.push(encodedRecord(record, now));
        }
      } else if (c.tag === 'rebuild') {
        table.addForgotten(c.forgotten);
        for (const r of c.records) table.merge(r, now);
        readyFor = c.member;
        whole = true;
      } else table.forgetBefore(now - CLAIMS_KEPT_MS);
    }
    if (writes.length === 0 && !whole) return answers;
    aheadOfDisk = true;
    if (whole || ring.crowded()) return (await compacted()) ? answers : commands.map(none);
    const written = await ring.append(writes);
    if (!written.ok && written.fault.tag === 'ringFull') return (await compacted()) ? answers : commands.map(none);
    aheadOfDisk = !written.ok;
    if (written.ok) return answers;
    log.error(`Cannot write claims (${written.fault.tag}); none is granted.`);
    return commands.map(none);
  }

  async function compacted(): Promise<boolean> {
    const head: Head = { readyFor, uptime: uptime(), forgotten: table.forgotten() };
    const done = await ring.compact(Buffer.concat([Buffer.from(`${JSON.stringify(head)}\n`), table.packed()]));
    aheadOfDisk = !done.ok;
    if (!done.ok) log.error(`Cannot write claims (${done.fault.tag}); none is granted.`);
    return done.ok;
  }

  const line = createLine(work);

  function mayAnswer(of: string): boolean {
    return of === ledger.controlState().ledger && ready() && !aheadOfDisk;
  }

  // The members are compared again when the claim comes into the table (in work): whoever reads all claims asks a voter that
  // knows it as a member, and such a voter grants nothing more for the members before.
  async function onClaim(m: MessageOf<'claim'>): Promise<Message> {
    if (
      m.ledger !== ledger.controlState().ledger ||
      !ready() ||
      m.members !== membersMark(ledger.controlState().members)
    )
      return { kind: 'cannotVote' };
    const answers = await line.put({ tag: 'claim', members: m.members, claims: m.claims });
    return answers ? { kind: 'claimAnswer', voter: me(), answers } : { kind: 'cannotVote' };
  }
  async function onEnds(m: MessageOf<'claimEnds'>): Promise<Message> {
    if (m.ledger !== ledger.controlState().ledger || !ready()) return { kind: 'cannotVote' };
    return { kind: 'done', agreed: (await line.put({ tag: 'end', ends: m.ends })) !== null };
  }
  function onAsk(m: MessageOf<'claimsAsk'>): Message {
    if (!mayAnswer(m.ledger) || !knowsMember(m.asker)) return { kind: 'cannotVote' };
    const page = table.page(m.from, PAGE);
    return {
      kind: 'claimsPage',
      voter: me(),
      forgotten: table.forgotten() as [number, number][],
      records: page.records.toString('base64'),
      next: page.next,
    };
  }
  function knowsMember(id: string): boolean {
    for (const m of ledger.controlState().members) if (memberId(m) === id) return true;
    return false;
  }
  peers.on('claim', onClaim);
  peers.on('claimEnds', onEnds);
  peers.on('claimsAsk', onAsk);

  type Told = { readonly forgotten: readonly HourRange[]; readonly records: readonly Buffer[] };
  async function readAll(m: Member): Promise<Told | null> {
    const found: Buffer[] = [];
    const forgotten: HourRange[] = [];
    for (let from = 0; from >= 0;) {
      const got = await peers.call(
        m.address,
        { kind: 'claimsAsk', ledger: ledger.controlState().ledger, asker: me(), from },
        5_000,
      );
      if (!got.ok || got.value.kind !== 'claimsPage' || got.value.voter !== memberId(m)) return null;
      forgotten.push(...got.value.forgotten);
      found.push(Buffer.from(got.value.records, 'base64'));
      from = got.value.next;
    }
    return { forgotten, records: found };
  }

  async function rebuild(): Promise<void> {
    if (ready() || !ledger.isMember() || rebuilding) return;
    rebuilding = true;
    const members = ledger.controlState().members;
    const need = members.length - majorityOf(members) + 1;
    const found: Buffer[] = [];
    const forgotten: HourRange[] = [];
    let answered = 0;
    for (const m of members) {
      if (memberId(m) === me()) continue;
      const told = await readAll(m);
      if (!told) continue;
      answered += 1;
      forgotten.push(...told.forgotten);
      found.push(...told.records);
    }
    if (answered >= need && (await line.put({ tag: 'rebuild', member: me(), forgotten, records: found }))) {
      log.info(`Claims were rebuilt from ${answered} others: ${table.size()} held.`);
    }
    rebuilding = false;
  }
  function beat(): void {
    void rebuild();
  }
  function forget(): void {
    void line.put({ tag: 'forget' });
  }
  const beating = every(clock, 1_000, beat);
  const forgetting = every(clock, FORGET_EVERY_MS, forget);

  function size(): number {
    return table.size();
  }
  function stop(): void {
    beating.cancel();
    forgetting.cancel();
  }
  return ok({ ready, size, stop });
}
