/**
 * Messages between nodes and the frames that carry them. Field names are the wire's: an older node must still read
 * them.
 */
import { Type } from '@sinclair/typebox';
import type { Static, TSchema } from '@sinclair/typebox';
import { TypeCompiler } from '@sinclair/typebox/compiler';
import type { TypeCheck } from '@sinclair/typebox/compiler';
import { isTable } from '../base/is-table.js';
import { CountsShape } from '../state/configuration/latency-target-counts.js';
import { ClaimAnswerShape, ClaimEndShape, ClaimShape } from '../state/idempotency/claim.js';
import { ReportedLoadShape } from '../state/distribution/fleet-load.js';
import { LoadRowsShape } from '../state/distribution/load-rows.js';
import { BatchShape, MemberShape } from '../state/consensus/entry.js';
import { WorkerListVersionShape } from '../state/discovery/worker-list-table.js';
import { ListedWorkerShape } from '../state/discovery/listed.js';
import { NodeUpdateShape, NodeShape } from '../state/membership/node-info.js';
import { ReportShape } from '../state/distribution/report.js';
import { CHUNK_LENGTH, SnapshotOfferShape } from '../state/consensus/snapshot-chunks.js';
import { WorkerEntryShape } from '../state/discovery/worker-entry.js';

const Str = Type.String({ minLength: 1, maxLength: 256 });
const Num = Type.Number();
const Slot = Type.Integer({ minimum: -1 });
const Index = Type.Integer({ minimum: 0 });
const SlotRangeShape = Type.Object({ from: Slot, to: Slot });
const ClosedCursorShape = Type.Object({ slot: Slot, id: Str });
const BallotShape = Type.Object({ round: Type.Integer({ minimum: 0 }), by: Type.String() });
const AcceptedShape = Type.Object({ ballot: BallotShape, batch: BatchShape });

/** A slot of the ledger and its batch. */
export const SlotBatchShape = Type.Object({ slot: Slot, batch: BatchShape });
/** A checked slot. */
export type SlotBatch = Static<typeof SlotBatchShape>;

const UpdateShape = Type.Array(Type.Union([NodeShape, NodeUpdateShape]));

/** All messages, told apart by `kind`. */
export const MessageShape = Type.Union([
  Type.Object({ kind: Type.Literal('prepare'), ledger: Str, slot: Slot, ballot: BallotShape }),
  Type.Object({ kind: Type.Literal('accept'), ledger: Str, slot: Slot, ballot: BallotShape, batch: BatchShape }),
  Type.Object({ kind: Type.Literal('promised'), voter: Str, accepted: Type.Union([AcceptedShape, Type.Null()]) }),
  Type.Object({ kind: Type.Literal('accepted'), voter: Str }),
  Type.Object({ kind: Type.Literal('outbid'), voter: Str, by: BallotShape }),
  Type.Object({ kind: Type.Literal('alreadyChosen'), voter: Str }),
  Type.Object({ kind: Type.Literal('cannotVote') }),
  Type.Object({ kind: Type.Literal('learned'), ledger: Str, slot: Slot, batch: Str, at: Str }),
  Type.Object({ kind: Type.Literal('memberStatusAsk') }),
  Type.Object({
    kind: Type.Literal('memberStatus'),
    ledger: Type.String(),
    voter: Str,
    address: Str,
    learned: Slot,
    top: Slot,
    wall: Type.Optional(Num),
    unheard: Type.Optional(Type.Array(Str)),
    cannotWrite: Type.Optional(Type.Boolean()),
    leaving: Type.Optional(Type.Boolean()),
  }),
  Type.Object({ kind: Type.Literal('fetch'), ledger: Type.String(), from: Slot }),
  Type.Object({
    kind: Type.Literal('fetched'),
    snapshot: Type.Optional(SnapshotOfferShape),
    batches: Type.Array(SlotBatchShape),
  }),
  Type.Object({ kind: Type.Literal('snapshotAsk'), digest: Str, part: Index }),
  Type.Object({
    kind: Type.Literal('snapshotPart'),
    digest: Str,
    part: Index,
    text: Type.String({ maxLength: CHUNK_LENGTH }),
  }),
  Type.Object({ kind: Type.Literal('snapshotGone'), digest: Str }),
  Type.Object({
    kind: Type.Literal('closedAsk'),
    ledger: Str,
    slots: SlotRangeShape,
    after: Type.Union([ClosedCursorShape, Type.Null()]),
  }),
  Type.Object({
    kind: Type.Literal('closedPage'),
    orders: Type.Array(Type.String()),
    next: Type.Union([ClosedCursorShape, Type.Null()]),
    lacking: Type.Boolean(),
  }),
  Type.Object({ kind: Type.Literal('bootstrap'), ledger: Str, slotZero: BatchShape, commit: Type.Boolean() }),
  Type.Object({ kind: Type.Literal('bootstrapAnswer'), agreed: Type.Boolean(), member: MemberShape }),
  Type.Object({ kind: Type.Literal('bootstrapVoteAsk'), bootstrapMembers: Str }),
  Type.Object({
    kind: Type.Literal('bootstrapVoteAnswer'),
    member: MemberShape,
    ledger: Type.String(),
    votes: Type.Boolean(),
  }),
  Type.Object({ kind: Type.Literal('rejoin'), ledger: Str, member: MemberShape }),
  Type.Object({ kind: Type.Literal('done'), agreed: Type.Boolean() }),
  Type.Object({
    kind: Type.Literal('leaseAsk'),
    ledger: Str,
    duty: Str,
    holder: Str,
    termMs: Num,
    round: Type.Integer(),
  }),
  Type.Object({ kind: Type.Literal('leaseDrop'), ledger: Str, duty: Str, holder: Str, round: Type.Integer() }),
  Type.Object({ kind: Type.Literal('leaseAnswer'), voter: Str, granted: Type.Boolean() }),
  Type.Object({ kind: Type.Literal('claim'), ledger: Str, members: Str, claims: Type.Array(ClaimShape) }),
  Type.Object({ kind: Type.Literal('claimAnswer'), voter: Str, answers: Type.Array(ClaimAnswerShape) }),
  Type.Object({ kind: Type.Literal('claimEnds'), ledger: Str, ends: Type.Array(ClaimEndShape) }),
  Type.Object({ kind: Type.Literal('claimsAsk'), ledger: Str, asker: Str, from: Num }),
  Type.Object({
    kind: Type.Literal('claimsPage'),
    voter: Str,
    forgotten: Type.Array(Type.Tuple([Num, Num])),
    records: Type.String(),
    next: Num,
  }),
  Type.Object({ kind: Type.Literal('claimsWholeAsk') }),
  Type.Object({ kind: Type.Literal('claimsWhole'), voter: Str, whole: Type.Boolean() }),
  Type.Object({
    kind: Type.Literal('follow'),
    name: Str,
    zone: Str,
    region: Str,
    ledger: Type.String(),
    from: Slot,
    nonce: Type.Integer(),
  }),
  Type.Object({
    kind: Type.Literal('changes'),
    ledger: Str,
    snapshot: Type.Optional(SnapshotOfferShape),
    batches: Type.Array(SlotBatchShape),
  }),
  Type.Object({ kind: Type.Literal('attend'), name: Str, nonce: Type.Integer() }),
  Type.Object({ kind: Type.Literal('unfollow'), name: Str }),
  Type.Object({ kind: Type.Literal('followed'), name: Str, slot: Slot }),
  Type.Object({ kind: Type.Literal('confirmed'), slots: Type.Record(Type.String(), Slot) }),
  Type.Object({
    kind: Type.Literal('beat'),
    from: Str,
    ledger: Type.String(),
    slot: Slot,
    top: Slot,
    quorate: Type.Boolean(),
    wall: Num,
    echo: Type.Integer(),
  }),
  Type.Object({ kind: Type.Literal('outlived'), reporter: Str, incarnation: Type.Integer() }),
  Type.Object({ kind: Type.Literal('reports'), by: Type.Optional(Str), reports: Type.Array(ReportShape) }),
  Type.Object({ kind: Type.Literal('reportsAsk'), by: Str, reporters: Type.Array(Str) }),
  Type.Object({
    kind: Type.Literal('counts'),
    by: Type.Optional(Str),
    reporter: Str,
    incarnation: Type.Integer(),
    totals: Type.Record(Type.String(), CountsShape),
  }),
  Type.Object({ kind: Type.Literal('listFollow'), number: Type.Union([WorkerListVersionShape, Type.Null()]) }),
  Type.Object({
    kind: Type.Literal('listWhole'),
    number: WorkerListVersionShape,
    ageMs: Num,
    sinceMs: Type.Optional(Num),
    entries: Type.Array(WorkerEntryShape),
  }),
  Type.Object({
    kind: Type.Literal('listChange'),
    number: WorkerListVersionShape,
    base: WorkerListVersionShape,
    ageMs: Num,
    told: Type.Array(WorkerEntryShape),
    gone: Type.Array(Str),
  }),
  Type.Object({
    kind: Type.Literal('listBeat'),
    number: Type.Union([WorkerListVersionShape, Type.Null()]),
    ageMs: Type.Union([Num, Type.Null()]),
    sinceMs: Type.Optional(Num),
    silent: Type.Optional(Type.Boolean()),
  }),
  Type.Object({ kind: Type.Literal('usage'), told: ReportedLoadShape }),
  Type.Object({ kind: Type.Literal('usages'), told: ReportedLoadShape }),
  Type.Object({ kind: Type.Literal('fleetLoad'), rows: LoadRowsShape, partial: Type.Optional(Type.Boolean()) }),
  Type.Object({ kind: Type.Literal('listAsk') }),
  Type.Object({
    kind: Type.Literal('listTold'),
    ageMs: Type.Union([Num, Type.Null()]),
    workers: Type.Array(ListedWorkerShape),
  }),
  Type.Object({
    kind: Type.Literal('probe'),
    from: NodeUpdateShape,
    all: Type.Optional(Type.Boolean()),
    news: UpdateShape,
  }),
  Type.Object({ kind: Type.Literal('probeFor'), target: Str, news: UpdateShape }),
  Type.Object({
    kind: Type.Literal('probeAnswer'),
    reached: Type.Boolean(),
    stranger: Type.Optional(Type.Boolean()),
    sum: Type.Optional(Type.Integer()),
    from: Type.Optional(NodeUpdateShape),
    news: UpdateShape,
  }),
]);
/** A checked message. */
export type Message = Static<typeof MessageShape>;
/** The kinds of messages. */
export type MessageKind = Message['kind'];
/** The message of one kind. */
export type MessageOf<K extends MessageKind> = Extract<Message, { kind: K }>;

/** A frame: a message without answer (`tell`), a call, or an answer. */
export const FrameShape = Type.Union([
  Type.Object({ t: Type.Literal('tell'), m: MessageShape }),
  Type.Object({ t: Type.Literal('call'), id: Type.Integer(), m: MessageShape }),
  Type.Object({ t: Type.Literal('answer'), id: Type.Integer(), m: MessageShape }),
]);
/** A checked frame. */
export type Frame = Static<typeof FrameShape>;

const shapes = new Map<unknown, TSchema>();
for (const shape of MessageShape.anyOf) shapes.set(shape.properties.kind.const, shape);
const checkers = new Map<unknown, TypeCheck<TSchema>>();

function isMessage(value: unknown): boolean {
  if (!isTable(value)) return false;
  const { kind } = value;
  let checker = checkers.get(kind);
  if (!checker) {
    const shape = shapes.get(kind);
    if (!shape) return false;
    checker = TypeCompiler.Compile(shape);
    checkers.set(kind, checker);
  }
  return checker.Check(value);
}

// Each kind's check is made when the first of its kind comes: making them all takes a third of a start.
/** The frame in a parsed value, or null if it has no known shape. */
export function readFrame(body: unknown): Frame | null {
  if (!isTable(body) || !isMessage(body['m'])) return null;
  const { t, id } = body;
  return t === 'tell' || ((t === 'call' || t === 'answer') && Number.isInteger(id)) ? (body as Frame) : null;
}
