/** Type guard for JSON objects, used wherever a parsed document is read. */

/** Returns whether a value is a JSON object: neither null, nor an array, nor a primitive. */
export function isJsonObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
