import { readFileSync, writeFileSync, existsSync } from 'node:fs';
import { createServer, request } from 'node:http';
import { join } from 'node:path';
import { parse } from 'smol-toml';

// A toy system for the stand-in's own tests: one core node holds everything, edges relay. What it is told to be careless in, it gets wrong.
const [, , role, ...careless] = process.argv;
function isCareless(what) {
  return careless.includes(what);
}
const s = parse(readFileSync(process.env.MILLFIELD_CONFIG, 'utf8'));

function listen(address, answer) {
  const [host, port] = address.split(':');
  createServer(answer).listen(Number(port), host);
}
function get(address, path, got) {
  const [host, port] = address.split(':');
  const req = request({ host, port, path, agent: false }, (res) => {
    let text = '';
    res.on('data', (b) => (text += b));
    res.on('end', () => got(res.statusCode, text));
  });
  req.on('error', () => got(0, ''));
  req.setTimeout(500, () => req.destroy());
  req.end();
}

function core() {
  const lead = s.seeds[0] === s.bindAddrs.control;
  const file = join(s.dataDir, 'held.json');
  const held = existsSync(file) ? JSON.parse(readFileSync(file, 'utf8')) : { config: null, away: [] };
  function control(req, res) {
    if (!lead) return res.writeHead(307, { Location: `http://${s.seeds[0]}${req.url}` }).end();
    let body = '';
    req.on('data', (b) => (body += b));
    req.on('end', () => {
      const at = held.config?.generation ?? 0;
      if (req.url === '/all') return res.end(JSON.stringify(held));
      if (req.url === '/millfield/config/read') return res.end(JSON.stringify(held.config));
      if (req.url === '/millfield/config/replace') {
        if (Number(req.headers['x-millfield-base-version']) !== at) return res.writeHead(412).end();
        if (!isCareless('config') || held.config === null) held.config = JSON.parse(body);
      } else {
        const [, zone, verb] = /^\/millfield\/evacuation\/(.+)\/(.+)$/.exec(req.url) ?? [];
        held.away = held.away.filter((z) => z !== zone);
        if (verb === 'begin') held.away.push(zone);
      }
      writeFileSync(file, JSON.stringify(held));
      res.end();
    });
  }
  function directory(req, res) {
    const edges = Object.keys(s.zones).map((_z, i) => `${s.ip.replace(/\.\d+\.\d+$/, '')}.${i + 1}.1:8161`);
    res.end(JSON.stringify({ addresses: edges, ttlS: 2 }));
  }
  listen(s.bindAddrs.control, control);
  listen(s.bindAddrs.directory, directory);
}

function edge() {
  let held = { config: null, away: [] };
  let workers = [];
  let turn = 0;
  function poll() {
    get(s.seeds[0], '/all', (status, text) => {
      if (status === 200 && !(isCareless('news') && held.config)) held = JSON.parse(text);
    });
    get(s.platformApi.address, '/workers', (status, text) => {
      if (status === 200) workers = JSON.parse(text).members;
    });
  }
  setInterval(poll, 250);
  poll();
  function front(req, res) {
    const route = (held.config?.routeSet ?? []).find(
      (r) => r.authority === req.headers.host && req.url.startsWith(r.pathPrefix),
    );
    if (!route) return res.writeHead(404).end();
    const homes = isCareless('homes') ? [] : (route.homeRegions ?? []);
    function fit(w) {
      if (!isCareless('model') && w.target !== route.target) return false;
      if (!isCareless('drain') && w.phase !== 'serving') return false;
      if (!isCareless('evacuation') && held.away.includes(w.zone)) return false;
      return homes.length === 0 || homes.includes(s.zones[w.zone]);
    }
    const fits = workers.filter(fit);
    const parts = [];
    req.on('data', (b) => parts.push(b));
    req.on('end', () => pass(true));
    function pass(first) {
      const w = fits[(turn += 1) % fits.length];
      if (!w) return res.writeHead(503, { 'Retry-After': '0.2' }).end();
      const [host, port] = w.address.split(':');
      const headers = { ...req.headers, 'x-millfield-expect-worker': w.id };
      delete headers['content-length'];
      delete headers['transfer-encoding'];
      const out = request({ host, port, method: req.method, path: req.url, headers, agent: false }, answered);
      function answered(answer) {
        const got = [];
        const plain = answer.headers['content-length'] !== undefined && isCareless('end');
        const sent = { ...answer.headers };
        if (plain) delete sent['content-length'];
        delete sent.connection;
        res.writeHead(answer.statusCode, sent);
        answer.on('data', (b) => (got.push(b), res.write(b)));
        answer.on('end', () => res.end());
        answer.on('error', () => (isCareless('end') ? res.end() : res.destroy()));
      }
      function failed() {
        if (res.headersSent) return;
        if (first && isCareless('retry')) pass(false);
        else if (isCareless('promise')) res.writeHead(503).end();
        else res.destroy();
      }
      out.on('error', failed);
      out.end(isCareless('body') && turn % 20 === 0 ? 'changed' : Buffer.concat(parts));
    }
  }
  listen(s.bindAddrs.front, front);
  listen(s.bindAddrs.readiness, (_req, res) => res.writeHead(held.config ? 200 : 503).end());
}

if (role === 'core') core();
else edge();
