/** Sorts holders of memory into classes of about the same size, so that a large one is found without a look at all of them. */

/** What is sorted. */
export interface SizedHold {
  readonly bytes: number;
  /** Monotonic time in milliseconds. */
  readonly lastProgressAt: number;
}

/** The sizes of one class differ by less than a fifth. */
const CLASSES_PER_OCTAVE = 4;

function classOf(bytes: number): number {
  return Math.floor(CLASSES_PER_OCTAVE * Math.log2(bytes));
}

/** Holders by size class; within a class, those without progress for the longest time come first. */
export class HoldsBySize<T extends SizedHold> {
  private readonly classes: (Set<T> | undefined)[] = [];
  private readonly classOfHold = new Map<T, number>();

  /** Must be called when a holder has grown, shrunk or made progress. One of no bytes is not kept. */
  put(hold: T): void {
    this.delete(hold);
    if (hold.bytes <= 0) return;
    const sizeClass = classOf(hold.bytes);
    (this.classes[sizeClass] ??= new Set()).add(hold);
    this.classOfHold.set(hold, sizeClass);
  }

  delete(hold: T): void {
    const sizeClass = this.classOfHold.get(hold);
    if (sizeClass === undefined) return;
    this.classOfHold.delete(hold);
    this.classes[sizeClass]?.delete(hold);
  }

  /**
   * Returns one of the largest of those without progress since `stalledSince`, else one of the largest that hold more than
   * `bytes`; never `except`.
   */
  find(stalledSince: number, bytes: number, except: T): T | null {
    let largest: T | null = null;
    for (let sizeClass = this.classes.length - 1; sizeClass >= 0; sizeClass -= 1) {
      const candidate = firstOther(this.classes[sizeClass], except);
      if (!candidate) continue;
      if (candidate.lastProgressAt <= stalledSince) return candidate;
      if (candidate.bytes > bytes) largest ??= candidate;
    }
    return largest;
  }
}

function firstOther<T>(holds: Iterable<T> | undefined, except: T): T | null {
  for (const hold of holds ?? []) if (hold !== except) return hold;
  return null;
}
