/**
 * Numbers for names, given in the order of first use and never taken back, so that tables can
 * be arrays.
 */

/** `of` gives a new name a number; `find` does not. */
export type Indices = {
  readonly of: (name: string) => number;
  readonly find: (name: string) => number | null;
  readonly nameOf: (ix: number) => string;
  readonly size: () => number;
};

/** No names yet. */
export function createIndices(): Indices {
  const byName = new Map<string, number>();
  const names: string[] = [];
  function of(name: string): number {
    const have = byName.get(name);
    if (have !== undefined) return have;
    byName.set(name, names.length);
    names.push(name);
    return names.length - 1;
  }
  function find(name: string): number | null {
    return byName.get(name) ?? null;
  }
  function nameOf(ix: number): string {
    return names[ix] ?? '';
  }
  function size(): number {
    return names.length;
  }
  return { of, find, nameOf, size };
}
