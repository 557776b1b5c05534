/** Text of anything that may be thrown, for logs. */

/** The stack of an error, or whatever else was thrown as text. */
export function describeError(error: unknown): string {
  return error instanceof Error ? (error.stack ?? error.message) : String(error);
}
