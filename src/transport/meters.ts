/**
 * Metrics in the Prometheus text format, implemented with `prom-client`. Values are set when the metrics are
 * read, from counters that the measured components keep.
 */

import { Counter, Gauge, Registry } from 'prom-client';

/**
 * `set` sets the value of a gauge and `count` the total of a counter. `text` renders all metrics and resets the gauges,
 * so that label values that are not set again are no longer reported.
 */
export interface Meters {
  set(name: string, help: string, value: number, labels?: Readonly<Record<string, string>>): void;
  count(name: string, help: string, total: number, labels?: Readonly<Record<string, string>>): void;
  text(): Promise<string>;
}

type Labels = Readonly<Record<string, string>>;

class PrometheusMeters implements Meters {
  private readonly registry = new Registry();
  private readonly gauges = new Map<string, Gauge>();
  private readonly counters = new Map<string, Counter>();

  set(name: string, help: string, value: number, labels: Labels = {}): void {
    let gauge = this.gauges.get(name);
    if (!gauge) {
      gauge = new Gauge({ name, help, labelNames: Object.keys(labels), registers: [this.registry] });
      this.gauges.set(name, gauge);
    }
    gauge.set({ ...labels }, value);
  }

  count(name: string, help: string, total: number, labels: Labels = {}): void {
    let counter = this.counters.get(name);
    if (!counter) {
      counter = new Counter({ name, help, labelNames: Object.keys(labels), registers: [this.registry] });
      this.counters.set(name, counter);
    }
    counter.remove({ ...labels });
    counter.inc({ ...labels }, total);
  }

  async text(): Promise<string> {
    const rendered = await this.registry.metrics();
    for (const gauge of this.gauges.values()) gauge.reset();
    return rendered;
  }
}

/** Creates an empty registry. */
export function createMeters(): Meters {
  return new PrometheusMeters();
}
