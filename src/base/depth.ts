/**
 * Depth of parsed documents. Called where a body of unknown caller is read, before
 * anything recursive looks at it, so that a deeply nested one cannot exhaust the stack.
 */

/** Whether a value nests objects or arrays more than `most` levels deep. Iterative, so safe for any depth. */
export function deeperThan(value: unknown, most: number): boolean {
  let level: unknown[] = [value];
  for (let depth = 0; level.length > 0; depth += 1) {
    if (depth > most) return true;
    const next: unknown[] = [];
    for (const element of level)
      if (typeof element === 'object' && element !== null) for (const inner of Object.values(element)) next.push(inner);
    level = next;
  }
  return false;
}
