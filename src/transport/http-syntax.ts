/**
 * What the runtime's HTTP parser accepts and its writer refuses. A head that passes through a proxy is checked by these
 * rules where it is read, as the writer throws (RFC 9110, sections 5.1 and 15; RFC 9112, section 3.2).
 */
import type { RawHeaders } from './opaque-http.js';

/** Final statuses; those below are informational or none at all. */
const LEAST_FINAL_STATUS = 200;
const MOST_STATUS = 999;
const TOKEN = /^[\w!#$%&'*+.^`|~-]+$/;
const REQUEST_TARGET = /^[\x21-\xff]+$/;

/** Whether an answer with this status may be the last one to a request. */
export function isFinalStatus(status: number | undefined): boolean {
  return status !== undefined && status >= LEAST_FINAL_STATUS && status <= MOST_STATUS;
}

/** Whether each name of these fields is a token. */
export function hasTokenNames(headers: RawHeaders): boolean {
  for (let i = 0; i < headers.length; i += 2) if (!TOKEN.test(headers[i] as string)) return false;
  return true;
}

/** Whether a request with this target can be written. */
export function isRequestTarget(target: string): boolean {
  return REQUEST_TARGET.test(target);
}
