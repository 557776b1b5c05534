import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

export const REGIONS = 7;
export const ZONES_A_REGION = 2;
const TENANTS = 870;
const MODELS = 12;

function zonesOf() {
  const out = [];
  for (let z = 0; z < ZONES_A_REGION; z += 1)
    for (let r = 1; r <= REGIONS; r += 1) out.push({ zone: `r${r}-${'ab'[z]}`, region: `r${r}` });
  return out;
}

function configurationOf(zones, workers, tenants) {
  const models = {};
  const target = Math.max(1, Math.floor((workers * 0.9) / MODELS));
  for (let i = 1; i <= MODELS; i += 1) models[`model-${i}`] = { minTarget: target, maxTarget: target + 2 };
  const mappings = {};
  for (let i = 1; i <= tenants; i += 1)
    mappings[`tenant-${i}`] = { model: `model-${1 + (i % MODELS)}`, kind: `kind-${i % 7}` };
  const zoneTable = Object.fromEntries(zones.map((z) => [z.zone, { region: z.region }]));
  return { zones: zoneTable, deployment: { nExtra: 0 }, regions: { r1: { models } }, mappings };
}

export function planOf({ folder, nodes, workers, controllers, port, wholeProbes, tenants = TENANTS }) {
  mkdirSync(folder, { recursive: true });
  const zones = zonesOf();
  const places = {};
  let next = port;
  function address(role, at) {
    next += 1;
    const a = `127.0.0.1:${next}`;
    places[a] = { role, zone: at.zone, region: at.region };
    return a;
  }
  const outsideAt = { zone: 'outside', region: 'outside' };
  const platform = address('platform', outsideAt);
  const cloud = address('cloud', outsideAt);
  const heads = [];
  for (let i = 0; i < controllers; i += 1) {
    const at = zones[i % zones.length];
    heads.push({
      name: `controller-${i + 1}`,
      ...at,
      listen: address('controller', at),
      http: address('controller', at),
    });
  }
  const seeds = heads.map((h) => h.listen);
  const parts = zones.map((at) => ({ at, proxies: [] }));
  for (let i = 0; i < nodes; i += 1) {
    const { at, proxies } = parts[i % parts.length];
    proxies.push({
      name: `proxy-${at.zone}-${proxies.length + 1}`,
      ...at,
      listen: address('proxy', at),
      http: address('proxy', at),
      seeds,
      platform,
      cloud,
    });
  }
  const machines = [];
  for (let i = 0; i < workers; i += 1) {
    const at = zones[i % zones.length];
    machines.push({ id: `machine-${at.zone}-${i + 1}`, ...at, http: address('worker', at) });
  }
  const placesFile = join(folder, 'places.json');
  writeFileSync(placesFile, JSON.stringify(places));
  function tally(name) {
    return { file: join(folder, `${name}.tally.json`), places: placesFile };
  }
  function written(name, value) {
    const file = join(folder, `${name}.json`);
    writeFileSync(file, JSON.stringify(value));
    return file;
  }
  const prices = Object.fromEntries(zones.map((z, i) => [z.zone, { spot: 1 + i / 50, onDemand: 3 + i / 50 }]));
  const children = [];
  children.push({
    name: 'outside',
    role: 'outside',
    at: outsideAt,
    count: 1,
    tally: tally('outside').file,
    args: [
      'standin',
      'hollow',
      '--plan',
      written('outside', {
        tally: tally('outside'),
        wholeProbes,
        proxies: [],
        outside: { platform, cloud, prices, workers: machines },
      }),
    ],
  });
  for (const h of heads) {
    const settings = {
      ...h,
      seeds,
      platform,
      cloud,
      dataFolder: join(folder, h.name),
      logLevel: 'warn',
      lab: { zones: {}, delayMs: {}, tally: tally(h.name) },
    };
    children.push({
      name: h.name,
      role: 'controller',
      at: h,
      count: 1,
      tally: tally(h.name).file,
      args: ['controller', '--settings', written(h.name, settings)],
    });
  }
  const hollow = [];
  for (const p of parts) {
    if (p.proxies.length === 0) continue;
    const name = `proxies-${p.at.zone}`;
    hollow.push({
      name,
      role: 'proxy',
      at: p.at,
      count: p.proxies.length,
      tally: tally(name).file,
      args: ['standin', 'hollow', '--plan', written(name, { tally: tally(name), wholeProbes, proxies: p.proxies })],
    });
  }
  const ordered = Math.floor(0.97 * MODELS * Math.max(1, Math.floor((workers * 0.9) / MODELS)));
  return {
    folder,
    ordered,
    zones,
    heads,
    seeds,
    children,
    hollow,
    platform,
    cloud,
    configuration: configurationOf(zones, workers, tenants),
  };
}
