/**
 * Maps names to consecutive integers, assigned in the order of first use and never reused, so that tables can be
 * arrays.
 */

/** `indexOf` assigns an index to an unknown name; `find` returns null for it. */
export interface Indices {
  indexOf(name: string): number;
  find(name: string): number | null;
  nameOf(index: number): string;
  size(): number;
}

class AppendOnlyIndices implements Indices {
  private readonly byName = new Map<string, number>();
  private readonly names: string[] = [];

  indexOf(name: string): number {
    const existing = this.byName.get(name);
    if (existing !== undefined) return existing;
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

/** Creates an empty mapping. */
export function createIndices(): Indices {
  return new AppendOnlyIndices();
}
