/**
 * Messages between nodes and the frames that carry them. Field names are part of the wire format: nodes of an older
 * version must still be able to read them.
 */
import { Type } from '@sinclair/typebox';
import type { Static, TSchema } from '@sinclair/typebox';
import { TypeCompiler } from '@sinclair/typebox/compiler';
import type { TypeCheck } from '@sinclair/typebox/compiler';
import { isJsonObject } from '../base/is-json-object.js';
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

const ShortString = Type.String({ minLength: 1, maxLength: 256 });
const Num = Type.Number();
const Slot = Type.Integer({ minimum: -1 });
const Index = Type.Integer({ minimum: 0 });
const SlotRangeShape = Type.Object({ from: Slot, to: Slot });
const ClosedCursorShape = Type.Object({ slot: Slot, id: ShortString });
const BallotShape = Type.Object({ round: Type.Integer({ minimum: 0 }), by: Type.String() });
const AcceptedShape = Type.Object({ ballot: BallotShape, batch: BatchShape });

/** A slot of the replicated log and its batch of entries. */
export const SlotBatchShape = Type.Object({ slot: Slot, batch: BatchShape });
/** A validated slot and its batch. */
export type SlotBatch = Static<typeof SlotBatchShape>;

const NodeUpdatesShape = Type.Array(Type.Union([NodeShape, NodeUpdateShape]));

/** All messages, discriminated by `kind`. */
export const MessageShape = Type.Union([
  Type.Object({ kind: Type.Literal('prepare'), ledger: ShortString, slot: Slot, ballot: BallotShape }),
  Type.Object({
    kind: Type.Literal('accept'),
    ledger: ShortString,
    slot: Slot,
    ballot: BallotShape,
    batch: BatchShape,
  }),
  Type.Object({
    kind: Type.Literal('promised'),
    voter: ShortString,
    accepted: Type.Union([AcceptedShape, Type.Null()]),
  }),
  Type.Object({ kind: Type.Literal('accepted'), voter: ShortString }),
  Type.Object({ kind: Type.Literal('outbid'), voter: ShortString, by: BallotShape }),
  Type.Object({ kind: Type.Literal('alreadyChosen'), voter: ShortString }),
  Type.Object({ kind: Type.Literal('cannotVote') }),
  Type.Object({ kind: Type.Literal('learned'), ledger: ShortString, slot: Slot, batch: ShortString, at: ShortString }),
  Type.Object({ kind: Type.Literal('memberStatusAsk') }),
  Type.Object({
    kind: Type.Literal('memberStatus'),
    ledger: Type.String(),
    voter: ShortString,
    address: ShortString,
    learned: Slot,
    top: Slot,
    wall: Type.Optional(Num),
    unheard: Type.Optional(Type.Array(ShortString)),
    cannotWrite: Type.Optional(Type.Boolean()),
    leaving: Type.Optional(Type.Boolean()),
  }),
  Type.Object({ kind: Type.Literal('fetch'), ledger: Type.String(), from: Slot }),
  Type.Object({
    kind: Type.Literal('fetched'),
    snapshot: Type.Optional(SnapshotOfferShape),
    batches: Type.Array(SlotBatchShape),
  }),
  Type.Object({ kind: Type.Literal('snapshotAsk'), digest: ShortString, part: Index }),
  Type.Object({
    kind: Type.Literal('snapshotPart'),
    digest: ShortString,
    part: Index,
    text: Type.String({ maxLength: CHUNK_LENGTH }),
  }),
  Type.Object({ kind: Type.Literal('snapshotGone'), digest: ShortString }),
  Type.Object({
    kind: Type.Literal('closedAsk'),
    ledger: ShortString,
    slots: SlotRangeShape,
    after: Type.Union([ClosedCursorShape, Type.Null()]),
  }),
  Type.Object({
    kind: Type.Literal('closedPage'),
    orders: Type.Array(Type.String()),
    next: Type.Union([ClosedCursorShape, Type.Null()]),
    lacking: Type.Boolean(),
  }),
  Type.Object({ kind: Type.Literal('bootstrap'), ledger: ShortString, slotZero: BatchShape, commit: Type.Boolean() }),
  Type.Object({ kind: Type.Literal('bootstrapAnswer'), agreed: Type.Boolean(), member: MemberShape }),
  Type.Object({ kind: Type.Literal('bootstrapVoteAsk'), bootstrapMembers: ShortString }),
  Type.Object({
    kind: Type.Literal('bootstrapVoteAnswer'),
    member: MemberShape,
    ledger: Type.String(),
    votes: Type.Boolean(),
  }),
  Type.Object({ kind: Type.Literal('rejoin'), ledger: ShortString, member: MemberShape }),
  Type.Object({ kind: Type.Literal('done'), agreed: Type.Boolean() }),
  Type.Object({
    kind: Type.Literal('leaseAsk'),
    ledger: ShortString,
    duty: ShortString,
    holder: ShortString,
    termMs: Num,
    round: Type.Integer(),
  }),
  Type.Object({
    kind: Type.Literal('leaseDrop'),
    ledger: ShortString,
    duty: ShortString,
    holder: ShortString,
    round: Type.Integer(),
  }),
  Type.Object({ kind: Type.Literal('leaseAnswer'), voter: ShortString, granted: Type.Boolean() }),
  Type.Object({
    kind: Type.Literal('claim'),
    ledger: ShortString,
    members: ShortString,
    claims: Type.Array(ClaimShape),
  }),
  Type.Object({ kind: Type.Literal('claimAnswer'), voter: ShortString, answers: Type.Array(ClaimAnswerShape) }),
  Type.Object({ kind: Type.Literal('claimEnds'), ledger: ShortString, ends: Type.Array(ClaimEndShape) }),
  Type.Object({ kind: Type.Literal('claimsAsk'), ledger: ShortString, asker: ShortString, from: Num }),
  Type.Object({
    kind: Type.Literal('claimsPage'),
    voter: ShortString,
    forgotten: Type.Array(Type.Tuple([Num, Num])),
    records: Type.String(),
    next: Num,
  }),
  Type.Object({ kind: Type.Literal('claimsWholeAsk') }),
  Type.Object({ kind: Type.Literal('claimsWhole'), voter: ShortString, whole: Type.Boolean() }),
  Type.Object({
    kind: Type.Literal('follow'),
    name: ShortString,
    zone: ShortString,
    region: ShortString,
    ledger: Type.String(),
    from: Slot,
    nonce: Type.Integer(),
  }),
  Type.Object({
    kind: Type.Literal('changes'),
    ledger: ShortString,
    snapshot: Type.Optional(SnapshotOfferShape),
    batches: Type.Array(SlotBatchShape),
  }),
  Type.Object({ kind: Type.Literal('attend'), name: ShortString, nonce: Type.Integer() }),
  Type.Object({ kind: Type.Literal('unfollow'), name: ShortString }),
  Type.Object({ kind: Type.Literal('followed'), name: ShortString, slot: Slot }),
  Type.Object({ kind: Type.Literal('confirmed'), slots: Type.Record(Type.String(), Slot) }),
  Type.Object({
    kind: Type.Literal('beat'),
    from: ShortString,
    ledger: Type.String(),
    slot: Slot,
    top: Slot,
    quorate: Type.Boolean(),
    wall: Num,
    echo: Type.Integer(),
  }),
  Type.Object({ kind: Type.Literal('outlived'), reporter: ShortString, incarnation: Type.Integer() }),
  Type.Object({ kind: Type.Literal('reports'), by: Type.Optional(ShortString), reports: Type.Array(ReportShape) }),
  Type.Object({ kind: Type.Literal('reportsAsk'), by: ShortString, reporters: Type.Array(ShortString) }),
  Type.Object({
    kind: Type.Literal('counts'),
    by: Type.Optional(ShortString),
    reporter: ShortString,
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
    gone: Type.Array(ShortString),
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
    news: NodeUpdatesShape,
  }),
  Type.Object({ kind: Type.Literal('probeFor'), target: ShortString, news: NodeUpdatesShape }),
  Type.Object({
    kind: Type.Literal('probeAnswer'),
    reached: Type.Boolean(),
    stranger: Type.Optional(Type.Boolean()),
    sum: Type.Optional(Type.Integer()),
    from: Type.Optional(NodeUpdateShape),
    news: NodeUpdatesShape,
  }),
]);
/** A validated message. */
export type Message = Static<typeof MessageShape>;
/** The kinds of messages. */
export type MessageKind = Message['kind'];
/** The message of one kind. */
export type MessageOf<K extends MessageKind> = Extract<Message, { kind: K }>;

/** A frame: a one-way message (`tell`), a call (`call`), or the response to a call (`answer`). */
export const FrameShape = Type.Union([
  Type.Object({ t: Type.Literal('tell'), m: MessageShape }),
  Type.Object({ t: Type.Literal('call'), id: Type.Integer(), m: MessageShape }),
  Type.Object({ t: Type.Literal('answer'), id: Type.Integer(), m: MessageShape }),
]);
/** A validated frame. */
export type Frame = Static<typeof FrameShape>;

const shapesByKind = new Map<unknown, TSchema>();
for (const shape of MessageShape.anyOf) shapesByKind.set(shape.properties.kind.const, shape);
const checkersByKind = new Map<unknown, TypeCheck<TSchema>>();

function isMessage(value: unknown): boolean {
  if (!isJsonObject(value)) return false;
  const { kind } = value;
  let checker = checkersByKind.get(kind);
  if (!checker) {
    const shape = shapesByKind.get(kind);
    if (!shape) return false;
    checker = TypeCompiler.Compile(shape);
    checkersByKind.set(kind, checker);
  }
  return checker.Check(value);
}

// The check of each kind is compiled when its first message arrives: compiling all takes a third of the startup time.
/** Returns the frame in a parsed value, or null if it matches no known frame or message. */
export function readFrame(body: unknown): Frame | null {
  if (!isJsonObject(body) || !isMessage(body['m'])) return null;
  const { t, id } = body;
  return t === 'tell' || ((t === 'call' || t === 'answer') && Number.isInteger(id)) ? (body as Frame) : null;
}
