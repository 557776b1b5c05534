export default {
  testEnvironment: 'node',
  testTimeout: 120_000,
  roots: ['<rootDir>/src', '<rootDir>/platform', '<rootDir>/standin-platform', '<rootDir>/tools'],
  extensionsToTreatAsEsm: ['.ts'],
  moduleNameMapper: { '^(\\.{1,2}/.*)\\.js$': '$1' },
  transform: {
    '^.+\\.ts$': [
      '@swc/jest',
      { jsc: { target: 'es2022', parser: { syntax: 'typescript' } }, module: { type: 'es6' } },
    ],
  },
};
