/** Tells JSON objects from the other values that parsing may give. Used wherever a document is read. */

/** Whether a value is a plain JSON object: neither null nor an array. */
export function isTable(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
