/** Deep equality of JSON values, regardless of the order of their keys. */
import { isJsonObject } from '../../base/is-json-object.js';

/**
 * Returns whether two values are equal as JSON; the order of array elements matters. A key with the value undefined
 * differs from a missing key, although `JSON.stringify` omits it.
 */
export function isEqualJson(left: unknown, right: unknown): boolean {
  if (Object.is(left, right)) return true;
  if (Array.isArray(left) && Array.isArray(right)) {
    if (left.length !== right.length) return false;
    for (let i = 0; i < left.length; i += 1) if (!isEqualJson(left[i], right[i])) return false;
    return true;
  }
  if (!isJsonObject(left) || !isJsonObject(right) || Array.isArray(left) || Array.isArray(right)) return false;
  const keys = Object.keys(left);
  if (keys.length !== Object.keys(right).length) return false;
  for (const key of keys) if (!Object.hasOwn(right, key) || !isEqualJson(left[key], right[key])) return false;
  return true;
}
