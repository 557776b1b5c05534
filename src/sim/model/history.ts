/**
 * The vocabulary of a model history: what the environment does to a group of
 * controllers, step by step. A history is plain data, so that it can be
 * generated, shrunk, printed and run again.
 *
 * Indices such as `node` count modulo the controllers that are there when the
 * step is taken, so that a shrunk history stays meaningful.
 */

/** A controller, by its place among those that have not been retired. */
type AtNode = { readonly node: number };

export type ModelCommand =
  /** An ordinary entry of the ledger, padded by some bytes. */
  | ({ readonly kind: 'propose'; readonly bytes: number } & AtNode)
  /** A new operator change on the newest confirmed number, or on an older one. */
  | ({ readonly kind: 'change'; readonly onOlder: boolean } & AtNode)
  /** An earlier operator change once more, with the same contents and digest. */
  | ({ readonly kind: 'resend'; readonly change: number } & AtNode)
  /** A read that settles with a majority first. */
  | ({ readonly kind: 'read' } & AtNode)
  /** The process ends without a word; what it wrote stays. */
  | ({ readonly kind: 'kill' } & AtNode)
  /** Power is lost at the given write, sync or replacement from now on; 0 is at once. */
  | ({ readonly kind: 'powerLoss'; readonly atWrite: number } & AtNode)
  /** All controllers lose power at once. */
  | { readonly kind: 'powerLossOfAll' }
  /** The machine loses power and its disk, while the group bears it. */
  | ({ readonly kind: 'diskLoss' } & AtNode)
  /** Every stopped controller is started. */
  | { readonly kind: 'startAll' }
  /** One stopped controller is started. */
  | ({ readonly kind: 'start' } & AtNode)
  | ({ readonly kind: 'freeze' } & AtNode)
  | { readonly kind: 'thawAll' }
  /** The network loses all that goes from one to another, or both ways. */
  | { readonly kind: 'cut'; readonly from: number; readonly to: number; readonly bothWays: boolean }
  /** One controller is cut off from all others, both ways or only outwards. */
  | ({ readonly kind: 'isolate'; readonly bothWays: boolean } & AtNode)
  | { readonly kind: 'heal' }
  /** Shares of frames that are lost, doubled, delayed, or overtake others. */
  | {
      readonly kind: 'disturb';
      readonly lost: number;
      readonly twice: number;
      readonly slow: number;
      readonly overtake: number;
    }
  /** A new machine joins. */
  | { readonly kind: 'join' }
  /** A controller is told to end, for good, while the group bears it. */
  | ({ readonly kind: 'leave' } & AtNode)
  /** A machine is gone for good, while the group bears it; a new one comes later. */
  | ({ readonly kind: 'replaceLost'; readonly afterMs: number } & AtNode)
  /** A new machine joins, and the old one is told to end some time after. */
  | ({ readonly kind: 'replacePlanned'; readonly afterMs: number } & AtNode);

/** One command and the simulated time that passes after it. */
export type ModelStep = { readonly command: ModelCommand; readonly waitMs: number };

export type ModelHistory = {
  /** Seeds delays, ids, the fate of unsynced writes and of frames. */
  readonly worldSeed: number;
  /** How many controllers found the ledger or join it at the start: 3 to 5. */
  readonly controllers: number;
  /** Files of the ring: 2 compacts at nearly each write, 3 each few slots. */
  readonly ringFiles: number;
  readonly steps: readonly ModelStep[];
};

/** One line for each step, as it is printed for a history that failed. */
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
