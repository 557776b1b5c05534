/** Tells JSON objects from the other values that parsing may give. Used wherever a document is read. */

/** Whether a value is a plain JSON object: neither null nor an array. */
export function isTable(u: unknown): u is Record<string, unknown> {
  return typeof u === 'object' && u !== null && !Array.isArray(u);
}
