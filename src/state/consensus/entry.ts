/** Entries of the ledger. Their shapes are stored and on the wire, so fields keep their names. */
import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

const Str = Type.String({ minLength: 1, maxLength: 256 });
const Slot = Type.Integer({ minimum: 0 });

/** A member of the group of controllers. */
export const MemberShape = Type.Object({ name: Str, incarnation: Str, address: Str });
/** A checked member. */
export type Member = Static<typeof MemberShape>;

/** A change of the configuration: a path and its new value, none to remove it. */
export const ChangeShape = Type.Object({ path: Type.Array(Type.String()), value: Type.Optional(Type.Unknown()) });
/** A checked change. */
export type Change = Static<typeof ChangeShape>;

/** Who asked for a change of the configuration, and under which numbers of its own. */
const RevisionShape = Type.Object({ request: Str, base: Slot, number: Slot });

/** Kinds of machines. */
export const KindShape = Type.Union([Type.Literal('spot'), Type.Literal('onDemand')]);
/** A checked kind. */
export type Kind = Static<typeof KindShape>;

const AdoptedShape = Type.Object({ order: Str, zone: Str, machine: Str, ready: Type.Boolean() });

const SCALER_COMMANDS = [
  Type.Object({
    tag: Type.Literal('orderIntended'),
    order: Str,
    model: Str,
    zone: Str,
    kind: KindShape,
    accelerator: Type.String(),
  }),
  Type.Object({ tag: Type.Literal('orderPlaced'), order: Str, machine: Str }),
  Type.Object({ tag: Type.Literal('orderReady'), order: Str }),
  Type.Object({ tag: Type.Literal('orderFailed'), order: Str }),
  Type.Object({ tag: Type.Literal('orderLost'), order: Str, preempted: Type.Boolean() }),
  Type.Object({ tag: Type.Literal('orderDraining'), order: Str }),
  Type.Object({ tag: Type.Literal('orderReleased'), order: Str }),
  Type.Object({ tag: Type.Literal('orphanReleased'), machine: Str }),
  Type.Object({ tag: Type.Literal('zonesMoved'), model: Str, active: Type.Array(Str), preemptive: Type.Array(Str) }),
  Type.Object({ tag: Type.Literal('targetChanged'), model: Str, target: Slot }),
  Type.Object({ tag: Type.Literal('ordersAdopted'), model: Str, kind: KindShape, adopted: Type.Array(AdoptedShape) }),
] as const;

/** One decision of the scaler, with its cause. */
export const StepShape = Type.Object({
  cause: Type.String({ maxLength: 1024 }),
  act: Type.Union([...SCALER_COMMANDS]),
});
/** A checked decision. */
export type Step = Static<typeof StepShape>;

/** What an entry does, told apart by `tag`. */
export const CommandShape = Type.Union([
  Type.Object({ tag: Type.Literal('bootstrapped'), ledger: Str, ticketKey: Str, members: Type.Array(MemberShape) }),
  Type.Object({ tag: Type.Literal('controllerUp'), name: Str, incarnation: Str }),
  Type.Object({ tag: Type.Literal('memberReplaced'), old: Str, member: MemberShape }),
  Type.Object({ tag: Type.Literal('memberAdded'), member: MemberShape }),
  Type.Object({ tag: Type.Literal('memberRemoved'), old: Str }),
  Type.Object({ tag: Type.Literal('claimsReopened'), members: Type.Array(Str) }),
  Type.Object({
    tag: Type.Literal('configured'),
    base: Slot,
    changes: Type.Array(ChangeShape),
    revision: Type.Optional(RevisionShape),
  }),
  Type.Object({ tag: Type.Literal('changeRepeated'), request: Str, number: Slot }),
  Type.Object({
    tag: Type.Literal('evacuation'),
    zone: Str,
    begun: Type.Boolean(),
    base: Type.Optional(Type.Integer({ minimum: -1 })),
  }),
  Type.Object({ tag: Type.Literal('proxyKnown'), name: Str, zone: Str, region: Str }),
  Type.Object({ tag: Type.Literal('proxyForgotten'), name: Str }),
  Type.Object({ tag: Type.Literal('leaseTaken'), duty: Str, holder: Str }),
  ...SCALER_COMMANDS,
  Type.Object({ tag: Type.Literal('decided'), steps: Type.Array(StepShape, { minItems: 1 }) }),
]);
/** A checked command. */
export type Command = Static<typeof CommandShape>;

/** An entry: who proposed it, why, and its command; with `fence` it counts only under that fencing token. */
export const EntryShape = Type.Object({
  id: Str,
  author: Str,
  wall: Type.Number(),
  cause: Type.String({ maxLength: 1024 }),
  fence: Type.Optional(Slot),
  act: CommandShape,
});
/** A checked entry. */
export type Entry = Static<typeof EntryShape>;

/** The entries of one slot. */
export const BatchShape = Type.Object({ id: Str, entries: Type.Array(EntryShape) });
/** A checked batch. */
export type Batch = Static<typeof BatchShape>;
