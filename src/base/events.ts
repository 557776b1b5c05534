/**
 * A typed event emitter, which lets a module publish events without knowing its listeners. Handlers run synchronously,
 * in the order in which they were added.
 */

/** Maps the name of each event to the type of its payload. */
export type EventMap = Readonly<Record<string, unknown>>;

/** Subscribes to events and emits them. There is no unsubscribe: an emitter lives as long as its listeners. */
export type Events<M extends EventMap> = {
  readonly on: <K extends keyof M>(name: K, callback: (event: M[K]) => void) => void;
  readonly emit: <K extends keyof M>(name: K, event: M[K]) => void;
};

/** Creates an emitter without listeners. */
export function createEvents<M extends EventMap>(): Events<M> {
  const callbacksByName = new Map<keyof M, ((event: never) => void)[]>();
  function on<K extends keyof M>(name: K, callback: (event: M[K]) => void): void {
    const callbacks = callbacksByName.get(name) ?? [];
    callbacks.push(callback);
    callbacksByName.set(name, callbacks);
  }
  function emit<K extends keyof M>(name: K, event: M[K]): void {
    for (const callback of callbacksByName.get(name) ?? []) (callback as (event: M[K]) => void)(event);
  }
  return { on, emit };
}
