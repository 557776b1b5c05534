/** Entries of the replicated log. They are stored and sent in this form, so their fields keep their names. */
import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

const ShortString = Type.String({ minLength: 1, maxLength: 256 });
const NonNegativeInteger = Type.Integer({ minimum: 0 });

/** A member of the group of controllers. */
export const MemberShape = Type.Object({ name: ShortString, incarnation: ShortString, address: ShortString });
/** A validated member. */
export type Member = Static<typeof MemberShape>;

/** A change of the configuration: a path and its new value; without a value the path is removed. */
export const ChangeShape = Type.Object({ path: Type.Array(Type.String()), value: Type.Optional(Type.Unknown()) });
/** A validated change. */
export type ConfigurationChange = Static<typeof ChangeShape>;

/** The request for a change of the configuration, with the revision numbers that the operator gave it. */
const RevisionShape = Type.Object({ request: ShortString, base: NonNegativeInteger, number: NonNegativeInteger });

/** Kind of a machine: spot or on demand. */
export const MachineKindShape = Type.Union([Type.Literal('spot'), Type.Literal('onDemand')]);
/** A validated kind of machine. */
export type MachineKind = Static<typeof MachineKindShape>;

const AdoptedShape = Type.Object({
  order: ShortString,
  zone: ShortString,
  machine: ShortString,
  ready: Type.Boolean(),
});

const SCALER_COMMANDS = [
  Type.Object({
    tag: Type.Literal('orderIntended'),
    order: ShortString,
    model: ShortString,
    zone: ShortString,
    kind: MachineKindShape,
    accelerator: Type.String(),
  }),
  Type.Object({ tag: Type.Literal('orderPlaced'), order: ShortString, machine: ShortString }),
  Type.Object({ tag: Type.Literal('orderReady'), order: ShortString }),
  Type.Object({ tag: Type.Literal('orderFailed'), order: ShortString }),
  Type.Object({ tag: Type.Literal('orderLost'), order: ShortString, preempted: Type.Boolean() }),
  Type.Object({ tag: Type.Literal('orderDraining'), order: ShortString }),
  Type.Object({ tag: Type.Literal('orderReleased'), order: ShortString }),
  Type.Object({ tag: Type.Literal('orphanReleased'), machine: ShortString }),
  Type.Object({
    tag: Type.Literal('zonesMoved'),
    model: ShortString,
    active: Type.Array(ShortString),
    preemptive: Type.Array(ShortString),
  }),
  Type.Object({ tag: Type.Literal('targetChanged'), model: ShortString, target: NonNegativeInteger }),
  Type.Object({
    tag: Type.Literal('ordersAdopted'),
    model: ShortString,
    kind: MachineKindShape,
    adopted: Type.Array(AdoptedShape),
  }),
] as const;

/** One decision of the scaler, with its cause. */
export const StepShape = Type.Object({
  cause: Type.String({ maxLength: 1024 }),
  act: Type.Union([...SCALER_COMMANDS]),
});
/** A validated decision of the scaler. */
export type ScalerStep = Static<typeof StepShape>;

/** The command of an entry, discriminated by `tag`. */
export const CommandShape = Type.Union([
  Type.Object({
    tag: Type.Literal('bootstrapped'),
    ledger: ShortString,
    ticketKey: ShortString,
    members: Type.Array(MemberShape),
  }),
  Type.Object({ tag: Type.Literal('controllerUp'), name: ShortString, incarnation: ShortString }),
  Type.Object({ tag: Type.Literal('memberReplaced'), old: ShortString, member: MemberShape }),
  Type.Object({ tag: Type.Literal('memberAdded'), member: MemberShape }),
  Type.Object({
    tag: Type.Literal('memberRemoved'),
    old: ShortString,
    /** Applied only to a group of more members than this. */
    ifMoreThan: Type.Optional(NonNegativeInteger),
    /** Whether the member may come back with its disk: it was silent and had not announced its end. */
    mayReturn: Type.Optional(Type.Boolean()),
  }),
  Type.Object({ tag: Type.Literal('claimsReopened'), members: Type.Array(ShortString) }),
  Type.Object({
    tag: Type.Literal('configured'),
    base: NonNegativeInteger,
    changes: Type.Array(ChangeShape),
    revision: Type.Optional(RevisionShape),
  }),
  Type.Object({ tag: Type.Literal('changeRepeated'), request: ShortString, number: NonNegativeInteger }),
  Type.Object({
    tag: Type.Literal('evacuation'),
    zone: ShortString,
    begun: Type.Boolean(),
    base: Type.Optional(Type.Integer({ minimum: -1 })),
  }),
  Type.Object({ tag: Type.Literal('proxyKnown'), name: ShortString, zone: ShortString, region: ShortString }),
  Type.Object({ tag: Type.Literal('proxyForgotten'), name: ShortString }),
  Type.Object({ tag: Type.Literal('leaseTaken'), duty: ShortString, holder: ShortString }),
  ...SCALER_COMMANDS,
  Type.Object({ tag: Type.Literal('decided'), steps: Type.Array(StepShape, { minItems: 1 }) }),
]);
/** A validated command. */
export type Command = Static<typeof CommandShape>;

/**
 * An entry: its author, its cause and its command. With `fence` it is applied only while that is the current fencing
 * token of the scaler.
 */
export const EntryShape = Type.Object({
  id: ShortString,
  author: ShortString,
  wall: Type.Number(),
  cause: Type.String({ maxLength: 1024 }),
  fence: Type.Optional(NonNegativeInteger),
  act: CommandShape,
});
/** A validated entry. */
export type Entry = Static<typeof EntryShape>;

/** The entries of one slot. */
export const BatchShape = Type.Object({ id: ShortString, entries: Type.Array(EntryShape) });
/** A validated batch. */
export type Batch = Static<typeof BatchShape>;
