/**
 * Parses JSON without throwing. Below the transport layer this is the only place that catches a library's exception.
 */

/** Returns the value of a JSON text, or undefined if the text is not valid JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
