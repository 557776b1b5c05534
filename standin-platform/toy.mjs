import { readFileSync, writeFileSync, existsSync } from 'node:fs';
import { createServer, request } from 'node:http';
import { join } from 'node:path';
import { parse } from 'smol-toml';

// A minimal product for the stand-in's own tests: one core node holds the state, the edges forward requests. The
// arguments after the role name the faults that it shows.
const [, , role, ...faults] = process.argv;
function hasFault(name) {
  return faults.includes(name);
}
const settings = parse(readFileSync(process.env.MILLFIELD_CONFIG, 'utf8'));

function listen(address, onRequest) {
  const [host, port] = address.split(':');
  createServer(onRequest).listen(Number(port), host);
}
function get(address, path, onResponse) {
  const [host, port] = address.split(':');
  const req = request({ host, port, path, agent: false }, (res) => {
    let text = '';
    res.on('data', (b) => (text += b));
    res.on('end', () => onResponse(res.statusCode, text));
  });
  req.on('error', () => onResponse(0, ''));
  req.setTimeout(500, () => req.destroy());
  req.end();
}

function core() {
  const isLeader = settings.seeds[0] === settings.bindAddrs.control;
  const file = join(settings.dataDir, 'held.json');
  const state = existsSync(file) ? JSON.parse(readFileSync(file, 'utf8')) : { config: null, away: [] };
  function onControlRequest(req, res) {
    if (!isLeader) return res.writeHead(307, { Location: `http://${settings.seeds[0]}${req.url}` }).end();
    let body = '';
    req.on('data', (b) => (body += b));
    req.on('end', () => {
      const version = state.config?.generation ?? 0;
      if (req.url === '/all') return res.end(JSON.stringify(state));
      if (req.url === '/millfield/config/read') return res.end(JSON.stringify(state.config));
      if (req.url === '/millfield/config/replace') {
        if (Number(req.headers['x-millfield-base-version']) !== version) return res.writeHead(412).end();
        if (!hasFault('config') || state.config === null) state.config = JSON.parse(body);
      } else {
        const [, zone, verb] = /^\/millfield\/evacuation\/(.+)\/(.+)$/.exec(req.url) ?? [];
        state.away = state.away.filter((z) => z !== zone);
        if (verb === 'begin') state.away.push(zone);
      }
      writeFileSync(file, JSON.stringify(state));
      res.end();
    });
  }
  function onDirectoryRequest(req, res) {
    const edges = Object.keys(settings.zones).map(
      (_z, i) => `${settings.ip.replace(/\.\d+\.\d+$/, '')}.${i + 1}.1:8161`,
    );
    res.end(JSON.stringify({ addresses: edges, ttlS: 2 }));
  }
  listen(settings.bindAddrs.control, onControlRequest);
  listen(settings.bindAddrs.directory, onDirectoryRequest);
}

function edge() {
  let state = { config: null, away: [] };
  let workers = [];
  let forwardCount = 0;
  function poll() {
    get(settings.seeds[0], '/all', (status, text) => {
      if (status === 200 && !(hasFault('news') && state.config)) state = JSON.parse(text);
    });
    get(settings.platformApi.address, '/workers', (status, text) => {
      if (status === 200) workers = JSON.parse(text).members;
    });
  }
  setInterval(poll, 250);
  poll();
  function onFrontRequest(req, res) {
    const route = (state.config?.routeSet ?? []).find(
      (r) => r.authority === req.headers.host && req.url.startsWith(r.pathPrefix),
    );
    if (!route) return res.writeHead(404).end();
    const homes = hasFault('homes') ? [] : (route.homeRegions ?? []);
    function isCandidate(worker) {
      if (!hasFault('model') && worker.target !== route.target) return false;
      if (!hasFault('drain') && worker.phase !== 'serving') return false;
      if (!hasFault('evacuation') && state.away.includes(worker.zone)) return false;
      return homes.length === 0 || homes.includes(settings.zones[worker.zone]);
    }
    const candidates = workers.filter(isCandidate);
    const parts = [];
    req.on('data', (b) => parts.push(b));
    req.on('end', () => forward(true));
    function forward(isFirst) {
      const worker = candidates[(forwardCount += 1) % candidates.length];
      if (!worker) return res.writeHead(503, { 'Retry-After': '0.2' }).end();
      const [host, port] = worker.address.split(':');
      const headers = { ...req.headers, 'x-millfield-expect-worker': worker.id };
      delete headers['content-length'];
      delete headers['transfer-encoding'];
      const upstream = request({ host, port, method: req.method, path: req.url, headers, agent: false }, onResponse);
      function onResponse(response) {
        const received = [];
        const hidesLength = response.headers['content-length'] !== undefined && hasFault('end');
        const responseHeaders = { ...response.headers };
        if (hidesLength) delete responseHeaders['content-length'];
        delete responseHeaders.connection;
        res.writeHead(response.statusCode, responseHeaders);
        response.on('data', (b) => (received.push(b), res.write(b)));
        response.on('end', () => res.end());
        response.on('error', () => (hasFault('end') ? res.end() : res.destroy()));
      }
      function onError() {
        if (res.headersSent) return;
        if (isFirst && hasFault('retry')) forward(false);
        else if (hasFault('promise')) res.writeHead(503).end();
        else res.destroy();
      }
      upstream.on('error', onError);
      upstream.end(hasFault('body') && forwardCount % 20 === 0 ? 'changed' : Buffer.concat(parts));
    }
  }
  listen(settings.bindAddrs.front, onFrontRequest);
  listen(settings.bindAddrs.readiness, (_req, res) => res.writeHead(state.config ? 200 : 503).end());
}

if (role === 'core') core();
else edge();
