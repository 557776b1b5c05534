import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';
import { DOCUMENTED } from './tools/lint/documented.mjs';
import { keyedRecords } from './tools/lint/keyed-records.mjs';
import { moduleComment } from './tools/lint/module-comment.mjs';

const FUNCTION_STYLE = 'Declare a top-level function as function name() {}. Use arrow functions only as callbacks.';

const restrictedSyntax = [
  { selector: 'Program > VariableDeclaration > VariableDeclarator > ArrowFunctionExpression', message: FUNCTION_STYLE },
  { selector: ':not(MethodDefinition, Property) > FunctionExpression', message: FUNCTION_STYLE },
  { selector: 'ThrowStatement', message: 'Do not throw; return a tagged error.' },
];

const noCatch = {
  selector: 'TryStatement[handler!=null]',
  message: 'Exceptions may be caught only where a library is called: in transport, programs or base/parse-json.',
};

const ioModules = ['node:fs', 'node:fs/promises', 'node:net', 'node:http', 'express', 'got'];

function forbidImportsOf(...folders) {
  return {
    patterns: [
      {
        group: folders.map((folder) => `**/${folder}/**`),
        message: 'A layer may import only from the layers below it.',
      },
    ],
  };
}

function layer(folder, ...forbiddenFolders) {
  const mayCatch = folder === 'transport' || folder === 'base';
  const paths = folder === 'transport' ? [] : ioModules;
  return {
    files: [`src/${folder}/**/*.ts`],
    ignores: ['**/*.test.ts'],
    rules: {
      'no-restricted-syntax': ['error', ...restrictedSyntax, ...(mayCatch ? [] : [noCatch])],
      'no-restricted-imports': ['error', { paths, ...forbidImportsOf(...forbiddenFolders) }],
    },
  };
}

const TOP_LAYERS = ['standin-platform', 'programs', 'standin', 'sim', 'client', 'runbook', 'operator'];

const typeChecked = {
  files: ['src/**/*.ts', 'platform/**/*.ts', 'standin-platform/**/*.ts'],
  extends: [tseslint.configs.recommendedTypeChecked],
  languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
  // Handlers of an asynchronous interface are declared async even if they await nothing: an exception then becomes a
  // rejected promise and is never thrown to the caller.
  rules: { '@typescript-eslint/require-await': 'off' },
};

const documentedFiles = {
  files: DOCUMENTED,
  ignores: ['**/*.test.ts'],
  plugins: { jsdoc, local: { rules: { 'module-comment': moduleComment } } },
  rules: {
    'local/module-comment': 'error',
    'jsdoc/require-jsdoc': [
      'error',
      {
        publicOnly: true,
        enableFixer: false,
        require: { FunctionDeclaration: true },
        contexts: ['TSTypeAliasDeclaration', 'TSInterfaceDeclaration', 'VariableDeclaration', 'ClassDeclaration'],
      },
    ],
    'jsdoc/require-description': ['error', { contexts: ['any'] }],
  },
};

const ROLES = 'src/{base,protocol,state,coordination,transport,client,operator,programs,runbook,standin}/**/*.ts';

const tablesOfNames = {
  files: [ROLES, 'platform/**/*.ts'],
  ignores: ['**/*.test.ts', 'src/base/own-value.ts'],
  plugins: { names: { rules: { 'keyed-records': keyedRecords } } },
  rules: { 'names/keyed-records': 'error' },
};

export default tseslint.config(
  { ignores: ['dist/', 'target/', 'node_modules/', '.fleet/'] },
  ...tseslint.configs.recommended,
  typeChecked,
  {
    files: ['src/**/*.ts', 'platform/**/*.ts', 'standin-platform/**/*.ts'],
    rules: {
      'no-restricted-syntax': ['error', ...restrictedSyntax],
      eqeqeq: 'error',
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
      'prefer-const': 'error',
      'no-restricted-imports': ['error', { paths: ioModules }],
      'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'setImmediate', 'Date', 'performance'],
      'no-restricted-properties': ['error', { object: 'Math', property: 'random' }],
    },
  },
  {
    files: ['src/transport/**/*.ts', 'src/programs/**/*.ts', 'platform/**/*.ts', 'standin-platform/**/*.ts'],
    rules: { 'no-restricted-imports': 'off', 'no-restricted-globals': 'off', 'no-restricted-properties': 'off' },
  },
  layer('base', ...TOP_LAYERS, 'coordination', 'state', 'protocol', 'transport'),
  layer('transport', ...TOP_LAYERS, 'coordination', 'state', 'protocol'),
  layer('protocol', ...TOP_LAYERS, 'coordination', 'transport'),
  layer('state', ...TOP_LAYERS, 'coordination', 'protocol', 'transport'),
  layer('coordination', ...TOP_LAYERS),
  // The adapter is deployed and must not depend on the stand-in of the platform, which is not deployed.
  {
    files: ['platform/**/*.ts'],
    ignores: ['**/*.test.ts'],
    rules: { 'no-restricted-imports': ['error', forbidImportsOf('standin-platform')] },
  },
  {
    files: ['src/**/*.test.ts', 'platform/**/*.test.ts', 'standin-platform/**/*.test.ts'],
    rules: {
      'no-restricted-syntax': 'off',
      'no-restricted-imports': 'off',
      'no-restricted-globals': ['error', 'setTimeout', 'setInterval'],
    },
  },
  documentedFiles,
  tablesOfNames,
);
