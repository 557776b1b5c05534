/**
 * Metrics in Prometheus' text format, on `prom-client`. Values are set when the metrics are
 * read, from counters that their owners keep.
 */

import { Counter, Gauge, Registry } from 'prom-client';

/** `set` gives a gauge its value and `count` a counter its total; `text` renders all, and forgets gauges not set again. */
export type Meters = {
  readonly set: (name: string, help: string, value: number, labels?: Readonly<Record<string, string>>) => void;
  readonly count: (name: string, help: string, total: number, labels?: Readonly<Record<string, string>>) => void;
  readonly text: () => Promise<string>;
};

type Labels = Readonly<Record<string, string>>;

/** An empty registry. */
export function createMeters(): Meters {
  const registry = new Registry();
  const gauges = new Map<string, Gauge>();
  const counters = new Map<string, Counter>();

  function set(name: string, help: string, value: number, labels: Labels = {}): void {
    let gauge = gauges.get(name);
    if (!gauge) {
      gauge = new Gauge({ name, help, labelNames: Object.keys(labels), registers: [registry] });
      gauges.set(name, gauge);
    }
    gauge.set({ ...labels }, value);
  }
  function count(name: string, help: string, total: number, labels: Labels = {}): void {
    let counter = counters.get(name);
    if (!counter) {
      counter = new Counter({ name, help, labelNames: Object.keys(labels), registers: [registry] });
      counters.set(name, counter);
    }
    counter.remove({ ...labels });
    counter.inc({ ...labels }, total);
  }
  async function text(): Promise<string> {
    const out = await registry.metrics();
    for (const gauge of gauges.values()) gauge.reset();
    return out;
  }
  return { set, count, text };
}
