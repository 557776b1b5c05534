import tseslint from 'typescript-eslint';

const onlyDeclarations = [
  { selector: 'ArrowFunctionExpression', message: 'Functions are declared: function name() {}.' },
  { selector: 'FunctionExpression', message: 'Functions are declared: function name() {}.' },
  { selector: 'ClassDeclaration', message: 'State lives in factory functions.' },
  { selector: 'ThrowStatement', message: 'Failures are values: return a tagged fault.' },
];

const noCatch = {
  selector: 'TryStatement[handler!=null]',
  message: 'Exceptions are caught at library edges: in transport, programs, or base/parsed-json.',
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
      'no-restricted-syntax': ['error', ...onlyDeclarations, ...(edge ? [] : [noCatch])],
      'no-restricted-imports': ['error', { paths, ...noneOf(...above) }],
    },
  };
}

const TOP = ['programs', 'basin', 'sim', 'flume', 'runbook', 'operator'];

export default tseslint.config(
  { ignores: ['dist/', 'node_modules/', '.fleet/'] },
  ...tseslint.configs.recommended,
  {
    files: ['src/**/*.ts', 'platform/**/*.ts'],
    rules: {
      'no-restricted-syntax': ['error', ...onlyDeclarations],
      eqeqeq: 'error',
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
      'prefer-const': 'error',
      'no-restricted-imports': ['error', { paths: outsideOnly }],
      'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'setImmediate', 'Date', 'performance'],
      'no-restricted-properties': ['error', { object: 'Math', property: 'random' }],
    },
  },
  {
    files: ['src/transport/**/*.ts', 'src/programs/**/*.ts', 'platform/**/*.ts'],
    rules: { 'no-restricted-imports': 'off', 'no-restricted-globals': 'off', 'no-restricted-properties': 'off' },
  },
  layer('base', ...TOP, 'coordination', 'state', 'protocol', 'transport'),
  layer('transport', ...TOP, 'coordination', 'state', 'protocol'),
  layer('protocol', ...TOP, 'coordination', 'transport'),
  layer('state', ...TOP, 'coordination', 'protocol', 'transport'),
  layer('coordination', ...TOP),
  {
    files: ['src/**/*.test.ts', 'platform/**/*.test.ts'],
    rules: {
      'no-restricted-syntax': 'off',
      'no-restricted-imports': 'off',
      'no-restricted-globals': ['error', 'setTimeout', 'setInterval'],
    },
  },
);
