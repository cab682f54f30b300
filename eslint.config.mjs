import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

const houseRules = {
  // The house style asks for one straight task for each connection: it awaits in loops,
  // and `for await` needs `for of`.
  'no-await-in-loop': 'off',
  'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
  'no-continue': 'off',
  // Files read top to bottom, main type first, helpers after their use.
  '@typescript-eslint/no-use-before-define': [
    'error',
    { functions: false, classes: false, variables: false },
  ],
  'class-methods-use-this': 'off',
  '@typescript-eslint/class-methods-use-this': 'off',
  // Construction goes through a named static.
  'no-useless-constructor': 'off',
  '@typescript-eslint/no-useless-constructor': 'off',
  'no-empty-function': 'off',
  '@typescript-eslint/no-empty-function': ['error', { allow: ['private-constructors'] }],
  // Records that a module keeps to itself are updated in place.
  'no-param-reassign': ['error', { props: false }],
  // A type that is a file's one export can only be its default by this form.
  'no-restricted-exports': 'off',
};

export default [
  { ignores: ['dist/**', 'target/**', 'src/gen/**', 'platform/gen/**', 'node_modules/**'] },
  plugins.stylistic,
  plugins.importX,
  ...configs.base.recommended,
  plugins.typescriptEslint,
  ...configs.base.typescript,
  prettier,
  {
    files: ['**/*.ts'],
    languageOptions: { parserOptions: { projectService: true } },
    rules: houseRules,
  },
  {
    files: ['**/*.mjs'],
    rules: {
      'no-use-before-define': ['error', { functions: false, classes: false }],
      // Node resolves packages without an export map by full file names only.
      'import-x/extensions': 'off',
    },
  },
  {
    files: ['**/*.mjs', 'tools/**/*.ts', 'test/**/*.ts', '*.config.*'],
    rules: {
      'import-x/no-extraneous-dependencies': ['error', { devDependencies: true }],
    },
  },
];
