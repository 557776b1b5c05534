/**
 * The commands of a model history: what the environment does to a group of
 * controllers, step by step. A history is plain data, so that it can be drawn,
 * shrunk, printed and replayed.
 *
 * Indices such as `node` are taken modulo the number of controllers present when
 * the step runs, so that they stay valid in a shrunk history.
 */

/** Selects a controller by its index among those that are not retired. */
type AtNode = { readonly node: number };

/**
 * What the environment does to the group in one step, as `applyCommand` carries it out. Calls and stops that a command
 * starts may still be in progress during later steps.
 */
export type ModelCommand =
  /** Proposes an ordinary ledger entry, padded with the given number of bytes. */
  | ({ readonly kind: 'propose'; readonly bytes: number } & AtNode)
  /** Sends a new operator change based on the newest configuration number in force, or on an older one. */
  | ({ readonly kind: 'change'; readonly onOlder: boolean } & AtNode)
  /** Resends an earlier operator change with the same contents and digest. */
  | ({ readonly kind: 'resend'; readonly change: number } & AtNode)
  /** A linearizable read, which first confirms the newest slot with a majority. */
  | ({ readonly kind: 'read' } & AtNode)
  /** Kills the process without a shutdown; what it wrote stays on the disk. */
  | ({ readonly kind: 'kill' } & AtNode)
  /** Power is lost at the n-th write, sync or file replacement from now on; 0 means immediately. */
  | ({ readonly kind: 'powerLoss'; readonly atWrite: number } & AtNode)
  /** All controllers lose power at the same time. */
  | { readonly kind: 'powerLossOfAll' }
  /** The machine loses power and its disk, if the group tolerates this loss. */
  | ({ readonly kind: 'diskLoss' } & AtNode)
  /** Starts all stopped controllers. */
  | { readonly kind: 'startAll' }
  /** Starts one controller if it is stopped. */
  | ({ readonly kind: 'start' } & AtNode)
  | ({ readonly kind: 'freeze' } & AtNode)
  | { readonly kind: 'thawAll' }
  /** The network drops all traffic from one controller to another, or in both directions. */
  | { readonly kind: 'cut'; readonly from: number; readonly to: number; readonly bothWays: boolean }
  /** Partitions one controller from all others, in both directions or only for outgoing traffic. */
  | ({ readonly kind: 'isolate'; readonly bothWays: boolean } & AtNode)
  | { readonly kind: 'heal' }
  /** Fractions of frames that are lost, duplicated, delayed or reordered. */
  | {
      readonly kind: 'disturb';
      readonly lost: number;
      readonly twice: number;
      readonly slow: number;
      readonly overtake: number;
    }
  /** Starts a new machine, which joins the group. */
  | { readonly kind: 'join' }
  /** Stops a controller for good, if the group tolerates this loss. */
  | ({ readonly kind: 'leave' } & AtNode)
  /** A machine is permanently lost, if the group tolerates this; a new machine starts later. */
  | ({ readonly kind: 'replaceLost'; readonly afterMs: number } & AtNode)
  /** A new machine joins, and the old one is stopped some time later. */
  | ({ readonly kind: 'replacePlanned'; readonly afterMs: number } & AtNode);

/** A command and the simulated time that passes after it. */
export type ModelStep = { readonly command: ModelCommand; readonly waitMs: number };

/** Input of `runHistory`: the group, and the steps that run after its bootstrap until a rule is violated. */
export type ModelHistory = {
  /** Seed of delays, ids, and the loss of unsynced writes and of frames. */
  readonly worldSeed: number;
  /** Number of controllers that bootstrap the ledger or join it at the start: 3 to 5. */
  readonly controllers: number;
  /** Number of files in the log ring: 2 compacts at nearly every write, 3 every few slots. */
  readonly ringFiles: number;
  readonly steps: readonly ModelStep[];
};

/** Formats a history that violated a rule, with one line for each step. */
export function describeHistory(history: ModelHistory): string[] {
  const lines = [
    `world seed ${history.worldSeed}, ${history.controllers} controllers, ring of ${history.ringFiles} files`,
  ];
  for (const { command, waitMs } of history.steps) {
    const { kind, ...details } = command;
    lines.push(`${kind} ${JSON.stringify(details)}, then ${waitMs} ms`);
  }
  return lines;
}
