#!/usr/bin/env node
/** Entry of the command line: picks the command and leaves the rest to it. */

import { defineCommand, runMain } from 'citty';
import { standinCommand } from './standin.js';
import { controllerCommand, proxyCommand } from './daemons.js';
import { inspectCommand } from './inspect.js';
import { complain, leaveUsage } from './flags.js';
import { runbookCommand } from './runbook.js';
import { adminCommand } from './admin.js';
import { VERSION } from './version.js';

const subCommands = {
  proxy: proxyCommand,
  controller: controllerCommand,
  admin: adminCommand,
  inspect: inspectCommand,
  standin: standinCommand,
  runbook: runbookCommand,
};

const main = defineCommand({
  meta: { name: 'millfield', version: VERSION, description: 'Serving across regions for a language model' },
  subCommands,
});

const first = process.argv[2];
if (first !== undefined && !first.startsWith('-') && !Object.hasOwn(subCommands, first)) {
  complain(`command: expected one of ${Object.keys(subCommands).join(', ')}; found ${JSON.stringify(first)}`);
  leaveUsage();
} else void runMain(main);
