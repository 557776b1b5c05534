/**
 * Nesting depth of parsed documents. Checked on bodies from untrusted callers before any recursive function reads them,
 * so that a deeply nested body cannot exhaust the stack.
 */

/** Returns whether objects or arrays are nested more than `maxDepth` levels deep. Iterative, so any depth is safe. */
export function isDeeperThan(value: unknown, maxDepth: number): boolean {
  let level: unknown[] = [value];
  for (let depth = 0; level.length > 0; depth += 1) {
    if (depth > maxDepth) return true;
    const next: unknown[] = [];
    for (const element of level)
      if (typeof element === 'object' && element !== null) for (const inner of Object.values(element)) next.push(inner);
    level = next;
  }
  return false;
}
