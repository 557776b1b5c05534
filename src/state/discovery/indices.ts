/**
 * Numbers for names, given in the order of first use and never taken back, so that tables can
 * be arrays.
 */

/** `of` gives a new name a number; `find` does not. */
export interface Indices {
  indexOf(name: string): number;
  find(name: string): number | null;
  nameOf(index: number): string;
  size(): number;
}

class GrowingIndices implements Indices {
  private readonly byName = new Map<string, number>();
  private readonly names: string[] = [];

  indexOf(name: string): number {
    const have = this.byName.get(name);
    if (have !== undefined) return have;
    this.byName.set(name, this.names.length);
    this.names.push(name);
    return this.names.length - 1;
  }

  find(name: string): number | null {
    return this.byName.get(name) ?? null;
  }

  nameOf(index: number): string {
    return this.names[index] ?? '';
  }

  size(): number {
    return this.names.length;
  }
}

/** No names yet. */
export function createIndices(): Indices {
  return new GrowingIndices();
}
