#!/usr/bin/env node
/** Entry point of the command line: dispatches to the command that is named first. */

import { defineCommand, runMain } from 'citty';
import { standinCommand } from './standin.js';
import { controllerCommand, proxyCommand } from './daemons.js';
import { inspectCommand } from './inspect.js';
import { printError, setUsageExitCode } from './flags.js';
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

const command = process.argv[2];
if (command !== undefined && !command.startsWith('-') && !Object.hasOwn(subCommands, command)) {
  printError(`command: expected one of ${Object.keys(subCommands).join(', ')}; found ${JSON.stringify(command)}`);
  setUsageExitCode();
} else void runMain(main);
