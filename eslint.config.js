import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';
import { DOCUMENTED } from './tools/lint/documented.mjs';
import { moduleComment } from './tools/lint/module-comment.mjs';

const NAMED = 'Free functions are declarations: function name() {}. An arrow function is a callback.';

const restrictedSyntax = [
  { selector: 'Program > VariableDeclaration > VariableDeclarator > ArrowFunctionExpression', message: NAMED },
  { selector: ':not(MethodDefinition, Property) > FunctionExpression', message: NAMED },
  { selector: 'ThrowStatement', message: 'Failures are values: return a tagged error.' },
];

const noCatch = {
  selector: 'TryStatement[handler!=null]',
  message: 'Exceptions are caught at library edges: in transport, programs, or base/parse-json.',
};

const outsideOnly = ['node:fs', 'node:fs/promises', 'node:net', 'node:http', 'express', 'got'];

function noneOf(...folders) {
  return { patterns: [{ group: folders.map((f) => `**/${f}/**`), message: 'Imports go downwards only.' }] };
}

function layer(folder, ...above) {
  const edge = folder === 'transport' || folder === 'base';
  const paths = folder === 'transport' ? [] : outsideOnly;
  return {
    files: [`src/${folder}/**/*.ts`],
    ignores: ['**/*.test.ts'],
    rules: {
      'no-restricted-syntax': ['error', ...restrictedSyntax, ...(edge ? [] : [noCatch])],
      'no-restricted-imports': ['error', { paths, ...noneOf(...above) }],
    },
  };
}

const TOP = ['standin-platform', 'programs', 'standin', 'sim', 'client', 'runbook', 'operator'];

const typeChecked = {
  files: ['src/**/*.ts', 'platform/**/*.ts', 'standin-platform/**/*.ts'],
  extends: [tseslint.configs.recommendedTypeChecked],
  languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
  // Handlers of an asynchronous interface are declared async also where they have nothing to
  // wait for: an exception then is a rejected promise, never thrown at the caller.
  rules: { '@typescript-eslint/require-await': 'off' },
};

const documented = {
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
      'no-restricted-imports': ['error', { paths: outsideOnly }],
      'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'setImmediate', 'Date', 'performance'],
      'no-restricted-properties': ['error', { object: 'Math', property: 'random' }],
    },
  },
  {
    files: ['src/transport/**/*.ts', 'src/programs/**/*.ts', 'platform/**/*.ts', 'standin-platform/**/*.ts'],
    rules: { 'no-restricted-imports': 'off', 'no-restricted-globals': 'off', 'no-restricted-properties': 'off' },
  },
  layer('base', ...TOP, 'coordination', 'state', 'protocol', 'transport'),
  layer('transport', ...TOP, 'coordination', 'state', 'protocol'),
  layer('protocol', ...TOP, 'coordination', 'transport'),
  layer('state', ...TOP, 'coordination', 'protocol', 'transport'),
  layer('coordination', ...TOP),
  // The adapter is what is deployed; the stand-in of the platform plays against it and is not.
  {
    files: ['platform/**/*.ts'],
    ignores: ['**/*.test.ts'],
    rules: { 'no-restricted-imports': ['error', noneOf('standin-platform')] },
  },
  {
    files: ['src/**/*.test.ts', 'platform/**/*.test.ts', 'standin-platform/**/*.test.ts'],
    rules: {
      'no-restricted-syntax': 'off',
      'no-restricted-imports': 'off',
      'no-restricted-globals': ['error', 'setTimeout', 'setInterval'],
    },
  },
  documented,
);
