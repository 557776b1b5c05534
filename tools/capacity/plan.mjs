import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

export const REGION_COUNT = 7;
export const ZONES_PER_REGION = 2;
const DEFAULT_TENANTS = 870;
const MODEL_COUNT = 12;

function listZones() {
  const out = [];
  for (let z = 0; z < ZONES_PER_REGION; z += 1)
    for (let r = 1; r <= REGION_COUNT; r += 1) out.push({ zone: `r${r}-${'ab'[z]}`, region: `r${r}` });
  return out;
}

function buildConfiguration(zones, workers, tenants) {
  const models = {};
  const target = Math.max(1, Math.floor((workers * 0.9) / MODEL_COUNT));
  for (let i = 1; i <= MODEL_COUNT; i += 1) models[`model-${i}`] = { minTarget: target, maxTarget: target + 2 };
  const mappings = {};
  for (let i = 1; i <= tenants; i += 1)
    mappings[`tenant-${i}`] = { model: `model-${1 + (i % MODEL_COUNT)}`, kind: `kind-${i % 7}` };
  const zoneTable = Object.fromEntries(zones.map((z) => [z.zone, { region: z.region }]));
  return { zones: zoneTable, deployment: { nExtra: 0 }, regions: { r1: { models } }, mappings };
}

/** Assigns addresses to all nodes of a run, writes the files that its processes read, returns their command lines. */
export function createPlan({ folder, nodes, workers, controllers, port, wholeProbes, tenants = DEFAULT_TENANTS }) {
  mkdirSync(folder, { recursive: true });
  const zones = listZones();
  const locations = {};
  let nextPort = port;
  function allocateAddress(role, at) {
    nextPort += 1;
    const address = `127.0.0.1:${nextPort}`;
    locations[address] = { role, zone: at.zone, region: at.region };
    return address;
  }
  const outsideLocation = { zone: 'outside', region: 'outside' };
  const platform = allocateAddress('platform', outsideLocation);
  const cloud = allocateAddress('cloud', outsideLocation);
  const controllerNodes = [];
  for (let i = 0; i < controllers; i += 1) {
    const at = zones[i % zones.length];
    controllerNodes.push({
      name: `controller-${i + 1}`,
      ...at,
      listen: allocateAddress('controller', at),
      http: allocateAddress('controller', at),
    });
  }
  const seeds = controllerNodes.map((controller) => controller.listen);
  const proxiesByZone = zones.map((at) => ({ at, proxies: [] }));
  for (let i = 0; i < nodes; i += 1) {
    const { at, proxies } = proxiesByZone[i % proxiesByZone.length];
    proxies.push({
      name: `proxy-${at.zone}-${proxies.length + 1}`,
      ...at,
      listen: allocateAddress('proxy', at),
      http: allocateAddress('proxy', at),
      seeds,
      platform,
      cloud,
    });
  }
  const machines = [];
  for (let i = 0; i < workers; i += 1) {
    const at = zones[i % zones.length];
    machines.push({ id: `machine-${at.zone}-${i + 1}`, ...at, http: allocateAddress('worker', at) });
  }
  const locationsFile = join(folder, 'places.json');
  writeFileSync(locationsFile, JSON.stringify(locations));
  function tallyOptions(name) {
    return { file: join(folder, `${name}.tally.json`), places: locationsFile };
  }
  function writeJson(name, value) {
    const file = join(folder, `${name}.json`);
    writeFileSync(file, JSON.stringify(value));
    return file;
  }
  const prices = Object.fromEntries(zones.map((z, i) => [z.zone, { spot: 1 + i / 50, onDemand: 3 + i / 50 }]));
  const children = [];
  children.push({
    name: 'outside',
    role: 'outside',
    at: outsideLocation,
    count: 1,
    tally: tallyOptions('outside').file,
    args: [
      'standin',
      'hollow',
      '--plan',
      writeJson('outside', {
        tally: tallyOptions('outside'),
        wholeProbes,
        proxies: [],
        outside: { platform, cloud, prices, workers: machines },
      }),
    ],
  });
  for (const controller of controllerNodes) {
    const settings = {
      ...controller,
      seeds,
      platform,
      cloud,
      dataFolder: join(folder, controller.name),
      logLevel: 'warn',
      lab: { zones: {}, delayMs: {}, tally: tallyOptions(controller.name) },
    };
    children.push({
      name: controller.name,
      role: 'controller',
      at: controller,
      count: 1,
      tally: tallyOptions(controller.name).file,
      args: ['controller', '--settings', writeJson(controller.name, settings)],
    });
  }
  const hollow = [];
  for (const p of proxiesByZone) {
    if (p.proxies.length === 0) continue;
    const name = `proxies-${p.at.zone}`;
    hollow.push({
      name,
      role: 'proxy',
      at: p.at,
      count: p.proxies.length,
      tally: tallyOptions(name).file,
      args: [
        'standin',
        'hollow',
        '--plan',
        writeJson(name, { tally: tallyOptions(name), wholeProbes, proxies: p.proxies }),
      ],
    });
  }
  const expectedOrders = Math.floor(0.97 * MODEL_COUNT * Math.max(1, Math.floor((workers * 0.9) / MODEL_COUNT)));
  return {
    folder,
    expectedOrders,
    zones,
    controllerNodes,
    seeds,
    children,
    hollow,
    platform,
    cloud,
    configuration: buildConfiguration(zones, workers, tenants),
  };
}
