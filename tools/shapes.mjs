/** Two deployments on loopback for the tools: zones, delays between them, process counts, prices and models. */
export const SHAPES = {
  kutfo: {
    zones: { 'hu-1': 'hungary', 'at-1': 'austria', 'ro-1': 'romania' },
    delayMs: { 'hu-1|at-1': 9, 'hu-1|ro-1': 14, 'at-1|ro-1': 19 },
    proxies: { 'hu-1': 2, 'at-1': 2, 'ro-1': 2 },
    machines: { 'hu-1': 9, 'at-1': 6, 'ro-1': 6 },
    prices: { 'hu-1': [1, 3.2], 'at-1': [1.2, 3.6], 'ro-1': [0.9, 3.0] },
    fixed: { model: 'card-gateway', perZone: { 'hu-1': 1, 'at-1': 1, 'ro-1': 1 } },
    models: ['fraud-summary', 'driver-notes'],
    kind: 'card',
    homes: ['hungary', 'austria'],
    configuration: 'examples/kutfo.yaml',
  },
  telar: {
    zones: { 'bog-1': 'cundinamarca', 'med-1': 'antioquia', 'cal-1': 'valle' },
    delayMs: { 'bog-1|med-1': 5, 'bog-1|cal-1': 6, 'med-1|cal-1': 7 },
    proxies: { 'bog-1': 3, 'med-1': 2, 'cal-1': 2 },
    machines: { 'bog-1': 8, 'med-1': 6, 'cal-1': 6 },
    prices: { 'bog-1': [1, 3.1], 'med-1': [0.95, 3.0], 'cal-1': [1.05, 3.3] },
    fixed: { model: 'shop-front', perZone: { 'bog-1': 1, 'med-1': 1, 'cal-1': 1 } },
    models: ['listings', 'replies'],
    kind: 'shop',
    homes: null,
    configuration: 'examples/telar.yaml',
  },
};
