/** Formats thrown values for logs. */

/** Returns the stack of an error, or any other thrown value as text. */
export function describeError(error: unknown): string {
  return error instanceof Error ? (error.stack ?? error.message) : String(error);
}
