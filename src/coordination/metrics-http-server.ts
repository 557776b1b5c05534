/** The route of the metrics. */
import type { HttpReply, Route } from '../transport/http.js';
import type { Meters } from '../transport/meters.js';

/** `GET /metrics` in Prometheus' text format; `fill` sets the metrics first. */
export function metricsRoute(meters: Meters, fill: (meters: Meters) => void): Route {
  async function tell(): Promise<HttpReply> {
    fill(meters);
    return { status: 200, headers: { 'content-type': 'text/plain; version=0.0.4' }, text: await meters.text() };
  }
  return { method: 'GET', path: '/metrics', handle: tell };
}
