/** Commands `millfield proxy` and `millfield controller`, which run until they are told to stop. */
import { defineCommand } from 'citty';
import type { ArgsDef } from 'citty';
import { CONTROLLER_SHAPES, startController } from '../coordination/controller.js';
import type { NodeDeps, NodeIdentity } from '../coordination/node.js';
import { startProxy } from '../coordination/proxy/proxy.js';
import type { Result } from '../base/result.js';
import { awaitStopSignal, stopAndExit, exitIfStartHangs, isStopRequested } from '../transport/stop-signal.js';
import { handleUncaughtErrors } from '../transport/uncaught-errors.js';
import { createContainer, SERVICE_IDS } from './composition.js';
import { EXIT } from './exit-codes.js';
import type { ExitCode } from './exit-codes.js';
import { printError, areFlagsValid, setUsageExitCode } from './flags.js';
import { readSettings } from './settings.js';
import type { NodeSettings, RequiredSettings } from './settings.js';
import { ownValue, setOwnValue } from '../base/own-value.js';

/** Flags of both commands; each overrides the settings file. */
export const NODE_ARGS = {
  settings: { type: 'string', description: 'Settings file (JSON); flags override it' },
  name: { type: 'string', description: 'Name of this node, unique in the deployment' },
  zone: { type: 'string', description: 'Zone of this machine' },
  region: { type: 'string', description: 'Region of this machine' },
  listen: { type: 'string', description: 'Address for other nodes, such as 10.0.0.1:7100' },
  advertise: { type: 'string', description: 'Address at which other nodes reach this node (default: listen)' },
  http: { type: 'string', description: 'HTTP address for callers (proxy) or operators (controller)' },
  httpAdvertise: { type: 'string', description: 'HTTP address that is published (default: http)' },
  seeds: { type: 'string', description: 'Addresses of seed nodes, separated by commas' },
  dataFolder: { type: 'string', description: 'Folder for persistent data' },
  platform: { type: 'string', description: 'Address of the platform that lists workers' },
  cloud: { type: 'string', description: 'Address of the cloud API' },
  logLevel: { type: 'string', description: 'silent, error, warn or info' },
  logFormat: { type: 'string', description: 'text or json (default: text)' },
} as const satisfies ArgsDef;

type Stoppable = { readonly stop: (withinMs: number) => Promise<void> };

/** Upper bound of a graceful shutdown; the supervisor of the process must not kill it earlier. */
const STOP_TIMEOUT_MS = 10_000;
const EXIT_SLACK_MS = 500;

const LISTEN_ERRORS: ReadonlySet<string> = new Set(['addressInUse', 'cannotListen', 'badAddress', 'unreachable']);

function startErrorExitCode(tag: string): ExitCode {
  return LISTEN_ERRORS.has(tag) ? EXIT.cannotListen : EXIT.disk;
}

async function runDaemon(
  rawArgs: readonly string[],
  flags: Readonly<Record<string, string | undefined>>,
  required: RequiredSettings,
  start: (identity: NodeIdentity, deps: NodeDeps) => Promise<Result<Stoppable, { readonly tag: string }>>,
): Promise<void> {
  if (!areFlagsValid(rawArgs, NODE_ARGS)) {
    setUsageExitCode();
    return;
  }
  const { settings: settingsFile, ...overrides } = flags;
  const parsed = readSettings(settingsFile, overrides, required);
  if (!parsed.ok) {
    for (const error of parsed.error)
      printError(`setting ${error.key}: expected ${error.expected}; found ${error.found}`);
    setUsageExitCode();
    return;
  }
  const stopSignal = awaitStopSignal();
  const settings: NodeSettings = parsed.value;
  const isStopping = isStopRequested(stopSignal);
  const container = createContainer(settings, isStopping);
  const deps = container.get<NodeDeps>(SERVICE_IDS.deps);
  const log = deps.logs.component('start');
  const onServing = handleUncaughtErrors(log, EXIT.internal);
  const onStarted = exitIfStartHangs(log, deps.clock, stopSignal, STOP_TIMEOUT_MS);
  const started = await start(container.get<NodeIdentity>(SERVICE_IDS.identity), deps);
  if (!started.ok && isStopping()) {
    log.warn('exiting before the start was over', { error: JSON.stringify(started.error) });
    process.exit(EXIT.ok);
  }
  if (!started.ok) {
    printError(`millfield could not start: ${JSON.stringify(started.error)}`);
    process.exit(startErrorExitCode(started.error.tag));
  }
  onStarted();
  onServing();
  const signal = await stopSignal;
  log.info('stopping', { signal, withinMs: STOP_TIMEOUT_MS });
  await stopAndExit(log, deps.clock, STOP_TIMEOUT_MS + EXIT_SLACK_MS, () => started.value.stop(STOP_TIMEOUT_MS));
}

function nodeFlags(args: Readonly<Record<string, unknown>>): Record<string, string | undefined> {
  const flags: Record<string, string | undefined> = {};
  for (const key of Object.keys(NODE_ARGS)) {
    const value = ownValue(args, key);
    setOwnValue(flags, key, typeof value === 'string' ? value : undefined);
  }
  return flags;
}

function runProxy(ctx: {
  readonly rawArgs: string[];
  readonly args: Readonly<Record<string, unknown>>;
}): Promise<void> {
  return runDaemon(ctx.rawArgs, nodeFlags(ctx.args), { dataFolder: false, cloud: false }, startProxy);
}
function startControllerNode(identity: NodeIdentity, deps: NodeDeps): ReturnType<typeof startController> {
  return startController(identity, deps, CONTROLLER_SHAPES);
}
function runController(ctx: {
  readonly rawArgs: string[];
  readonly args: Readonly<Record<string, unknown>>;
}): Promise<void> {
  return runDaemon(ctx.rawArgs, nodeFlags(ctx.args), { dataFolder: true, cloud: true }, startControllerNode);
}

/** Runs a proxy until SIGTERM or SIGINT. */
export const proxyCommand = defineCommand({
  meta: { name: 'proxy', description: 'Edge daemon: selects workers, dispatches requests and relays responses' },
  args: NODE_ARGS,
  run: runProxy,
});

/** Runs a controller until SIGTERM or SIGINT. */
export const controllerCommand = defineCommand({
  meta: { name: 'controller', description: 'Core daemon: replicates the log, scales workers, serves operators' },
  args: NODE_ARGS,
  run: runController,
});
