/** The HTTP route that serves the metrics. */
import type { HttpReply, Route } from '../transport/http.js';
import type { Meters } from '../transport/meters.js';

/** Creates the route `GET /metrics`, which responds in Prometheus text format after `setGauges` updated the gauges. */
export function metricsRoute(meters: Meters, setGauges: (meters: Meters) => void): Route {
  async function serveMetrics(): Promise<HttpReply> {
    setGauges(meters);
    return { status: 200, headers: { 'content-type': 'text/plain; version=0.0.4' }, text: await meters.text() };
  }
  return { method: 'GET', path: '/metrics', handle: serveMetrics };
}
