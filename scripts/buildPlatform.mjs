// Bundles each role for the users' platform into one file under target, with all packages inside:
// loading many files costs a sidecar's slow core more than the programs themselves. What a start does
// not need is in files of its own, which are loaded when they are asked for.
import { rm } from 'node:fs/promises';
import process from 'node:process';
import { build } from 'esbuild';

/** Where the files go. */
const outdir = process.argv[2] ?? 'target';

const ROLES = ['entry', 'sidecar'];
const LATER = ['readYamlSettings', 'sidecarMetrics'];

/**
 * Parts of packages that are loaded with them and never used here: formats of numbers, TLS, the processes of a
 * cluster. An entry starts sooner without them.
 */
const UNUSED = {
  'hdr-histogram-js': ['HistogramLogWriter', 'HistogramLogReader'],
  'prom-client': ['pushgateway', 'cluster', 'defaultMetrics'],
};

const withoutUnused = {
  name: 'without-unused',
  setup({ onResolve, onLoad }) {
    Object.entries(UNUSED).forEach(([name, parts]) => {
      const filter = new RegExp(`/(${parts.join('|')})$`);
      onResolve({ filter }, ({ path, importer }) =>
        importer.includes(`/node_modules/${name}/`) ? { path, namespace: 'unused' } : undefined,
      );
    });
    onLoad({ filter: /^/, namespace: 'unused' }, () => ({ contents: 'module.exports = {};' }));
  },
};

const common = {
  outdir,
  outExtension: { '.js': '.cjs' },
  bundle: true,
  minify: true,
  format: 'cjs',
  platform: 'node',
  target: 'node20',
  // A bundle is CommonJS, and so is what it loads.
  supported: { 'dynamic-import': false },
  logLevel: 'warning',
  plugins: [withoutUnused],
};

const loadedLater = {
  name: 'loaded-later',
  setup({ onResolve }) {
    onResolve({ filter: new RegExp(`^\\./(${LATER.join('|')})$`) }, ({ path, kind }) =>
      kind === 'dynamic-import' ? { path: `${path}.cjs`, external: true } : undefined,
    );
  },
};

await rm(outdir, { recursive: true, force: true });
await build({
  ...common,
  entryPoints: ROLES.map((name) => `platform/${name}.ts`),
  plugins: [...common.plugins, loadedLater],
});
await build({
  ...common,
  entryPoints: LATER.map((name) => `platform/${name}.ts`),
  // A dynamic import takes all that a CommonJS file exports as its default export.
  footer: { js: 'module.exports = module.exports.default;' },
});
