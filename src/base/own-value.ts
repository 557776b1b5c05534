/**
 * Access to plain objects that are keyed by names from outside, such as routes, zones, workers and models. A name may be
 * that of a property of `Object.prototype`, so only own properties are read, and writes define own ones. Tables that
 * are not stored or sent are Maps; the lint rule `keyed-records` keeps other code from accessing such objects by key.
 */

/** Returns the own property `key` of `record`; undefined if it has none. */
export function ownValue<T>(record: Readonly<Record<string, T>> | null | undefined, key: string): T | undefined {
  return record && Object.hasOwn(record, key) ? record[key] : undefined;
}

/** Sets the own property `key` of `record`, whatever its name. */
export function setOwnValue<T>(record: Record<string, T>, key: string, value: T): void {
  Object.defineProperty(record, key, { value, writable: true, enumerable: true, configurable: true });
}
