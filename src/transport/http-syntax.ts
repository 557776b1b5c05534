/**
 * Checks for message heads that the runtime's HTTP parser accepts but its writer rejects. A proxy checks a head that it
 * forwards as soon as it is read, because the writer throws (RFC 9110, sections 5.1 and 15; RFC 9112, section 3.2).
 */
import type { RawHeaders } from './opaque-http.js';

/** Lowest final status code; those below are informational or invalid. */
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 999;
const TOKEN = /^[\w!#$%&'*+.^`|~-]+$/;
const REQUEST_TARGET = /^[\x21-\xff]+$/;

/** Whether a response with this status may be the final one to a request. */
export function isFinalStatus(status: number | undefined): boolean {
  return status !== undefined && status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
}

/** Whether the name of each header field is a token. */
export function hasTokenNames(headers: RawHeaders): boolean {
  for (let i = 0; i < headers.length; i += 2) if (!TOKEN.test(headers[i] as string)) return false;
  return true;
}

/** Whether the runtime can write a request with this target. */
export function isRequestTarget(target: string): boolean {
  return REQUEST_TARGET.test(target);
}
