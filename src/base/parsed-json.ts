/** The one place below the transport where an exception of a library is caught: JSON text becomes a value or nothing. */

/** The value of a JSON text, or undefined if the text is not JSON. */
export function parsedJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
