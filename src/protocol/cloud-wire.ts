import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import { readerOf } from './read-shape.js';

const Str = Type.String({ minLength: 1, maxLength: 256 });

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
export type Machine = Static<typeof MachineShape>;

export const OrderShape = Type.Object({
  key: Str,
  owner: Str,
  model: Str,
  zone: Str,
  kind: Type.Union([Type.Literal('spot'), Type.Literal('onDemand')]),
  accelerator: Type.String(),
});
export type CloudOrder = Static<typeof OrderShape>;

export const readOrder = readerOf(OrderShape);
export const readMachine = readerOf(Type.Object({ machine: MachineShape }));
export const readMachines = readerOf(Type.Object({ machines: Type.Array(MachineShape) }));
export const readNoCapacity = readerOf(Type.Object({ error: Type.Literal('noCapacity') }));
export const readPrices = readerOf(
  Type.Object({
    prices: Type.Array(
      Type.Object({ zone: Str, spot: Type.Number({ minimum: 0 }), onDemand: Type.Number({ minimum: 0 }) }),
    ),
  }),
);

export const MACHINES_PATH = '/v1/machines';
export const PRICES_PATH = '/v1/prices';
