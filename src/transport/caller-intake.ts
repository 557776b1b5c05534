/** What a process takes in from all its callers together: a small part of its machine, which ordinary callers never fill. */
import type { Clock } from './clock.js';
import { createClock } from './clock.js';
import type { Log } from './log.js';
import type { BodyReading } from './body-pace.js';
import { Lingering } from './lingering.js';
import { createMemoryBudget } from './memory-budget.js';
import type { MemoryBudget } from './memory-budget.js';
import { createQuietLog } from './quiet-log.js';
import { ReadTurns } from './read-turns.js';
import { TinyPieceSlots } from './tiny-piece-slots.js';

/** Memory in MB and file descriptors that a process may use. */
export type MachineShare = { readonly memoryMegabytes: number; readonly maxDescriptors: number };

/** What the servers of a process share. `maxConnections` holds for each address. */
export type CallerIntake = {
  readonly budget: MemoryBudget;
  readonly maxConnections: number;
  readonly reading: BodyReading;
  readonly lingering: Lingering;
  readonly log: Log;
};

/** What a process may use if its settings do not say. */
export const DEFAULT_MACHINE: MachineShare = { memoryMegabytes: 350, maxDescriptors: 4_096 };

const BYTES_PER_MB = 1_048_576;
/** The rest is for the program, its heap, and buffers that are free but not collected yet. */
const HELD_SHARE = 0.15;
/** Large requests may use three quarters of the budget, and one of them has to fit. */
const MIN_BODIES_HELD = 2;
/** Descriptors that are no connections. */
const RESERVED_FDS = 200;
/** The rest is for connections to workers and other nodes. */
const CONNECTION_SHARE = 0.4;
const MIN_CONNECTIONS = 16;
/** The usual receive buffer of a connection that is not read, or not faster than it is sent. */
const UNREAD_BYTES_PER_CONNECTION = 131_072;
const UNREAD_SHARE = 0.3;

/** Returns the bytes that a process holds at most for callers whose bodies have up to `largestBodyBytes`. */
export function maxHeldBytes({ memoryMegabytes }: MachineShare, largestBodyBytes: number): number {
  return Math.max(memoryMegabytes * BYTES_PER_MB * HELD_SHARE, minHeldBytes(largestBodyBytes));
}

/** Returns the least budget in which a body of `largestBodyBytes` is taken. */
export function minHeldBytes(largestBodyBytes: number): number {
  return MIN_BODIES_HELD * largestBodyBytes;
}

/** Returns the most connections of callers at one of `addresses` addresses. */
export function maxCallerConnections({ memoryMegabytes, maxDescriptors }: MachineShare, addresses = 1): number {
  const byDescriptors = (maxDescriptors - RESERVED_FDS) * CONNECTION_SHARE;
  const byMemory = (memoryMegabytes * BYTES_PER_MB * UNREAD_SHARE) / UNREAD_BYTES_PER_CONNECTION / addresses;
  return Math.max(Math.floor(Math.min(byDescriptors, byMemory)), MIN_CONNECTIONS);
}

/** Returns the number of connections to workers above which idle ones are closed. */
export function maxWorkerConnections({ maxDescriptors }: MachineShare): number {
  return Math.max(Math.floor((maxDescriptors - RESERVED_FDS) * CONNECTION_SHARE), MIN_CONNECTIONS);
}

/** Creates what the servers of a process share. */
export function createIntakeOf(budget: MemoryBudget, maxConnections: number, clock: Clock, log: Log): CallerIntake {
  const turns = new ReadTurns(clock);
  const reading = { turns, tinyPieces: new TinyPieceSlots(clock) };
  return { budget, maxConnections, reading, lingering: new Lingering(clock, turns), log };
}

/** Creates the intake of a process that takes bodies of up to `largestBodyBytes`, at `addresses` addresses. */
export function createCallerIntake(
  machine: MachineShare,
  largestBodyBytes: number,
  clock: Clock,
  log: Log,
  addresses = 1,
): CallerIntake {
  const budget = createMemoryBudget(maxHeldBytes(machine, largestBodyBytes), clock, log);
  return createIntakeOf(budget, maxCallerConnections(machine, addresses), clock, log);
}

/** Creates the intake of a process on a machine of the default size, without a log. */
export function createDefaultIntake(): CallerIntake {
  return createCallerIntake(DEFAULT_MACHINE, 0, createClock(), createQuietLog().component('intake'));
}
