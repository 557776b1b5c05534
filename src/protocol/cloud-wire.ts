/**
 * The HTTP interface of the cloud that rents out machines: orders, machines and prices. Used by the scaler's client and
 * by the cloud's stand-in. The key of an order makes it safe to retry: the same key never rents a second machine.
 */

import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import { readerOf } from './read-shape.js';

const ShortString = Type.String({ minLength: 1, maxLength: 256 });

/** A rented machine as listed by the cloud. */
export const MachineShape = Type.Object({
  id: ShortString,
  key: ShortString,
  zone: ShortString,
  kind: Type.Union([Type.Literal('spot'), Type.Literal('onDemand')]),
  model: ShortString,
  state: Type.Union([
    Type.Literal('starting'),
    Type.Literal('running'),
    Type.Literal('reclaiming'),
    Type.Literal('gone'),
  ]),
});
/** A validated machine. */
export type Machine = Static<typeof MachineShape>;

/** An order for one machine. */
export const OrderShape = Type.Object({
  key: ShortString,
  owner: ShortString,
  model: ShortString,
  zone: ShortString,
  kind: Type.Union([Type.Literal('spot'), Type.Literal('onDemand')]),
  accelerator: Type.String(),
});
/** A validated order. */
export type CloudOrder = Static<typeof OrderShape>;

/** Validates an order. */
export const readOrder = readerOf(OrderShape);
/** Validates the response to an order. */
export const readMachine = readerOf(Type.Object({ machine: MachineShape }));
/** Validates the list of an owner's machines. */
export const readMachines = readerOf(Type.Object({ machines: Type.Array(MachineShape) }));
/** Validates the rejection of an order because the zone has no capacity left. */
export const readNoCapacity = readerOf(Type.Object({ error: Type.Literal('noCapacity') }));
/** Validates the list of prices by zone. */
export const readPrices = readerOf(
  Type.Object({
    prices: Type.Array(
      Type.Object({ zone: ShortString, spot: Type.Number({ minimum: 0 }), onDemand: Type.Number({ minimum: 0 }) }),
    ),
  }),
);

/** Path at which machines are ordered, listed and returned. */
export const MACHINES_PATH = '/v1/machines';
/** Path at which prices are read. */
export const PRICES_PATH = '/v1/prices';
