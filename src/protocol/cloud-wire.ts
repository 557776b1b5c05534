/**
 * The HTTP interface to the cloud that rents machines: orders, machines, prices. Used by the
 * scaler's client and by the stand-in of the cloud. The key of an order names it: the
 * same key never rents a second machine.
 */

import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import { readerOf } from './read-shape.js';

const Str = Type.String({ minLength: 1, maxLength: 256 });

/** A rented machine, as the cloud lists it. */
export const MachineShape = Type.Object({
  id: Str,
  key: Str,
  zone: Str,
  kind: Type.Union([Type.Literal('spot'), Type.Literal('onDemand')]),
  model: Str,
  state: Type.Union([
    Type.Literal('starting'),
    Type.Literal('running'),
    Type.Literal('reclaiming'),
    Type.Literal('gone'),
  ]),
});
/** A checked machine. */
export type Machine = Static<typeof MachineShape>;

/** An order for one machine. */
export const OrderShape = Type.Object({
  key: Str,
  owner: Str,
  model: Str,
  zone: Str,
  kind: Type.Union([Type.Literal('spot'), Type.Literal('onDemand')]),
  accelerator: Type.String(),
});
/** A checked order. */
export type CloudOrder = Static<typeof OrderShape>;

/** Checks an order. */
export const readOrder = readerOf(OrderShape);
/** Checks the answer to an order. */
export const readMachine = readerOf(Type.Object({ machine: MachineShape }));
/** Checks the list of an owner's machines. */
export const readMachines = readerOf(Type.Object({ machines: Type.Array(MachineShape) }));
/** Checks the refusal of an order for want of machines in the zone. */
export const readNoCapacity = readerOf(Type.Object({ error: Type.Literal('noCapacity') }));
/** Checks the list of prices by zone. */
export const readPrices = readerOf(
  Type.Object({
    prices: Type.Array(
      Type.Object({ zone: Str, spot: Type.Number({ minimum: 0 }), onDemand: Type.Number({ minimum: 0 }) }),
    ),
  }),
);

/** Where machines are ordered, listed and given back. */
export const MACHINES_PATH = '/v1/machines';
/** Where prices are told. */
export const PRICES_PATH = '/v1/prices';
