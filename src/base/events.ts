/**
 * A typed emitter of events. Modules publish what happened to them through it and do not
 * know who listens; handlers run synchronously, in the order in which they were added.
 */

/** Names of events and the type of what each carries. */
export type EventMap = Readonly<Record<string, unknown>>;

/** Subscribing to events and sending them; there is no way to unsubscribe, as emitters live as long as their listeners. */
export type Events<M extends EventMap> = {
  readonly on: <K extends keyof M>(name: K, callback: (event: M[K]) => void) => void;
  readonly emit: <K extends keyof M>(name: K, event: M[K]) => void;
};

/** A new emitter without listeners. */
export function createEvents<M extends EventMap>(): Events<M> {
  const subs = new Map<keyof M, ((event: never) => void)[]>();
  function on<K extends keyof M>(name: K, callback: (event: M[K]) => void): void {
    const list = subs.get(name) ?? [];
    list.push(callback);
    subs.set(name, list);
  }
  function emit<K extends keyof M>(name: K, event: M[K]): void {
    for (const callback of subs.get(name) ?? []) (callback as (event: M[K]) => void)(event);
  }
  return { on, emit };
}
